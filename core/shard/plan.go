package shard

import (
	"hash/fnv"
	"strconv"
)

// Bounds of a plan.
const (
	RunnersPerCell = 64 // aimed at; a cell has more only if there are MaxCells
	MaxCells       = 64
)

// Plan tells how many cells there are. The zero value means one.
type Plan struct {
	Cells int `json:"cells"`
}

// For returns the plan for a number of runners.
func For(runners int) Plan {
	return Plan{Cells: min(max((runners+RunnersPerCell-1)/RunnersPerCell, 1), MaxCells)}
}

// Of returns the number of the cell of a job or runner, from 0.
func (p Plan) Of(id string) int {
	if p.Cells <= 1 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	return int((sum ^ sum>>32) % uint64(p.Cells))
}

// Name returns the name of the cell of a number.
func Name(cell int) string {
	return "c" + strconv.Itoa(cell)
}
