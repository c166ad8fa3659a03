package owner

import (
	"context"

	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
)

// drain is the state of a shutdown.
type drain struct {
	done        chan struct{} // closed once all jobs are resolved
	releasedAny bool          // a job was released
}

// Drain releases all jobs and waits until none is left or ctx ends. No job is
// accepted from then on. Callers that wait for a released job get the answer of
// its new owner. Drain reports whether all jobs were recorded or released.
func (o *Owner) Drain(ctx context.Context) bool {
	d := &drain{done: make(chan struct{})}
	if !o.post(drainStarted{drain: d}) {
		return false
	}
	select {
	case <-d.done:
	case <-ctx.Done():
		return false
	}
	if d.releasedAny {
		// If the call fails, the next scan of any instance finds the released jobs.
		_ = o.Peers.NotifyReleased(ctx)
	}
	return true
}

// drainStarted asks the loop to begin a shutdown.
type drainStarted struct {
	drain *drain
}

func (m drainStarted) apply(o *Owner) {
	o.drain = m.drain
	for _, w := range o.workers {
		o.flush(w)
	}
	for _, j := range o.jobs {
		if j.stage == running {
			o.release(j)
		}
	}
	m.drain.finishIfDone(o)
}

// finishIfDone closes d.done if all jobs are resolved.
func (d *drain) finishIfDone(o *Owner) {
	select {
	case <-d.done:
		return
	default:
	}
	for _, j := range o.jobs {
		if j.stage != resolved {
			return
		}
	}
	close(d.done)
}

// release begins to release j: its queued tasks are dropped, and the row is
// written once no start call is in flight. A job whose tasks are all done is
// recorded instead.
func (o *Owner) release(j *job) {
	if j.remaining == 0 {
		return
	}
	j.stage = releasing
	j.abandonAt = o.Clock.Now().Add(o.Settings.GracePeriod)
	o.withdraw(j)
	o.advanceRelease(j)
}

// advanceRelease writes the released row once no start call or write is in flight.
func (o *Owner) advanceRelease(j *job) {
	if j.sending > 0 || j.isWriting {
		return
	}
	if j.remaining == 0 {
		o.record(j, j.completeAnswer(o.Clock.Now()))
		return
	}
	next := j.row
	next.Nonce = o.Nonce()
	next.NeverStarted = nil
	for i := 0; i < next.Mark; i++ {
		if j.tasks[i].phase == unqueued {
			next.NeverStarted = append(next.NeverStarted, i)
		}
	}
	j.isWriting = true
	o.writeAsync(claim.Release(next, j.version), func(outcome commit.Outcome) message {
		return released{job: j, outcome: outcome}
	})
}

// released reports the outcome of writing a released row.
type released struct {
	job     *job
	outcome commit.Outcome
}

func (m released) apply(o *Owner) {
	j := m.job
	if j.stage == resolved {
		return
	}
	if m.outcome.Result == commit.Written {
		o.addEvent(event.Transferred, j.key, "")
		o.drain.releasedAny = true
	}
	o.dropTasks(j)
	o.resolve(j, resolution{elsewhere: true})
	o.drain.finishIfDone(o)
}
