package hosted

import (
	"context"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/proxy"
	"gypsumward/core/work"
)

// jobService implements platform.JobService. It passes each call to the proxy of the
// cell to which the job belongs.
type jobService struct {
	h *Host
}

// planRetryAfter is the time after which a client may retry at an instance that does
// not know the plan yet.
const planRetryAfter = time.Second

// proxyOf returns the proxy of the cell of a job, or nil if the plan is not known yet.
func (s jobService) proxyOf(id string) *proxy.Proxy {
	participants := s.h.participants()
	if participants == nil {
		return nil
	}
	return participants[s.h.plan.Load().CellOf(id)].proxy
}

// Submit submits a job to its cell. It refuses the job if the plan is not known yet.
func (s jobService) Submit(ctx context.Context, j work.Job) cell.Outcome {
	p := s.proxyOf(j.ID)
	if p == nil {
		return cell.Outcome{Verdict: cell.Refused, Reason: proxy.ReasonNoHolder, RetryAfter: planRetryAfter}
	}
	return p.Submit(ctx, j)
}

// Cancel cancels a job. It returns known as false if there is no such job, and
// proxy.ErrNoHolder if the plan is not known yet.
func (s jobService) Cancel(ctx context.Context, id string) (state work.State, known bool, err error) {
	p := s.proxyOf(id)
	if p == nil {
		return work.Unknown, false, proxy.ErrNoHolder
	}
	return p.Cancel(ctx, id)
}

// State returns the state of a job. It returns known as false if there is no such job,
// and proxy.ErrNoHolder if the plan is not known yet.
func (s jobService) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	p := s.proxyOf(id)
	if p == nil {
		return work.Unknown, false, proxy.ErrNoHolder
	}
	return p.State(ctx, id)
}

// Pending returns the number of jobs of a queue of which no task has started, summed
// over all cells. It fails if any cell fails.
func (s jobService) Pending(ctx context.Context, queue string) (int, error) {
	participants := s.h.participants()
	if participants == nil {
		return 0, proxy.ErrNoHolder
	}
	type result struct {
		n   int
		err error
	}
	results := make(chan result, len(participants))
	for _, p := range participants {
		go func() {
			n, err := p.proxy.Pending(ctx, queue)
			results <- result{n, err}
		}()
	}
	total := 0
	for range participants {
		r := <-results
		if r.err != nil {
			return 0, r.err
		}
		total += r.n
	}
	return total, nil
}
