package election_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
)

// newReserveCluster returns five members: each holder has one standby, the next one in the order of the
// alphabet, and as reserves the two after it. Reachable says whether reserves reach the runners.
func newReserveCluster(t *testing.T, reachable *atomic.Bool) *cluster {
	t.Helper()
	c := &cluster{store: newStore(), members: map[string]*member{}, refusing: map[string]bool{}}
	c.standbys = func(holder string) []string { return nextTwo(holder)[:1] }
	c.reserves = func(holder string) []string { return nextTwo(nextTwo(holder)[0]) }
	c.evidence = func(context.Context) bool { return reachable.Load() }
	c.startAll(t, []string{"a", "b", "c", "d", "e"})
	time.Sleep(3 * time.Second)
	return c
}

// latestTakeover is the time within which the tasks of a cell must run again after its data centre has
// lost all instances: a lasting task may be without a run for 6 s and 3 s more. What remains is left for
// the start of the tasks.
const latestTakeover = 8 * time.Second

// TestReserveTakesOver guards against a cell without holder for long after the holder and all standbys
// are lost, and against tasks that a reserve starts while a holder that is only cut off may run them.
func TestReserveTakesOver(t *testing.T) {
	t.Parallel()
	for _, reached := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var reachable atomic.Bool
			reachable.Store(reached)
			c := newReserveCluster(t, &reachable)
			m := c.holder(t)
			reserves := c.reserves(m.name)
			require.Equal(t, reserves, m.elector.Reserves())
			limit := m.elector.StoredLimit()
			began := time.Now()
			c.lose(m.name, c.standbys(m.name)[0])
			for len(c.leading()) == 0 {
				time.Sleep(10 * time.Millisecond)
				require.Less(t, time.Since(began), latestTakeover)
			}
			next := c.holder(t)
			require.Contains(t, reserves, next.name)
			require.True(t, reached || time.Now().After(limit.Add(time.Second)), "leases of runners last for 1 s")
			terms := next.terms()
			require.False(t, terms[0].PreviousEnd.Before(limit))
			require.True(t, terms[0].PreviousOpen)
			time.Sleep(time.Second)
			require.True(t, next.holdsLease())
		})
	}
}

// TestClaimReadBeforeAnswer guards against a reserve that takes the former holder for ended, since it reads
// its own claim in the rows before the store has answered it.
func TestClaimReadBeforeAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		reachable.Store(true)
		c := newReserveCluster(t, &reachable)
		m := c.holder(t)
		limit := m.elector.StoredLimit()
		c.store.mu.Lock()
		for name := range c.members {
			c.store.slowAnswers[name] = 50 * time.Millisecond
		}
		c.store.mu.Unlock()
		c.lose(m.name, c.standbys(m.name)[0])
		for len(c.leading()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		term := c.holder(t).terms()[0]
		require.True(t, term.PreviousOpen)
		require.False(t, term.PreviousEnd.Before(limit))
	})
}

// TestReserveComesLast loses the holder only. Its standby must take over, not a reserve.
func TestReserveComesLast(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		reachable.Store(true)
		c := newReserveCluster(t, &reachable)
		m := c.holder(t)
		c.lose(m.name)
		time.Sleep(10 * time.Second)
		next := c.holder(t)
		require.Equal(t, c.standbys(m.name)[0], next.name)
		require.False(t, next.terms()[0].PreviousOpen)
	})
}

// TestReserveKeepsPromise cuts the holder and its standby off from the store. A reserve that has promised
// to wait must do so, whatever it reaches.
func TestReserveKeepsPromise(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		reachable.Store(true)
		c := newReserveCluster(t, &reachable)
		m := c.holder(t)
		c.setUnreachable(m.name, true)
		c.setUnreachable(c.standbys(m.name)[0], true)
		for range 40 {
			for _, name := range c.reserves(m.name) {
				require.True(t, c.members[name].offer())
			}
			time.Sleep(200 * time.Millisecond)
			require.Equal(t, []string{m.name}, c.leading())
		}
		promised := time.Now()
		time.Sleep(2 * time.Second)
		for _, name := range c.leading() {
			if name != m.name {
				require.False(t, c.members[name].terms()[0].PreviousEnd.Before(promised))
			}
		}
		require.Len(t, c.leading(), 2, "the former holder has not heard of it")
	})
}

// TestReserveAfterTransfer loses the member that a holder names as the next one, and its standby. The
// former holder may not know of the transfer and go on by the promises of its own standbys.
func TestReserveAfterTransfer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		reachable.Store(true)
		c := newReserveCluster(t, &reachable)
		m := c.holder(t)
		next := c.standbys(m.name)[0]
		lost := c.members[next]
		limit := m.elector.ExtensionLimit()
		c.lose(next, c.standbys(next)[0])
		require.True(t, m.elector.Transfer(t.Context(), lost.elector.Self))
		began := time.Now()
		for len(c.leading()) == 0 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(began), latestTakeover)
		}
		require.False(t, c.holder(t).terms()[0].PreviousEnd.Before(limit))
	})
}

// TestOutsiderCountsFromLookup guards against an instance that waits anew once it competes for a cell
// which it has seen without a heartbeat before.
func TestOutsiderCountsFromLookup(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster5(t)
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		standbys := c.standbys(m.name)
		limit := m.elector.ExtensionLimit()
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			if name != m.name {
				c.lose(name)
			}
		}
		x := c.start("x", "x@1")
		x.stop()
		time.Sleep(100 * time.Millisecond)
		c.lose(m.name)
		require.NotContains(t, standbys, "x")
		require.NoError(t, x.elector.Lookup(t.Context()))
		seen := time.Now()
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		x.stop = cancel
		c.running.Go(func() { x.elector.Run(ctx) })
		for !x.leads() {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(seen), election.DefaultOutsiderTimeout+time.Second)
		}
		require.True(t, time.Now().After(limit))
	})
}

// TestHolderStandbysAndReservesLost guards against a cell without holder for long after all instances
// that its rows name are lost at once.
func TestHolderStandbysAndReservesLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		reachable.Store(true)
		c := newReserveCluster(t, &reachable)
		m := c.holder(t)
		began := time.Now()
		c.lose(append([]string{m.name, c.standbys(m.name)[0]}, c.reserves(m.name)...)...)
		for len(c.leading()) == 0 && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(began), latestTakeover)
	})
}
