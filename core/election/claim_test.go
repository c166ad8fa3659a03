package election_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/fingerprint"
	"gypsumward/core/table"
	"gypsumward/core/table/memstore"
)

// cutPair returns a holder that is cut off from the store and the other of two members.
func cutPair(t *testing.T, delay time.Duration) (c *cluster, holder, other *member) {
	t.Helper()
	c = newCluster(t, "a", "b")
	time.Sleep(3 * time.Second)
	holder = c.holder(t)
	for _, m := range c.members {
		if m != holder {
			other = m
		}
	}
	other.mu.Lock()
	other.delay = delay
	other.mu.Unlock()
	c.setUnreachable(holder.name, true)
	return c, holder, other
}

// TestPromiseBeforeClaim lets an instance promise not to take over after it has decided to
// claim the cell and before it sends the claim, as a paused process may. It must keep the
// promise.
func TestPromiseBeforeClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		_, _, other := cutPair(t, 2*time.Second)
		time.Sleep(2500 * time.Millisecond) // decided after 1.5 s, claims after 3.5 s
		for range 10 {
			require.True(t, other.offer())
			time.Sleep(200 * time.Millisecond)
			require.Empty(t, other.terms())
		}
		time.Sleep(4 * time.Second)
		require.Len(t, other.terms(), 1, "once the promise has expired")
	})
}

// TestPromiseAfterClaim lets the store carry a claim out late, without an answer. Until it
// is certain that the claim can have no effect, the instance must promise nothing.
func TestPromiseAfterClaim(t *testing.T) {
	t.Parallel()
	for _, healed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c, holder, other := cutPair(t, 0)
			c.store.mu.Lock()
			c.store.late[other.name] = 2 * time.Second
			c.store.mu.Unlock()
			time.Sleep(2 * time.Second) // claims after 1.5 s
			require.False(t, other.offer())
			if healed {
				c.setUnreachable(holder.name, false)
				time.Sleep(time.Second) // the holder writes a heartbeat, on which the claim is conditional
				require.True(t, other.offer())
				time.Sleep(5 * time.Second)
				require.Same(t, holder, c.holder(t))
				return
			}
			for other.leads() == false {
				require.False(t, other.offer())
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// TestReportedHeartbeats reports heartbeats out of order and with clocks that differ. The
// time without heartbeat must never count from before the last one that may have been
// written was sent.
func TestReportedHeartbeats(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{store: newStore(), members: map[string]*member{}, refusing: map[string]bool{}, unanswered: true}
		c.startAll(t, []string{"a", "b"})
		time.Sleep(3 * time.Second)
		holder := c.holder(t)
		other := c.members["a"]
		if other == holder {
			other = c.members["b"]
		}
		offset := -int64(10 * time.Second)
		var sent time.Time
		for range 5 {
			time.Sleep(300 * time.Millisecond)
			b, version, age := holder.elector.LastHeartbeat()
			sent = time.Now().Add(-age)
			older := b
			older.Sent -= int64(time.Second)
			b.Sent += offset
			time.Sleep(20 * time.Millisecond) // on its way
			other.elector.ReportHeartbeat(b, version, time.Now().Add(-20*time.Millisecond).UnixNano()+offset)
			other.elector.ReportHeartbeat(older, version-1, time.Now().UnixNano())
			require.Empty(t, other.terms(), "the holder sends heartbeats")
		}
		holder.stop()
		c.refuseConnections("")
		for len(other.terms()) == 0 {
			time.Sleep(5 * time.Millisecond)
			require.Less(t, time.Since(sent), 3*time.Second)
		}
		require.False(t, holder.holdsLease(), "the lease of the holder is valid")
		require.Less(t, time.Since(sent), 1500*time.Millisecond)
	})
}

