package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// processEnds processes the ends that a runner reports, each once. It reports whether there
// was a new one.
func (c *Cell) processEnds(now time.Time, r *runner, list []order.EndedRun) (found bool) {
	if len(list) > 0 && !r.ackBaseKnown {
		r.ackBaseKnown = true
		r.acked = max(r.acked, list[0].Number-1) // a previous holder has acknowledged those before
	}
	for _, e := range list {
		if e.Number <= r.acked {
			continue
		}
		if _, known := r.unackedEnds[e.Number]; known {
			continue
		}
		found = true
		r.unackedEnds[e.Number] = false
		r.ended.add(now, runKey{e.Task, e.Run})
		c.processEnd(now, r, e)
	}
	r.advanceAcked()
	return found
}

// advanceAcked advances the number up to which the effects of all ends are stored.
func (r *runner) advanceAcked() {
	for r.unackedEnds[r.acked+1] {
		r.acked++
		delete(r.unackedEnds, r.acked)
	}
}

// markStored records that the effects of an end are stored or that it has none. It does
// nothing if the runner has restarted since.
func (e endRef) markStored() {
	if e.runner.incarnation != e.incarnation {
		return
	}
	if _, known := e.runner.unackedEnds[e.number]; known {
		e.runner.unackedEnds[e.number] = true
		e.runner.advanceAcked()
	}
}

// processEnd processes one end reported by r.
func (c *Cell) processEnd(now time.Time, r *runner, e order.EndedRun) {
	key := runKey{e.Task, e.Run}
	x := r.runs[key]
	ref := endRef{runner: r, incarnation: r.incarnation, number: e.Number}
	j := c.jobs[e.Task.Job]
	var t *task
	if j != nil {
		t = j.task(e.Task)
	}
	c.Metrics.Count("end_"+string(e.Reason), 1)
	if x != nil {
		c.recordRunTime(now, x, e.Reason)
	}
	if t != nil && j.isHere() {
		t.saveCheckpoint(e.Run, e.Checkpoint)
	}
	switch {
	case t == nil || !j.isHere():
		c.discardEnd(x, ref)
	case j.state.Ended():
		c.processTrailingEnd(j, x, ref)
	case t.spec().LongRunning:
		c.processLongRunningEnd(now, t, x, e, ref)
	case e.Reason == order.Finished:
		c.processSuccess(now, t, x, e, ref)
	case e.Reason == order.Failed:
		c.processFailure(now, t, x, e, ref)
	default:
		if x != nil && x.stopSent.IsZero() {
			c.log("event", "interrupted", "runner", r.ID, "job", e.Task.Job, "task", e.Task.Index, "run", e.Run, "how", string(e.Reason))
		}
		t.lastRun = max(t.lastRun, e.Run)
		if e.Checkpoint == "" {
			c.discardEnd(x, ref)
			return
		}
		c.release(x)
		c.deferAck(t, ref)
	}
}

// processTrailingEnd processes an end of a job that has already ended. It is not
// acknowledged before the end of the job is stored, since the end that decided the job
// may be lost.
func (c *Cell) processTrailingEnd(j *job, x *run, ref endRef) {
	if _, stored := c.endedJobs.jobs[j.ID]; stored || j.Transient {
		c.discardEnd(x, ref)
		return
	}
	c.release(x)
	j.unstoredEnds = append(j.unstoredEnds, unstoredEnd{endRef: ref})
}

// saveCheckpoint records a checkpoint of a run, unless a later run has saved one.
func (t *task) saveCheckpoint(run int, value string) {
	if value == "" || !t.spec().Checkpointable {
		return
	}
	for _, m := range t.members() { // the checkpoint of a member is that of its gang
		saved := checkpoint{run: run, value: value}
		if run >= m.checkpoint.run && saved != m.checkpoint {
			m.checkpoint = saved
			m.job.row.parts[m.part()].stale = true
		}
	}
}

// startupPeriod is the time after the start of a long-running task during which its
// failure counts as a failure of the runner. Later failures are the task's own.
const startupPeriod = time.Second

