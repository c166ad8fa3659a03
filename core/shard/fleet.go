package shard

import (
	"maps"
	"math"
	"slices"
	"strings"
)

// RunnersPerCell is the default of the number of runners in a cell.
const RunnersPerCell = 64

// Sizes from which on a data centre has cells of its own.
const (
	minZoneInstances = 2 // one holds a cell, another takes over
	minZoneRunners   = 12
)

// Runner is a runner as far as a plan depends on it.
type Runner struct {
	ID, Zone string
}

// Fleet is what a new plan is made for.
type Fleet struct {
	Runners   []Runner
	Instances map[string]int // number of instances by data centre
	PerCell   int            // number of runners in a cell; zero means RunnersPerCell
}

// Plan returns a plan for f. Each data centre with enough instances and runners has cells of
// its own, of about PerCell runners. If the ids of runners are random, so that those of
// later runners will spread in the same way, each cell of a data centre has a range of ids:
// its holder then reads the rows in that range only.
func (f Fleet) Plan() Plan {
	perCell := f.PerCell
	if perCell <= 0 {
		perCell = RunnersPerCell
	}
	idsByZone := f.idsByZone(minZoneRunners)
	if len(idsByZone) > MaxCells {
		idsByZone = f.idsByZone(len(f.Runners) + 1)
	}
	for count(idsByZone, perCell) > MaxCells {
		perCell *= 2
	}
	ranges := random(f.ids())
	var p Plan
	for _, zone := range slices.Sorted(maps.Keys(idsByZone)) {
		ids := idsByZone[zone]
		slices.Sort(ids)
		cells := newCells(zone, cellsFor(len(ids), perCell), nil)
		if n := len(cells); n > 1 && ranges {
			var bounds []string
			for i := 1; i < n; i++ {
				bounds = append(bounds, ids[i*len(ids)/n-1])
			}
			cells = newCells(zone, n, bounds)
		}
		p.Cells = append(p.Cells, cells...)
	}
	for i := range p.Cells {
		p.Cells[i].Name = CellName(i)
	}
	return p
}

func (f Fleet) ids() []string {
	ids := make([]string, len(f.Runners))
	for i, r := range f.Runners {
		ids[i] = r.ID
	}
	return ids
}

// idsByZone returns the ids of the runners by data centre. Those of data centres with fewer
// than minRunners runners or too few instances are under the empty name.
func (f Fleet) idsByZone(minRunners int) map[string][]string {
	counts := map[string]int{}
	for _, r := range f.Runners {
		counts[r.Zone]++
	}
	ids := map[string][]string{}
	for _, r := range f.Runners {
		zone := r.Zone
		if counts[zone] < minRunners || f.Instances[zone] < minZoneInstances {
			zone = ""
		}
		ids[zone] = append(ids[zone], r.ID)
	}
	if len(ids) == 0 {
		ids[""] = nil
	}
	return ids
}

// count returns the number of cells for runners by data centre.
func count(idsByZone map[string][]string, perCell int) int {
	n := 0
	for _, ids := range idsByZone {
		n += cellsFor(len(ids), perCell)
	}
	return n
}

// cellsFor returns the number of cells for a number of runners.
func cellsFor(runners, perCell int) int {
	return max((runners+perCell-1)/perCell, 1)
}

// buckets is the number of equal ranges by which ids are tested for randomness, one for
// each hexadecimal digit.
const buckets = 16

// random reports whether ids have a common prefix followed by hexadecimal digits of which
// the first is about evenly distributed.
func random(ids []string) bool {
	if len(ids) < 2*buckets {
		return false
	}
	prefix := len(commonPrefix(slices.Min(ids), slices.Max(ids)))
	var counts [buckets]int
	for _, id := range ids {
		digit := strings.IndexByte("0123456789abcdef", id[min(prefix, len(id)-1)])
		if digit < 0 {
			return false
		}
		counts[digit]++
	}
	mean := float64(len(ids)) / buckets
	spread := 4 * math.Sqrt(mean) // of a bucket about its mean, in four standard deviations
	return float64(slices.Min(counts[:])) >= mean-spread && float64(slices.Max(counts[:])) <= mean+spread && counts[buckets-1] > 0
}

// commonPrefix returns the longest common prefix of a and b.
func commonPrefix(a, b string) string {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n]
}
