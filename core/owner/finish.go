package owner

import (
	"encoding/json"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
	"gypsumward/core/place"
	"gypsumward/core/span"
	"gypsumward/core/target"
)

// storeTimeoutFactor is the timeout of one attempt to store a large answer, as a
// multiple of Settings.CallTimeout.
const storeTimeoutFactor = 5

// fail ends a running job as failed: its queued tasks are dropped, its running
// tasks are stopped, and the answer is recorded once no start call is in flight.
// For a job in stage claiming or adopting, the first failure is kept and applied
// when the job starts. Jobs in later stages are left unchanged.
func (o *Owner) fail(j *job, reason api.Reason, detail string) {
	a := j.openAnswer()
	a.State, a.Reason, a.Detail = api.StateFailed, reason, detail
	if j.stage == claiming || j.stage == adopting {
		if j.failure == nil {
			j.failure = &a
		}
		return
	}
	if j.stage != running {
		return
	}
	j.stage = ending
	j.failure = &a
	j.abandonAt = o.Clock.Now().Add(o.Settings.GracePeriod)
	o.addEvent(event.Failing, j.key, string(reason)+": "+detail)
	o.withdraw(j)
	for _, w := range o.workers {
		if len(w.outbox) > 0 {
			o.flush(w)
		}
	}
	o.stopTasks(j)
	o.advance(j)
}

// advance moves j to its next stage once all that the current stage waits for is
// done: it records the answer of a running job whose tasks are all done or of an
// ending one without start calls in flight, and continues the release of others.
func (o *Owner) advance(j *job) {
	switch {
	case j.stage == running && j.remaining == 0:
		o.addEvent(event.Finished, j.key, "")
		o.record(j, j.completeAnswer(o.Clock.Now()))
	case j.stage == ending && j.sending == 0:
		a := *j.failure
		a.Ran = j.ran()
		a.Elapsed = spanSince(o.Clock.Now(), j.acceptedAt)
		o.stopTasks(j)
		o.dropTasks(j)
		o.record(j, a)
	case j.stage == releasing:
		o.advanceRelease(j)
	}
}

// abandonStarts stops waiting for the start calls of j in flight. Their tasks
// become uncertain.
func (o *Owner) abandonStarts(j *job) {
	for i := range j.tasks {
		if j.tasks[i].phase == sending {
			o.unassign(j, i, place.Lost)
			j.tasks[i].phase = uncertain
		}
	}
	o.advance(j)
}

// stopTasks asks the workers to stop the running tasks of j.
func (o *Owner) stopTasks(j *job) {
	ids := make(map[string][]string)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == started {
			ids[t.worker] = append(ids[t.worker], taskID(j.key, i))
		}
	}
	for id, list := range ids {
		if w := o.workers[id]; w != nil {
			go o.sendStop(w.addr, list)
		}
	}
}

// sendStop makes one stop call to the worker at addr and ignores its result.
func (o *Owner) sendStop(addr string, ids []string) {
	ctx, cancel := o.callContext()
	defer cancel()
	// A task that is not stopped ends by itself; its outcome no longer counts.
	if _, _, err := o.Workers.Stop(ctx, addr, target.TaskIDs{IDs: ids}); err != nil {
		return
	}
}

// record writes the final row of j. The answer is returned to callers once it is
// durable.
func (o *Owner) record(j *job, a api.Answer) {
	j.stage = recording
	j.resolution = resolution{answer: a}
	if j.isWriting {
		return // the version written with the mark is needed first; see extended.apply
	}
	value, err := json.Marshal(a)
	if err != nil {
		panic("owner: encode answer: " + err.Error())
	}
	next := j.row
	next.Nonce = o.Nonce()
	next.State, next.ObjectKey, next.NeverStarted = a.State, "", nil
	o.addEvent(event.Recording, j.key, string(a.State))
	if len(value) <= claim.MaxInline {
		next.Answer = value
		o.writeFinal(j, next)
		return
	}
	next.ObjectKey = "answer/" + next.Nonce
	go func() {
		if claim.PutWithRetry(o.Clock, o.Objects, next.ObjectKey, value, storeTimeoutFactor*o.Settings.CallTimeout, o.closed) {
			o.post(stored{job: j, row: next})
		}
	}()
}

// stored reports that a large answer was written to the object store.
type stored struct {
	job *job
	row claim.Row
}

func (m stored) apply(o *Owner) {
	if m.job.stage == recording {
		o.writeFinal(m.job, m.row)
	}
}

// writeFinal writes next as the final row of j.
func (o *Owner) writeFinal(j *job, next claim.Row) {
	j.isWriting = true
	o.writeAsync(claim.Finish(next, j.version), func(outcome commit.Outcome) message {
		return recorded{job: j, outcome: outcome}
	})
}

// recorded reports the outcome of writing a final row.
type recorded struct {
	job     *job
	outcome commit.Outcome
}

func (m recorded) apply(o *Owner) {
	j := m.job
	j.isWriting = false
	if j.stage != recording {
		return
	}
	if m.outcome.Result != commit.Written {
		o.loseJob(j)
		return
	}
	o.addEvent(event.Recorded, j.key, string(j.resolution.answer.State))
	o.resolve(j, j.resolution)
	if o.drain != nil {
		o.drain.finishIfDone(o)
	}
}

// spanSince returns the time from then to now.
func spanSince(now, then time.Time) span.Span {
	return span.Of(now.Sub(then))
}
