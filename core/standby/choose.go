package standby

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"gypsumward/core/election"
)

// Count is the number of standbys of a cell.
const Count = 4

// Choose returns up to Count nodes for a cell, in order of preference, from members other
// than the holder for which usable returns true. Each further node comes from a zone with
// the fewest standbys so far, where the zone of the holder counts one more, so that the
// loss of a zone leaves one. Within a zone the order is a hash of cell and node weighted by
// the square of the cores, so that cells spread over the instances that can hold them.
func Choose(cell string, holder election.Member, members []election.Member, usable func(m election.Member) bool) []string {
	type candidate struct {
		election.Member
		rank float64
	}
	var candidates []candidate
	for _, m := range members {
		if m.Node != holder.Node && usable(m) {
			candidates = append(candidates, candidate{m, rank(cell, m)})
		}
	}
	perZone := map[string]int{holder.Zone: 1}
	var chosen []string
	for len(chosen) < Count && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(perZone[a.Zone], perZone[b.Zone]), cmp.Compare(a.rank, b.rank), cmp.Compare(a.Node, b.Node))
		})
		perZone[best.Zone]++
		chosen = append(chosen, best.Node)
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.Node == best.Node })
	}
	return chosen
}

// ForCell returns the standbys for a cell with runners in a zone, or in several if zone is
// empty. A cell that is held in its zone has all standbys there, if any member there is
// usable, so that a zone that is cut off goes on with its own cells. Others are as by Choose.
func ForCell(cell, zone string, holder election.Member, members []election.Member, usable func(m election.Member) bool) []string {
	if zone != "" && holder.Zone == zone {
		inZone := func(m election.Member) bool { return m.Zone == zone && usable(m) }
		if chosen := Choose(cell, holder, members, inZone); len(chosen) > 0 {
			return chosen
		}
	}
	return Choose(cell, holder, members, usable)
}

// ReserveCount is the number of reserves of a cell.
const ReserveCount = 2

// Reserves returns up to ReserveCount nodes in other zones than that of a cell which is held in its
// zone, as by Choose; they take over if the whole zone is lost. Any other cell has none, since its
// standbys are in several zones.
func Reserves(cell, zone string, holder election.Member, members []election.Member, usable func(m election.Member) bool) []string {
	if zone == "" || holder.Zone != zone {
		return nil
	}
	chosen := Choose(cell, holder, members, func(m election.Member) bool { return m.Zone != zone && usable(m) })
	return chosen[:min(len(chosen), ReserveCount)]
}

// Improves reports whether chosen are to replace the current standbys of a cell with
// runners in a zone: some of them are silent, there are more of them, or, for a cell held in
// its zone, they are there and some of the current ones are not.
func Improves(chosen, current []string, silent bool, zone string, members []election.Member) bool {
	if len(chosen) == 0 || sameNodes(chosen, current) {
		return false
	}
	return silent || len(chosen) > len(current) || (allInZone(chosen, zone, members) && !allInZone(current, zone, members))
}

// sameNodes reports whether a and b hold the same nodes, in any order.
func sameNodes(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// allInZone reports whether all nodes are members known to be in a zone.
func allInZone(nodes []string, zone string, members []election.Member) bool {
	return !slices.ContainsFunc(nodes, func(node string) bool {
		return !slices.ContainsFunc(members, func(m election.Member) bool { return m.Node == node && m.Zone == zone })
	})
}

// rank returns a value that is lower for better suited members: exponentially distributed
// over nodes, with a rate that is the square of the cores.
func rank(cell string, m election.Member) float64 {
	weight := max(m.Cores*m.Cores, 1e-6)
	return -math.Log(Uniform(cell, m.Node)) / weight
}

// Uniform returns a number above 0 and at most 1 that depends on cell and node only.
func Uniform(cell, node string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cell + "/" + node))
	x := h.Sum64()
	x ^= x >> 33 // the low bytes of FNV-1a hardly affect its high bits
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return (float64(x>>11) + 1) / (1 << 53)
}