// TestOlderHeartbeats reports a heartbeat and then reads and reports an older one. The later
// one must stay in force.
func TestOlderHeartbeats(t *testing.T) {
	t.Parallel()
	holder := election.Holder{Member: election.Member{Node: "h", Incarnation: "h@1"}, TermNumber: 1}
	newHeartbeat := func(number int64, runners int) election.Heartbeat {
		return election.Heartbeat{Incarnation: "h@1", Number: number, Set: fingerprint.Set(runners)}
	}
	older, err := json.Marshal(newHeartbeat(3, 3))
	require.NoError(t, err)
	s := &memstore.Store{}
	_, err = s.Write(t.Context(), table.Write{Ops: []table.Op{{Key: election.Key("c0", election.HeartbeatRow), Value: older}}})
	require.NoError(t, err)
	e := election.New("c0", election.Settings{})
	m := &member{elector: e}
	e.Clock, e.Self, e.Leader, e.Store = clock{}, election.Member{Node: "z", Incarnation: "z@1"}, m, s
	e.ApplyNotice(election.Notice{Holder: holder, Epoch: 5})
	e.ReportHeartbeat(newHeartbeat(7, 7), 10, 1)
	e.ReportHeartbeat(newHeartbeat(3, 3), 9, 1)
	require.NoError(t, e.Lookup(t.Context()))
	e.ApplyNotice(election.Notice{Holder: election.Holder{Member: e.Self, TermNumber: 2}, Epoch: 11})
	require.Equal(t, fingerprint.Set(7), m.terms()[0].PreviousRunners)
}

// TestEarlierTermsHeartbeat replaces a holder that has written no heartbeat. The runners that
// the one before it reported, which may even have been the same instance, are not its runners.
func TestEarlierTermsHeartbeat(t *testing.T) {
	t.Parallel()
	for _, between := range []string{"h", "k"} {
		e := election.New("c0", election.Settings{})
		m := &member{elector: e}
		e.Clock, e.Self, e.Leader, e.Store = clock{}, election.Member{Node: "z", Incarnation: "z@1"}, m, &memstore.Store{}
		notice := func(node string, epoch int64, number int) {
			e.ApplyNotice(election.Notice{Holder: election.Holder{Member: election.Member{Node: node, Incarnation: node + "@1"}, TermNumber: number}, Epoch: epoch})
		}
		notice("h", 5, 1)
		e.ReportHeartbeat(election.Heartbeat{Incarnation: "h@1", Number: 7, Set: 7}, 10, 1)
		notice(between, 12, 2)
		notice("z", 14, 3)
		require.Zero(t, m.terms()[0].PreviousRunners)
	}
}

// TestEndOfHandedOverTerm replaces a holder soon after it got the cell from another by a
// transfer, which that one may not have learned of. If it has not reported its runners, it may
// not have taken over, so the next term must know when the lease of the first one ends.
func TestEndOfHandedOverTerm(t *testing.T) {
	t.Parallel()
	for _, reported := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := election.New("c0", election.Settings{})
			m := &member{elector: e}
			e.Clock, e.Self, e.Leader, e.Store = clock{}, election.Member{Node: "z", Incarnation: "z@1"}, m, &memstore.Store{}
			e.PromisedUntil = func() time.Time { return time.Time{} }
			notice := func(node string, epoch, previous int64, number int) {
				e.ApplyNotice(election.Notice{Holder: election.Holder{Member: election.Member{Node: node, Incarnation: node + "@1"}, TermNumber: number, Previous: previous}, Epoch: epoch})
			}
			notice("h", 5, 0, 1)
			notice("k", 12, 5, 2)
			transferred := time.Now()
			time.Sleep(200 * time.Millisecond)
			set := fingerprint.Set(0)
			if reported {
				set = 7
			}
			e.ReportHeartbeat(election.Heartbeat{Incarnation: "k@1", Number: 1, Set: set}, 13, 1)
			notice("z", 14, 0, 3)
			if reported {
				require.Zero(t, m.terms()[0].PreviousEnd)
			} else {
				require.Equal(t, transferred.Add(election.DefaultLeaseDuration), m.terms()[0].PreviousEnd)
			}
		})
	}
}
