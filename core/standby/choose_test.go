package standby_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/standby"
)

// newMembers returns n members in each of the zones a, b and c. The last of each zone has
// twice the cores of the others.
func newMembers(n int) []election.Member {
	var members []election.Member
	for _, zone := range []string{"a", "b", "c"} {
		for i := range n {
			m := election.Member{Node: fmt.Sprintf("%s%d", zone, i), Zone: zone, Cores: 0.4}
			if i == n-1 {
				m.Cores = 0.8
			}
			members = append(members, m)
		}
	}
	return members
}

func all(election.Member) bool { return true }

// TestChooseZones checks that a zone can be lost: the other zones come first, and the
// holder is not chosen.
func TestChooseZones(t *testing.T) {
	t.Parallel()
	members := newMembers(3)
	for _, holder := range members {
		for cell := range 20 {
			chosen := standby.Choose(fmt.Sprintf("c%d", cell), holder, members, all)
			require.Len(t, chosen, standby.Count)
			require.NotContains(t, chosen, holder.Node)
			zones := []string{chosen[0][:1], chosen[1][:1]}
			require.NotEqual(t, zones[0], zones[1])
			require.NotContains(t, zones, holder.Zone)
		}
	}
}

// TestChooseStable checks that the choice hardly changes when one node is passed over, and
// that it does not depend on the order of the members.
func TestChooseStable(t *testing.T) {
	t.Parallel()
	members := newMembers(5)
	chosen := standby.Choose("c1", members[0], members, all)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	require.Equal(t, chosen, standby.Choose("c1", members[0], reversed, all))
	without := standby.Choose("c1", members[0], members, func(m election.Member) bool { return m.Node != chosen[1] })
	kept := 0
	for _, node := range without {
		if slices.Contains(chosen, node) {
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, standby.Count-2)
	require.NotContains(t, without, chosen[1])
}

// TestChooseFew checks fleets that are smaller than the number of standbys.
func TestChooseFew(t *testing.T) {
	t.Parallel()
	members := newMembers(1)
	require.Empty(t, standby.Choose("c", members[0], members[:1], all))
	require.Equal(t, []string{"b0"}, standby.Choose("c", members[0], members[:2], all))
	require.Empty(t, standby.Choose("c", members[0], nil, all))
	require.Empty(t, standby.Choose("c", members[0], members, func(election.Member) bool { return false }))
}

// TestChooseSpread checks that over many cells no node is chosen far more often than its
// cores explain, and that nodes with more cores come first.
func TestChooseSpread(t *testing.T) {
	t.Parallel()
	members := newMembers(20)
	counts := map[string]int{}
	const cells = 600
	for cell := range cells {
		for _, node := range standby.Choose(fmt.Sprintf("c%d", cell), members[cell%len(members)], members, all) {
			counts[node]++
		}
	}
	for _, m := range members {
		if m.Cores > 0.4 {
			require.InDelta(t, 3.5*standby.Count*cells/60, counts[m.Node], 2*standby.Count*cells/60, m.Node)
		} else {
			require.Less(t, counts[m.Node], 2*standby.Count*cells/60, m.Node)
		}
	}
}

// TestForCell checks that a cell that is held in its zone has its standbys there, even if
// there is only one, and that all others may have them anywhere.
func TestForCell(t *testing.T) {
	t.Parallel()
	members := newMembers(3)
	require.ElementsMatch(t, []string{"a1", "a2"}, standby.ForCell("c", "a", members[0], members, all))
	oneLeft := func(m election.Member) bool { return m.Node != "a1" }
	require.Equal(t, []string{"a2"}, standby.ForCell("c", "a", members[0], members, oneLeft))
	for _, test := range []struct {
		zone   string
		usable func(m election.Member) bool
	}{
		{"", all},
		{"b", all}, // held elsewhere
		{"a", func(m election.Member) bool { return m.Zone != "a" }},
	} {
		chosen := standby.ForCell("c", test.zone, members[0], members, test.usable)
		require.Equal(t, standby.Choose("c", members[0], members, test.usable), chosen)
		require.Len(t, chosen, standby.Count)
	}
}

// TestImproves checks when standbys are replaced: in a fleet whose instances are restarted
// in turn, those of other zones that stood in must give way to those of the zone.
func TestImproves(t *testing.T) {
	t.Parallel()
	members := newMembers(3)
	for _, test := range []struct {
		name            string
		chosen, current []string
		silent, want    bool
	}{
		{"none found", nil, []string{"a1"}, true, false},
		{"the same in another order", []string{"a1", "a2"}, []string{"a2", "a1"}, true, false},
		{"more", []string{"a1", "a2"}, []string{"a1"}, false, true},
		{"as many elsewhere", []string{"b1", "b2"}, []string{"a1", "b1"}, false, false},
		{"a silent one", []string{"b1", "b2"}, []string{"a1", "b1"}, true, true},
		{"fewer, but in the zone", []string{"a1", "a2"}, []string{"a1", "b1", "b2", "c1"}, false, true},
		{"fewer in the zone", []string{"a1"}, []string{"a1", "a2"}, false, false},
		{"an unknown one is taken for one elsewhere", []string{"a1", "a2"}, []string{"a1", "gone"}, false, true},
	} {
		require.Equal(t, test.want, standby.Improves(test.chosen, test.current, test.silent, "a", members), test.name)
	}
}

// TestReserves checks that only a cell that is held in its zone has reserves, all of them elsewhere.
func TestReserves(t *testing.T) {
	t.Parallel()
	members := newMembers(3)
	chosen := standby.Reserves("c", "a", members[0], members, all)
	require.Len(t, chosen, standby.ReserveCount)
	zones := map[string]bool{}
	for _, m := range members {
		if slices.Contains(chosen, m.Node) {
			require.NotEqual(t, "a", m.Zone)
			zones[m.Zone] = true
		}
	}
	require.Len(t, zones, standby.ReserveCount, "a zone that is lost leaves one")
	require.Empty(t, standby.Reserves("c", "b", members[0], members, all))
	require.Empty(t, standby.Reserves("c", "", members[0], members, all))
	require.Empty(t, standby.Reserves("c", "a", members[0], members[:3], all))
}
