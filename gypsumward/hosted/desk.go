package hosted

import (
	"context"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/front"
	"gypsumward/core/work"
)

// desk hands the calls of clients to the cells of their jobs.
type desk struct {
	h *Host
}

// early is when to come back to an instance that does not know the plan yet.
const early = time.Second

func (d desk) of(id string) *front.Front {
	seats := d.h.seated()
	if seats == nil {
		return nil
	}
	return seats[d.h.plan.Load().Of(id)].front
}

// Submit hands a job in.
func (d desk) Submit(ctx context.Context, j work.Job) cell.Outcome {
	f := d.of(j.ID)
	if f == nil {
		return cell.Outcome{Verdict: cell.Refused, Reason: front.ReasonHolder, After: early}
	}
	return f.Submit(ctx, j)
}

// Cancel ends a job.
func (d desk) Cancel(ctx context.Context, id string) (state work.State, known bool, err error) {
	f := d.of(id)
	if f == nil {
		return work.Unknown, false, front.ErrUnknown
	}
	return f.Cancel(ctx, id)
}

// State returns the state of a job.
func (d desk) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	f := d.of(id)
	if f == nil {
		return work.Unknown, false, front.ErrUnknown
	}
	return f.State(ctx, id)
}

// Pending returns the number of jobs of a queue of which no task has started, in all
// cells.
func (d desk) Pending(ctx context.Context, queue string) (int, error) {
	seats := d.h.seated()
	if seats == nil {
		return 0, front.ErrUnknown
	}
	type answer struct {
		n   int
		err error
	}
	answers := make(chan answer, len(seats))
	for _, s := range seats {
		go func() {
			n, err := s.front.Pending(ctx, queue)
			answers <- answer{n, err}
		}()
	}
	total := 0
	for range seats {
		a := <-answers
		if a.err != nil {
			return 0, a.err
		}
		total += a.n
	}
	return total, nil
}
