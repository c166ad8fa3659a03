package member_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/member"
	"gypsumward/core/span"
	"gypsumward/core/table"
)

// drawRecord draws a record of one of three instances in one of a few incarnations.
func drawRecord(t *rapid.T) member.Record {
	born := int64(rapid.IntRange(1, 3).Draw(t, "born"))
	return member.Record{
		ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Peer: "10.0.0.1:1",
		Incarnation: fmt.Sprintf("inc%d%d", born, rapid.IntRange(0, 1).Draw(t, "twin")), StartTime: born,
		Version:  int64(rapid.IntRange(1, 6).Draw(t, "ver")),
		Revision: int64(rapid.IntRange(0, 3).Draw(t, "rev")),
		Leaving:  rapid.Bool().Draw(t, "leaving"),
	}
}

// No order of messages may bring back an older incarnation or undo leaving, and all
// orders must lead to the same view.
func TestMergeProperty(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	own := member.Record{ID: "self", Incarnation: "s", Peer: "10.0.0.9:1"}
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 40).Draw(t, "records")
		one, two := member.New(member.Settings{}, own, now), member.New(member.Settings{}, own, now)
		before := map[string]member.Entry{}
		born := map[string]int64{}
		for _, r := range records {
			born[r.Incarnation] = r.StartTime
			one.Merge(member.Message{Records: []member.Record{r}}, now)
			for _, e := range one.View(now).Entries {
				b, found := before[e.ID]
				if found && b.Incarnation == e.Incarnation {
					require.False(t, b.Leaving && !e.Leaving, "leaving was undone")
					require.GreaterOrEqual(t, e.Revision, b.Revision)
				} else if found {
					require.Positive(t, cmp.Or(cmp.Compare(born[e.Incarnation], born[b.Incarnation]), cmp.Compare(e.Incarnation, b.Incarnation)))
				}
				before[e.ID] = e
			}
		}
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			two.Merge(member.Message{Records: []member.Record{r}}, now)
		}
		require.Equal(t, one.View(now), two.View(now))
	})
}

// Under a partial partition A reaches B and B reaches C, but A does not reach C. A
// must see C as unreachable but, informed by B, not as silent.
func TestPartialCut(t *testing.T) {
	t.Parallel()
	f := newFleet(3, 1, 4)
	a, c := f.nodes[0], f.nodes[2]
	f.isCut = func(from, to *node) bool { return from != to && (from == a || from == c) && (to == a || to == c) }
	for range 30 {
		f.runRound()
	}
	e, found := entry(a.State.View(f.clock.Now()), c.id)
	require.True(t, found)
	require.True(t, e.Unreachable)
	require.False(t, e.Silent)
	f.isCut = func(*node, *node) bool { return false }
	for range 5 {
		f.runRound()
	}
	e, _ = entry(a.State.View(f.clock.Now()), c.id)
	require.False(t, e.Unreachable)
}

// While the platform is unavailable, instances must work with the last list and
// gossip: a new instance becomes known, and one that died is silent but still
// counts because it is in the list.
func TestPlatformOut(t *testing.T) {
	t.Parallel()
	f := newFleet(6, 2, 10)
	f.runRound()
	f.platformDown = true
	f.nodes[5].dead = true
	fresh := f.start("entry-new", "10.0.9.9:8081", "centre-0")
	fresh.State.Merge(member.Message{Records: []member.Record{{ID: "entry-000", Incarnation: "?", Peer: f.nodes[0].addr, Centre: "centre-0"}}}, f.clock.Now())
	for range 40 {
		f.runRound()
	}
	for _, n := range f.nodes[:5] {
		e, found := entry(n.State.View(f.clock.Now()), fresh.id)
		require.True(t, found && !e.Silent, "%s: %v %+v", n.id, found, e)
	}
	v := f.nodes[0].State.View(f.clock.Now())
	require.Len(t, v.Runners, 5)
	require.Len(t, v.Workers, 5)
	require.Greater(t, v.ListAge, 30*time.Second)
	e, found := entry(v, f.nodes[5].id)
	require.True(t, found && e.Silent && e.Listed)
	require.Contains(t, v.Tallies(), member.Tally{Kind: table.KindEntry, State: member.Silent, Count: 1})
	require.Contains(t, v.Tallies(), member.Tally{Kind: table.KindEntry, State: member.Live, Count: 5})
	require.Contains(t, v.Tallies(), member.Tally{Kind: table.KindRunner, State: member.Live, Count: 5})
	require.Equal(t, 3, v.SharingInstances("centre-0"))
}

