package owner

import (
	"context"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/event"
	"gypsumward/core/span"
)

// Cancel fails a job as cancelled and waits for its answer until ctx ends. If task
// is not empty, the answer names it as the task that was cancelled. A job that is
// already final keeps its answer. After a final answer no further task starts,
// except for those whose start calls by a previous owner are in flight; the
// answer's Ran is then api.RanUnknown.
func (o *Owner) Cancel(ctx context.Context, k api.Key, task string) (*api.Answer, *api.Refusal) {
	for {
		if j := o.find(k); j != nil {
			o.post(cancelJob{job: j, task: task})
			if a, r, local := o.awaitLocal(ctx, j); local {
				return a, r
			}
		}
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
		case err == nil && !row.Released() && row.Owner != o.ID:
			a, owned, err := o.Peers.Cancel(ctx, row.Owner, k, task)
			if err == nil && owned && a.Final() {
				return &a, nil
			}
		}
		select {
		case <-o.Clock.After(o.Settings.PollInterval):
		case <-ctx.Done():
			return nil, &api.Refusal{
				Reason: api.ReasonOwner, Ran: api.RanUnknown, RetryAfter: span.Second,
				Detail: "the instance that owns the job cannot be reached; the job is not cancelled yet",
			}
		}
	}
}

// CancelLocal cancels a job that this instance owns. It reports false for any
// other job.
func (o *Owner) CancelLocal(ctx context.Context, k api.Key, task string) (api.Answer, bool) {
	j := o.find(k)
	if j == nil {
		return api.Answer{}, false
	}
	o.post(cancelJob{job: j, task: task})
	return o.LocalAnswer(ctx, k)
}

// cancelJob asks the loop to fail a job as cancelled.
type cancelJob struct {
	job  *job
	task string
}

func (m cancelJob) apply(o *Owner) {
	if m.job.stage == resolved {
		return
	}
	detail := "the caller cancelled the job"
	if m.task != "" {
		detail = "the caller cancelled task " + m.task
	}
	o.addEvent(event.Cancelled, m.job.key, m.task)
	o.fail(m.job, api.ReasonCancelled, detail)
}
