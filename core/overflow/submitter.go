package overflow

import (
	"context"
	"slices"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// MaxCells is the number of cells to which a job is submitted before it is refused.
const MaxCells = 3

// Cell is a cell that accepts or refuses jobs.
type Cell interface {
	// Connected reports whether the holder of the cell can be reached.
	Connected() bool
	// Submit submits a job that arrived at the given time and returns the outcome.
	Submit(ctx context.Context, j work.Job, arrived time.Time) cell.Outcome
}

// Submitter submits jobs to cells. Its fields must be set before use.
type Submitter struct {
	Clock interface{ Now() time.Time }
	// OnHandedOver is called when a cell has refused a job that is submitted to another one.
	OnHandedOver func(j work.Job, o cell.Outcome)
}

// Submit submits a job to cells until one does not refuse it, at most MaxCells of them:
// those with a holder that can be reached first, otherwise in the given order. If all
// refuse, it returns the refusal of the first with the shortest of the times after which
// the caller may submit again.
func (s *Submitter) Submit(ctx context.Context, j work.Job, cells []Cell) cell.Outcome {
	arrived := s.Clock.Now()
	ordered := reachableFirst(cells)
	ordered = ordered[:min(len(ordered), MaxCells)]
	var refusal cell.Outcome
	for i, c := range ordered {
		o := c.Submit(ctx, j, arrived)
		if o.Verdict != cell.Refused {
			return o
		}
		if i == 0 {
			refusal = o
		}
		refusal.RetryAfter = min(refusal.RetryAfter, o.RetryAfter)
		if ctx.Err() != nil {
			break
		}
		if i+1 < len(ordered) {
			s.OnHandedOver(j, o)
		}
	}
	return refusal
}

// reachableFirst returns cells with those first whose holder can be reached.
func reachableFirst(cells []Cell) []Cell {
	ordered := make([]Cell, 0, len(cells))
	var unreachable []Cell
	for _, c := range cells {
		if c.Connected() {
			ordered = append(ordered, c)
		} else {
			unreachable = append(unreachable, c)
		}
	}
	return slices.Concat(ordered, unreachable)
}
