package shard

import (
	"hash/fnv"
	"strconv"
)

// Bounds of a plan.
const (
	RunnersPerCell = 64 // target; exceeded on average only if there are MaxCells cells
	MaxCells       = 64
)

// Plan is the division of jobs and runners into cells. The zero value has one cell.
type Plan struct {
	Cells int `json:"cells"` // number of cells
}

// NewPlan returns the plan for the given number of runners.
func NewPlan(runners int) Plan {
	return Plan{Cells: min(max((runners+RunnersPerCell-1)/RunnersPerCell, 1), MaxCells)}
}

// CellOf returns the number of the cell, from 0, to which the job or runner with the
// given id belongs.
func (p Plan) CellOf(id string) int {
	if p.Cells <= 1 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	return int((sum ^ sum>>32) % uint64(p.Cells))
}

// CellName returns the name of the cell with the given number.
func CellName(cell int) string {
	return "c" + strconv.Itoa(cell)
}
