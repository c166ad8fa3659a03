package shard

import (
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Bounds of a plan.
const (
	RunnersPerCell = 64 // target; exceeded on average only if there are MaxCells cells
	MaxCells       = 64
)

// Plan is the division of jobs and runners into cells. The zero value has one cell.
type Plan struct {
	Cells int `json:"cells"` // number of cells
	// Bounds are the highest ids of runners in all cells but the last, in ascending order.
	// Without them a hash of the id decides on the cell of a runner.
	Bounds []string `json:"bounds,omitempty"`
}

// NewPlan returns the plan for the given ids of runners with about perCell runners in each
// cell, RunnersPerCell if perCell is zero. If the ids are random, so that
// those of later runners will spread in the same way, each cell gets a range of ids: its
// holder then reads the rows of its own runners only.
func NewPlan(runners []string, perCell int) Plan {
	if perCell <= 0 {
		perCell = RunnersPerCell
	}
	p := Plan{Cells: min(max((len(runners)+perCell-1)/perCell, 1), MaxCells)}
	if p.Cells == 1 || !random(runners) {
		return p
	}
	sorted := slices.Sorted(slices.Values(runners))
	for i := 1; i < p.Cells; i++ {
		p.Bounds = append(p.Bounds, sorted[i*len(sorted)/p.Cells-1])
	}
	return p
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

// valid reports whether p can have been made by NewPlan.
func (p Plan) valid() bool {
	return p.Cells >= 1 && p.Cells <= MaxCells && (len(p.Bounds) == 0 || len(p.Bounds) == p.Cells-1) && slices.IsSorted(p.Bounds)
}

// CellOf returns the number of the cell, from 0, to which the job with the given id
// belongs.
func (p Plan) CellOf(id string) int {
	if p.Cells <= 1 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	return int((sum ^ sum>>32) % uint64(p.Cells))
}

// CellOfRunner returns the number of the cell to which the runner with the given id
// belongs.
func (p Plan) CellOfRunner(id string) int {
	if len(p.Bounds) == 0 {
		return p.CellOf(id)
	}
	cell, _ := slices.BinarySearch(p.Bounds, id)
	return cell
}

// RunnerRange returns the bounds of the ids of a cell's runners: those after the one and not
// after the other. They are empty where there is no bound.
func (p Plan) RunnerRange(cell int) (after, through string) {
	if cell > 0 && cell <= len(p.Bounds) {
		after = p.Bounds[cell-1]
	}
	if cell < len(p.Bounds) {
		through = p.Bounds[cell]
	}
	return after, through
}

// CellName returns the name of the cell with the given number.
func CellName(cell int) string {
	return "c" + strconv.Itoa(cell)
}
