package overflow

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/monotonic"
	"gypsumward/core/work"
)

// MaxCells is the number of cells to which a job is submitted before it is refused. Cells of which no
// runner can run the job do not count.
const MaxCells = 3

// Cell is a cell that accepts or refuses jobs.
type Cell interface {
	// Name returns the name of the cell.
	Name() string
	// Connected reports whether the holder of the cell can be reached.
	Connected() bool
	// Submit submits a job that arrived at the given time and returns the outcome. If
	// roomOnly is true, the cell refuses a job of which not all first tasks can start at
	// once, with cell.ReasonNoRoom and the time after which the tasks that wait will have
	// started.
	Submit(ctx context.Context, j work.Job, arrived time.Time, roomOnly bool) cell.Outcome
}

// Submitter submits jobs to cells. Its fields must be set before use.
type Submitter struct {
	Clock interface{ Now() time.Time }
	// OnHandedOver is called when the cell from has refused a job that is submitted again.
	OnHandedOver func(j work.Job, from Cell, o cell.Outcome)
	// Gone reports whether the caller of a submission, whose context it receives, no longer waits,
	// also before the context ends. It may be nil.
	Gone func(ctx context.Context) bool
}

// ReasonGone is the reason of the refusal of a job whose caller no longer waits.
const ReasonGone = "gone"

// goneRetryAfter is the time after which the caller may submit such a job again.
const goneRetryAfter = time.Second

// Submit submits a job to at most MaxCells cells that can run it, those with a holder that can be reached
// first, otherwise in the given order: first to those that can start it at once, then, if
// none can, until one does not refuse it, that with the least work first. If all refuse, it
// returns the refusal of the first with the shortest of the times after which the caller may
// submit again. It submits a job to no cell any more once the caller is gone, since it may have
// submitted it again elsewhere.
func (s *Submitter) Submit(ctx context.Context, j work.Job, cells []Cell) cell.Outcome {
	arrived := s.Clock.Now()
	deadline := monotonic.DeadlineOf(ctx, arrived)
	if s.gone(ctx) {
		return cell.Outcome{Verdict: cell.Refused, Reason: ReasonGone, RetryAfter: goneRetryAfter}
	}
	over := func() bool { return s.gone(ctx) || deadline.Passed(s.Clock.Now()) }
	reachable, unreachable := byReach(cells)
	ordered := slices.Concat(reachable, unreachable)
	var refusals []cell.Outcome
	var full []waitingCell
	if len(ordered) == 1 {
		return ordered[0].Submit(ctx, j, arrived, false)
	}
	tried := 0
	for i, c := range ordered {
		if tried == MaxCells {
			break
		}
		tried++
		if i >= len(reachable) {
			full = append(full, waitingCell{c, unknownWait})
			continue
		}
		o := c.Submit(ctx, j, arrived, true)
		if o.Verdict != cell.Refused || over() {
			return o
		}
		switch o.Reason {
		case cell.ReasonNoRoom:
			full = append(full, waitingCell{c, o.RetryAfter})
		case cell.ReasonNoRunnerFits, cell.ReasonEvacuated:
			tried--
			refusals = append(refusals, o)
		default:
			refusals = append(refusals, o)
		}
		s.OnHandedOver(j, c, o)
	}
	slices.SortStableFunc(full, func(a, b waitingCell) int { return cmp.Compare(a.wait, b.wait) })
	for _, c := range full {
		o := c.Submit(ctx, j, arrived, false)
		if o.Verdict != cell.Refused {
			return o
		}
		refusals = append(refusals, o)
		if over() {
			break
		}
		s.OnHandedOver(j, c, o)
	}
	return combine(refusals)
}

// gone reports whether the caller of a submission no longer waits.
func (s *Submitter) gone(ctx context.Context) bool {
	return ctx.Err() != nil || (s.Gone != nil && s.Gone(ctx))
}

// waitingCell is a cell that may run a job later, once the tasks that wait have started.
type waitingCell struct {
	Cell
	wait time.Duration
}

// unknownWait stands for the wait in a cell that was not asked.
const unknownWait = time.Duration(math.MaxInt64)

// combine returns the first of the refusals with the shortest of their times. That of a cell of which
// the runners are evacuated counts only if no other cell could have run the job, and goes before
// that of one without such runners. It panics if there are none.
func combine(refusals []cell.Outcome) cell.Outcome {
	o := refusals[0]
	if evacuated := slices.IndexFunc(refusals, func(r cell.Outcome) bool { return r.Reason == cell.ReasonEvacuated }); evacuated >= 0 {
		o = refusals[evacuated]
		if able := slices.IndexFunc(refusals, isAble); able >= 0 {
			o = refusals[able]
		}
	}
	for _, other := range refusals[1:] {
		o.RetryAfter = min(o.RetryAfter, other.RetryAfter)
	}
	return o
}

// isAble reports whether the cell that has refused a job has runners that could run it.
func isAble(o cell.Outcome) bool {
	return o.Reason != cell.ReasonEvacuated && o.Reason != cell.ReasonNoRunnerFits
}

// byReach returns the cells whose holder can be reached and the others.
func byReach(cells []Cell) (reachable, unreachable []Cell) {
	for _, c := range cells {
		if c.Connected() {
			reachable = append(reachable, c)
		} else {
			unreachable = append(unreachable, c)
		}
	}
	return reachable, unreachable
}