// processLongRunningEnd processes the end of a run of a long-running task. The task is
// started again, preferably on another runner if it failed.
func (c *Cell) processLongRunningEnd(now time.Time, t *task, x *run, e order.EndedRun, ref endRef) {
	t.lastRun = max(t.lastRun, e.Run)
	if e.Reason == order.Failed {
		t.triedRunners = []string{ref.runner.ID}
		if x != nil && now.Sub(x.startSent) < startupPeriod {
			c.chargeFailure(now, t.job, ref.runner)
		}
	}
	c.log("event", "lasted", "job", t.job.ID, "step", t.step, "task", t.index, "run", e.Run, "runner", ref.runner.ID, "how", string(e.Reason))
	c.discardEnd(x, ref)
}

// discardEnd processes an end that changes no job: it can be acknowledged at once.
func (c *Cell) discardEnd(x *run, ref endRef) {
	c.release(x)
	ref.markStored()
}

// processSuccess processes the end of a run that finished its task. That of a run that was
// released before counts as long as the task has not been started again.
func (c *Cell) processSuccess(now time.Time, t *task, x *run, e order.EndedRun, ref endRef) {
	j := t.job
	if t.done && t.spec().Gang {
		c.release(x)
		c.deferAck(t, ref)
		return
	}
	if t.done || e.Run < t.lastRun {
		c.discardEnd(x, ref)
		return
	}
	t.lastRun = e.Run
	t.setDone()
	c.release(x)
	c.finishGang(t, e)
	c.deferAck(t, ref)
	j.updateReady()
	c.addReady(j)
	if j.complete() {
		c.finish(now, j, work.Succeeded)
	}
}

// processFailure processes the end of a run that failed. Each counts once, also if it is
// reported after the end of a later run.
func (c *Cell) processFailure(now time.Time, t *task, x *run, e order.EndedRun, ref endRef) {
	if t.done || slices.Contains(t.failedRuns, e.Run) {
		c.discardEnd(x, ref)
		return
	}
	j, r := t.job, ref.runner
	t.lastRun = max(t.lastRun, e.Run)
	t.failedRuns = append(t.failedRuns, e.Run)
	t.failedAt = now
	j.failureCount++
	c.chargeFailure(now, j, r)
	t.triedRunners = append(t.triedRunners, r.ID)
	c.log("event", "fail", "job", j.ID, "task", t.index, "run", e.Run, "runner", r.ID, "fails", len(t.failedRuns), "of", j.Queue.MaxAttempts)
	c.release(x)
	c.deferAck(t, ref)
	if t.failures() >= max(j.Queue.MaxAttempts, 1) {
		c.finish(now, j, work.Failed)
	}
}

// failures returns the number of failed runs of t or of its gang. Runs of members with the
// same number count once.
func (t *task) failures() int {
	runs := map[int]bool{}
	for _, m := range t.members() {
		for _, n := range m.failedRuns {
			runs[n] = true
		}
	}
	return len(runs)
}

// deferAck delays the acknowledgement of an end of t until its effects on t and the other members
// of its gang are stored. The effects on a transient job are not stored, so its ends can be
// acknowledged at once.
func (c *Cell) deferAck(t *task, ref endRef) {
	j := t.job
	if j.Transient {
		ref.markStored()
		return
	}
	parts := j.partsOf(t.step, t.index)
	j.endNumber++
	t.occurrence.unstored++
	j.unstoredEnds = append(j.unstoredEnds, unstoredEnd{endRef: ref, number: j.endNumber, parts: parts, occurrence: t.occurrence})
	j.markPartsDue(parts)
	c.markDirty(j)
}

// stopStalledRuns applies stopIfStalled to all runs.
func (c *Cell) stopStalledRuns(now time.Time) {
	for _, r := range c.sorted {
		for _, x := range r.sortedRuns() {
			c.stopIfStalled(now, x)
		}
	}
}

// chargeFailure records a failure of j as one of the runner r, unless j has failed on
// another runner too. The job is then the cause, and the health of the runners on which it
// failed before is reset. A runner on which several jobs have failed since its last success is the cause in
// any case: a wide job meets several of them at once.
func (c *Cell) chargeFailure(now time.Time, j *job, r *runner) {
	if r.health.recordFailedJob(j.ID) {
		r.health.recordFailure(now)
		return
	}
	if slices.Contains(j.failedOn, r) {
		return
	}
	j.failedOn = append(j.failedOn, r)
	if len(j.failedOn) == 1 {
		r.health.recordFailure(now)
		return
	}
	for _, other := range j.failedOn {
		if !other.health.severalJobs {
			other.health.reset()
		}
	}
}