// An instance that died and left the list must disappear from all views, and older
// records still in circulation must not bring it back.
func TestGone(t *testing.T) {
	t.Parallel()
	f := newFleet(12, 3, 0)
	for range 10 {
		f.runRound()
	}
	dead := f.nodes[7]
	dead.dead = true
	f.live.Members = append(f.live.Members[:7], f.live.Members[8:]...)
	removed := func() bool {
		return f.allViews(func(_ *node, v member.View) bool {
			_, found := entry(v, dead.id)
			return !found
		})
	}
	require.Less(t, f.runRounds(150, removed), 150)
	for range 50 {
		f.runRound()
		require.True(t, removed())
	}
}

// An instance that restarts at its address must replace its previous incarnation in
// all views, and a previous incarnation that resumes late, for example after its
// process was suspended, must learn that it was replaced.
func TestRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(5, 1, 0)
	for range 5 {
		f.runRound()
	}
	previous := f.nodes[2]
	previous.State.Leave()
	for range 5 {
		f.runRound()
	}
	next := f.start(previous.id, previous.addr, previous.centre)
	behind := member.Record{ID: previous.id, Incarnation: next.inc, Addr: previous.addr, Peer: previous.addr, Centre: previous.centre}
	next.State = member.New(member.Settings{}, behind, f.clock.Now().Add(-time.Hour))
	seen := func() bool {
		return f.allViews(func(n *node, v member.View) bool {
			e, found := entry(v, next.id)
			return n == next || found && e.Incarnation == next.inc && !e.Leaving
		})
	}
	next.State = member.New(member.Settings{}, behind, f.clock.Now())
	require.Less(t, f.runRounds(20, seen), 20)
	previous.dead = false
	f.byAddr[previous.addr] = next
	for range 12 {
		f.runRound()
	}
	require.True(t, previous.State.View(f.clock.Now()).Superseded)
	previous.dead = true
	for range 5 {
		f.runRound()
		require.True(t, seen())
	}
}

// A restarted instance whose clock was set back must move its start time past that of
// its previous incarnation. Otherwise the others would ignore its record.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	state := member.New(member.Settings{}, member.Record{ID: "a", Incarnation: "new", Peer: "10.0.0.1:1"}, now)
	previous := member.Record{ID: "a", Incarnation: "old", Peer: "10.0.0.1:1", StartTime: now.Add(time.Hour).UnixNano(), Version: 9}
	state.Merge(member.Message{Records: []member.Record{previous}}, now.Add(time.Second))
	require.Greater(t, state.Message("", member.Message{}, now).Records[0].StartTime, previous.StartTime)
	require.False(t, state.View(now).Superseded)
}

// A target that refuses work as leaving, or that is leaving in the list seen by the
// instance whose turn it is, must be leaving in all views within a few rounds. An
// instance that reaches no peer must see it in the list itself.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(8, 2, 100)
	for range 10 {
		f.runRound()
	}
	leaving := func(id string) func() bool {
		return func() bool {
			return f.allViews(func(_ *node, v member.View) bool {
				for _, r := range v.Runners {
					if r.ID == id {
						return r.Leaving
					}
				}
				return false
			})
		}
	}
	f.nodes[3].State.RecordRefusal("runner-004", f.clock.Now())
	require.LessOrEqual(t, f.runRounds(20, leaving("runner-004")), 5)
	for range 4 {
		f.runRound()
		require.True(t, leaving("runner-004")(), "a list that may be older must not override the target's refusal")
	}
	for range 20 {
		f.runRound()
	}
	require.False(t, leaving("runner-004")(), "a list made well after the refusal must override it")
	f.live.Members[8].Leaving = true
	require.LessOrEqual(t, f.runRounds(20, leaving("runner-008")), 5)

	f.isCut = func(from, to *node) bool { return from != to }
	for range 10 {
		f.runRound()
	}
	f.live.Members[10].Leaving = true
	require.LessOrEqual(t, f.runRounds(20, leaving("runner-010")), 2, "while no peer is reachable")
}

// A target goes down at the second consecutive failed connection, stays down for a
// time that doubles with a further failure, and is up after a success.
func TestDownTargets(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	s := member.New(member.Settings{}, member.Record{ID: "a", Incarnation: "i", Peer: "10.0.0.1:1"}, now)
	s.ApplyList(table.LiveList{Members: []table.Member{{ID: "r1", Kind: table.KindRunner, Addr: "10.0.0.2:1"}}, Age: span.Second}, now)
	down := func() bool { return s.View(now).Runners[0].Down }
	s.RecordConnection("r1", false, now)
	require.False(t, down())
	s.RecordConnection("r1", false, now)
	require.True(t, down())
	now = now.Add(600 * time.Millisecond)
	require.False(t, down())
	s.RecordConnection("r1", false, now)
	now = now.Add(600 * time.Millisecond)
	require.True(t, down())
	v := s.View(now)
	require.True(t, v.Members()[1].Leaving)
	s.RecordConnection("r1", true, now)
	require.False(t, down())
}
