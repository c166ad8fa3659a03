package owner

import (
	"context"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/claim"
)

// Answer waits until ctx ends for the answer to a job, whichever instance owns
// it. Exactly one of the results is non-nil.
func (o *Owner) Answer(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal) {
	if j := o.find(k); j != nil {
		return o.await(ctx, j)
	}
	return o.follow(ctx, k)
}

// LocalAnswer waits like Answer, but only for a job that this instance owns. It reports
// false for any other job.
func (o *Owner) LocalAnswer(ctx context.Context, k api.Key) (api.Answer, bool) {
	j := o.find(k)
	if j == nil {
		return api.Answer{}, false
	}
	select {
	case <-j.finished:
	case <-ctx.Done():
		return j.openAnswer(), true
	case <-o.closed:
		return api.Answer{}, false
	}
	if j.resolution.elsewhere || j.resolution.refusal != nil {
		return api.Answer{}, false
	}
	return j.resolution.answer, true
}

// find returns the job with key k, or nil if this instance does not own it.
func (o *Owner) find(k api.Key) *job {
	reply := make(chan *job, 1)
	if !o.post(jobQuery{key: k, reply: reply}) {
		return nil
	}
	select {
	case j := <-reply:
		return j
	case <-o.closed:
		return nil
	}
}

// jobQuery asks the loop for the job with a key. The reply is nil if this
// instance does not own it.
type jobQuery struct {
	key   api.Key
	reply chan *job
}

func (m jobQuery) apply(o *Owner) {
	j := o.jobs[m.key]
	if j != nil && j.stale() {
		j = nil
	}
	m.reply <- j
}

// follow reads the row of a job that another instance owns until it is final or
// ctx ends, asking the owner in between.
func (o *Owner) follow(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal) {
	known := false
	for {
		callCtx, cancel := clockwork.WithTimeout(ctx, o.Clock, o.Settings.CallTimeout)
		row, found, err := claim.Read(callCtx, o.Table, claim.JobKey(k))
		cancel()
		switch {
		case err == nil && (!found || row.ReleasedNotRun):
			return nil, missingRefusal(k)
		case err == nil && row.Final():
			if a, ok := row.LoadAnswer(ctx, o.Objects); ok {
				return a, nil
			}
		case err == nil:
			known = true
			if a := o.askOwner(ctx, row, k); a != nil {
				return a, nil
			}
		}
		select {
		case <-o.Clock.After(o.Settings.PollInterval):
		case <-ctx.Done():
			if !known {
				return nil, unknownRefusal("the table service does not answer")
			}
			return &api.Answer{Team: k.Team, ID: k.ID, State: api.StateOpen}, nil
		}
	}
}

// askOwner waits for the final answer to a job at the instance that owns it, for
// at most Settings.MaxWatch. It returns nil if there is none yet or the owner
// cannot be reached.
func (o *Owner) askOwner(ctx context.Context, row claim.Row, k api.Key) *api.Answer {
	if row.Released() || row.Owner == o.ID {
		return nil
	}
	a, owned, err := o.Peers.AwaitAnswer(ctx, row.Owner, k, o.Settings.MaxWatch)
	if err != nil || !owned || !a.Final() {
		return nil
	}
	return &a
}
