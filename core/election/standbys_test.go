package election_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/table"
)

// nextTwo returns the two members after a holder in the order of the alphabet from a to e.
func nextTwo(holder string) []string {
	names := []string{"a", "b", "c", "d", "e"}
	i := slices.Index(names, holder)
	return []string{names[(i+1)%5], names[(i+2)%5]}
}

func newCluster5(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, nextTwo, "a", "b", "c", "d", "e")
}

// lose stops members for good.
func (c *cluster) lose(names ...string) {
	for _, name := range names {
		c.members[name].stop()
		delete(c.members, name)
	}
}

// leading returns the names of the members that lead.
func (c *cluster) leading() []string {
	var names []string
	for name, m := range c.members {
		if m.leads() {
			names = append(names, name)
		}
	}
	return names
}

// TestStandbyTakesOver loses one holder after the other. A standby of the lost one must be
// the next, and its own standbys must be in force.
func TestStandbyTakesOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster5(t)
		time.Sleep(3 * time.Second)
		for range 2 {
			m := c.holder(t)
			c.lose(m.name)
			time.Sleep(1800 * time.Millisecond)
			next := c.holder(t)
			require.Contains(t, nextTwo(m.name), next.name)
			standbys, known := next.elector.Standbys()
			require.True(t, known)
			require.Equal(t, nextTwo(next.name), standbys)
		}
	})
}

// TestOutsiderWaits loses the holder with both standbys. Another member must take over, but
// not before no promise can extend the lease of the holder any more.
func TestOutsiderWaits(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster5(t)
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		limit := m.elector.ExtensionLimit()
		require.WithinDuration(t, time.Now().Add(election.DefaultMaxExtension), limit, time.Second)
		c.lose(append(nextTwo(m.name), m.name)...)
		for len(c.leading()) == 0 {
			time.Sleep(50 * time.Millisecond)
			require.Less(t, time.Until(limit), 21*time.Second)
			require.Less(t, time.Since(limit), 5*time.Second, "nobody takes over")
		}
		require.True(t, time.Now().After(limit))
		require.Len(t, c.leading(), 1)
	})
}

// TestReleased ends the term of a holder by itself. A standby must take over at once, and
// no member that is none.
func TestReleased(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster5(t)
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		_, epoch, _ := m.elector.Holder()
		m.elector.StopClaiming()
		for _, other := range c.members {
			other.elector.Released(epoch)
		}
		time.Sleep(300 * time.Millisecond)
		delete(c.members, m.name)
		require.Len(t, c.leading(), 1)
		require.Contains(t, nextTwo(m.name), c.leading()[0])
		m.stop()
	})
}

// TestSetStandbys replaces standbys, and loses the answer of the store. Both the former and
// the new ones count until the outcome is known.
func TestSetStandbys(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster5(t)
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		former := nextTwo(m.name)
		c.setUnreachable(m.name, true)
		require.False(t, m.elector.SetStandbys(t.Context(), election.Standbys{Nodes: []string{"x", "y"}}))
		standbys, _ := m.elector.Standbys()
		require.Equal(t, append(former, "x", "y"), standbys)
		c.setUnreachable(m.name, false)
		require.True(t, m.elector.SetStandbys(t.Context(), election.Standbys{Nodes: []string{"x"}}))
		standbys, _ = m.elector.Standbys()
		require.Equal(t, []string{"x"}, standbys)
		for name, other := range c.members {
			if name != m.name {
				require.False(t, other.elector.SetStandbys(t.Context(), election.Standbys{Nodes: []string{name}}), "only the holder may")
			}
		}
	})
}

// TestClaimDependsOnStandbys replaces the standbys while a former one that has not read
// that claims the cell. The claim must fail.
func TestClaimDependsOnStandbys(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster5(t)
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		_, epoch, _ := m.elector.Holder()
		reader := memberStore{c.store, "reader"}
		row := func(name string) int64 {
			for _, r := range reader.since(election.Key("c0", name), 0).Rows {
				return r.Version
			}
			return 0
		}
		seen := row(election.StandbysRow)
		require.Equal(t, epoch, seen, "written with the claim")
		require.True(t, m.elector.SetStandbys(t.Context(), election.Standbys{Nodes: []string{"e"}}))
		written, err := reader.Write(context.Background(), table.Write{Ops: []table.Op{
			{Key: election.Key("c0", election.HolderRow), IfVersion: epoch, Value: json.RawMessage(`{}`)},
			{Key: election.Key("c0", election.StandbysRow), IfVersion: seen, CheckOnly: true},
		}})
		require.NoError(t, err)
		require.False(t, written.Committed)
	})
}

// TestNotices follows the holder by notices only, in and out of order.
func TestNotices(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		e := election.New("c0", election.Settings{})
		e.Clock, e.Self = clock{}, election.Member{Node: "z", Incarnation: "z@1"}
		m := &member{elector: e}
		e.Leader = m
		newNotice := func(node string, epoch int64) election.Notice {
			return election.Notice{
				Epoch: epoch, Standbys: []string{"s"},
				Holder: election.Holder{Member: election.Member{Node: node, Incarnation: node + "@1"}, TermNumber: int(epoch)},
			}
		}
		for _, step := range []struct {
			notice election.Notice
			want   string
		}{{newNotice("a", 3), "a"}, {newNotice("b", 2), "a"}, {newNotice("z", 5), "z"}, {newNotice("a", 4), "z"}, {newNotice("b", 6), "b"}} {
			e.ApplyNotice(step.notice)
			h, _, _ := e.Holder()
			require.Equal(t, step.want, h.Node)
		}
		require.Equal(t, []election.Term{{Epoch: 5, Number: 5, ReplacedEpoch: 3}}, m.terms())
		require.Equal(t, 1, m.losses())
		require.Equal(t, newNotice("b", 6), e.Notice())
		standbys, known := e.Standbys()
		require.True(t, known)
		require.Equal(t, []string{"s"}, standbys)
	})
}
