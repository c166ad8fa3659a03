package hosted

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/cell"
	"gypsumward/core/hangup"
	"gypsumward/core/locate"
	"gypsumward/core/overflow"
	"gypsumward/core/proxy"
	"gypsumward/core/work"
)

// jobService implements platform.JobService. It passes each call to the proxies of the
// cells that may have the job.
type jobService struct {
	h *Host
}

// planRetryAfter is the time after which a client may retry at an instance that does
// not know the plan yet.
const planRetryAfter = time.Second

// proxyOf returns the proxy of the cell to which a stored job belongs, or nil if the plan
// is not known yet.
func (s jobService) proxyOf(id string) *proxy.Proxy {
	participants := s.h.participants()
	if participants == nil {
		return nil
	}
	return participants[s.h.plan.Load().HomeOf(id)].proxy
}

// reasonExpired is the reason of the refusal of a job whose client has stopped waiting before the
// submission was read. It may have submitted the job again elsewhere.
const reasonExpired = "expired"

// expiredRetryAfter is the time after which a client may submit such a job again here.
const expiredRetryAfter = time.Second

// Submit submits a job: one that is stored to the cell to which it belongs, any other to
// the cells of this data centre first. It refuses the job if the plan is not known yet, or if
// ctx has ended.
func (s jobService) Submit(ctx context.Context, j work.Job) cell.Outcome {
	if ctx.Err() != nil {
		s.refused(j, reasonExpired)
		return cell.Outcome{Verdict: cell.Refused, Reason: reasonExpired, RetryAfter: expiredRetryAfter}
	}
	p := s.proxyOf(j.ID)
	if p == nil {
		return cell.Outcome{Verdict: cell.Refused, Reason: proxy.ReasonNoHolder, RetryAfter: planRetryAfter}
	}
	if !j.Transient {
		return p.Submit(ctx, j, s.h.clock.Now(), false)
	}
	participants := s.h.participants()
	var cells []overflow.Cell
	for _, n := range s.h.plan.Load().Preferred(j.ID, s.h.self.Zone) {
		cells = append(cells, participants[n].proxy)
	}
	submitter := overflow.Submitter{Clock: s.h.clock, OnHandedOver: s.handedOver, Gone: hangup.Closed}
	o := submitter.Submit(ctx, j, cells)
	if o.Reason == overflow.ReasonGone {
		s.refused(j, o.Reason)
	}
	return o
}

// refused counts and logs the refusal of a job that was submitted to no cell.
func (s jobService) refused(j work.Job, reason string) {
	s.h.metrics.Count("refused_"+reason, 1)
	_ = s.h.log.Log("event", "refuse", "job", j.ID, "queue", j.Queue.Name, "reason", reason, "delay", s.h.stalls.Delay())
}

// handedOver counts and logs a refusal by a cell of a job that another one may run.
func (s jobService) handedOver(j work.Job, from overflow.Cell, o cell.Outcome) {
	s.h.metrics.Count("handed_over_"+o.Reason, 1)
	_ = s.h.log.Log("event", "overflow", "job", j.ID, "queue", j.Queue.Name, "from", from.Name(), "reason", o.Reason)
}

// Cancel cancels a job. It returns known as false if there is no such job, and
// proxy.ErrNoHolder if the plan is not known yet.
func (s jobService) Cancel(ctx context.Context, id string) (state work.State, known bool, err error) {
	return s.find(ctx, id, 0, func(ctx context.Context, p *proxy.Proxy) (locate.Answer, error) { return p.Cancel(ctx, id) })
}

// stateAttempts is the number of attempts to ask for the state of a job that is being moved.
const stateAttempts = 5

// State returns the state of a job. It returns known as false if there is no such job,
// and proxy.ErrNoHolder if the plan is not known yet.
func (s jobService) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	state, known, err = s.find(ctx, id, stateAttempts, func(ctx context.Context, p *proxy.Proxy) (locate.Answer, error) { return p.State(ctx, id) })
	if errors.Is(err, locate.ErrMoving) {
		return work.Queued, true, nil // it has nothing running while it is moved
	}
	return state, known, err
}

// find calls ask for the cell that has the stored job with the given id, as that to which the job
// belongs knows it, then for the cells to which this instance would have submitted one that is not
// stored, until one knows the job or fails. A job that is being moved is looked for a number of times.
func (s jobService) find(ctx context.Context, id string, attempts int, ask func(context.Context, *proxy.Proxy) (locate.Answer, error)) (state work.State, known bool, err error) {
	participants := s.h.participants()
	if participants == nil {
		return work.Unknown, false, proxy.ErrNoHolder
	}
	plan := s.h.plan.Load()
	home := plan.HomeOf(id)
	locator := locate.Locator{Ask: func(ctx context.Context, name string) (locate.Answer, error) {
		p := s.h.participantOf(name)
		if p == nil {
			return locate.Answer{}, proxy.ErrNoHolder
		}
		return ask(ctx, p.proxy)
	}}
	a, err := locator.Find(ctx, participants[home].name, attempts)
	if a.Known || err != nil {
		return a.State, a.Known, err
	}
	preferred := plan.Preferred(id, s.h.self.Zone)
	for _, n := range preferred[:min(len(preferred), overflow.MaxCells)] {
		if n == home {
			continue
		}
		if a, err = ask(ctx, participants[n].proxy); a.Known || err != nil {
			break
		}
	}
	return a.State, a.Known, err
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
