package cell

import (
	"slices"
	"strings"
	"time"

	"gypsumward/core/work"
)

// Submission is a job as a caller submits it.
type Submission struct {
	Job         work.Job `json:"job"`
	Caller      string   `json:"caller"`          // identifies the waiting caller, after AttemptSeparator also the attempt
	Resubmitted bool     `json:"again,omitempty"` // another holder may have received it before
	AgeMS       int64    `json:"age,omitempty"`   // milliseconds since the caller first submitted it
	RoomOnly    bool     `json:"room,omitempty"`  // to be refused if not all of its first tasks can start at once
}

// AttemptSeparator separates the caller of a submission from the number of its attempt.
const AttemptSeparator = "#"

// Submit submits a job. It calls reply once with the outcome, possibly before it
// returns: when a transient job has ended, and when any other job is stored. Submitting
// a job again attaches the caller to the existing job and yields the same outcome. The verdict
// on the submission of a caller that has left is OutcomeUnknown, and it has no effect.
func (c *Cell) Submit(now time.Time, submission Submission, reply func(Outcome)) {
	w := submission.Job
	if c.deposed {
		reply(Outcome{Verdict: OutcomeUnknown})
		return
	}
	if end, ok := c.endedJobs.jobs[w.ID]; ok && !end.left && end.state.Ended() {
		reply(Outcome{Verdict: Accepted, State: end.state})
		return
	}
	if c.departed.contains(departed{w.ID, attemptless(submission.Caller)}) {
		c.Metrics.Count("departed", 1)
		c.log("event", "departed", "job", w.ID, "caller", submission.Caller, "again", submission.Resubmitted)
		reply(Outcome{Verdict: OutcomeUnknown})
		return
	}
	if j := c.jobs[w.ID]; j != nil {
		c.addWaiter(j, submission.Caller, reply)
		return
	}
	// A job with runs here must not be refused: a caller could start it elsewhere.
	hasRuns := len(c.unclaimedRuns(w.ID)) > 0
	if c.draining {
		reply(Outcome{Verdict: drainingVerdict(hasRuns)})
		return
	}
	if !w.Transient && len(encode(&w)) > c.Settings.MaxRow {
		c.Metrics.Count("refused_"+ReasonTooLarge, 1)
		c.log("event", "refuse", "job", w.ID, "queue", w.Queue.Name, "reason", ReasonTooLarge)
		reply(Outcome{Verdict: Refused, Reason: ReasonTooLarge})
		return
	}
	j := newJob(w, now.Add(-time.Duration(submission.AgeMS)*time.Millisecond))
	j.received, j.inherited = now, submission.Resubmitted || hasRuns
	if !c.admit(now, j, submission, reply) {
		return
	}
	j.waiting = append(j.waiting, waiter{submission.Caller, reply})
	j.runFloor = max(j.runFloorIn(c.Term.TermNumber), c.endedJobs.jobs[w.ID].lastRun)
	c.jobs[w.ID] = j
	c.jobMemory += j.memory()
	c.claimOrphans(now, j)
	if w.Transient {
		c.accept(now, j)
		c.schedulePass()
		return
	}
	c.markDirty(j)
	c.schedulePass()
}

// admit decides on the admission of j. If j is not admitted here, it answers the submission, or asks the
// other cells.
func (c *Cell) admit(now time.Time, j *job, submission Submission, reply func(Outcome)) bool {
	reason, after := c.refusalReason(now, j)
	switch {
	case (reason == ReasonNoRunnerFits || reason == ReasonEvacuated) && !j.Transient && c.Neighbours != nil:
		c.submitElsewhere(now, j, waiter{submission.Caller, reply})
		return false
	case reason != "":
		c.log("event", "refuse", "job", j.ID, "queue", j.Queue.Name, "reason", reason, "tasks", j.TaskCount(),
			"after", after, "backlog", c.backlog(now))
	case submission.RoomOnly && !j.inherited && !c.hasRoom(now, j):
		reason, after = ReasonNoRoom, fromMilliseconds(c.backlog(now))
	default:
		return true
	}
	c.Metrics.Count("refused_"+reason, 1)
	reply(Outcome{Verdict: Refused, Reason: reason, RetryAfter: after})
	return false
}

// submitElsewhere asks the other cells for one that can run a job which the runners of this cell cannot
// run. The job is accepted or refused once they have answered.
func (c *Cell) submitElsewhere(now time.Time, j *job, w waiter) {
	j.waiting = append(j.waiting, w)
	j.runFloor = j.runFloorIn(c.Term.TermNumber)
	j.placing = true
	c.jobs[j.ID] = j
	c.jobMemory += j.memory()
	switch s := c.search(now, j.query()); {
	case s == nil:
		c.refuse(j, c.unfitReason(now, j), retryAfter)
	case s.inFlight:
		s.waiting = append(s.waiting, j)
	default:
		c.admitElsewhere(now, j, s.answers)
	}
}

// Knows reports whether the cell knows a job, or its end.
func (c *Cell) Knows(id string) bool {
	_, ended := c.endedJobs.jobs[id]
	return ended || c.jobs[id] != nil
}

// HasRun reports whether a runner may have a run of a job.
func (c *Cell) HasRun(id string) bool {
	for _, r := range c.sorted {
		for key := range r.runs {
			if key.task.Job == id {
				return true
			}
		}
	}
	return false
}

// drainingVerdict returns the verdict of a cell that is being handed over on a job that it doesn't
// know. HandingOver would let the caller start a job elsewhere beside its runs here.
func drainingVerdict(hasRuns bool) Verdict {
	if hasRuns {
		return OutcomeUnknown
	}
	return HandingOver
}

// addWaiter replies with the outcome of a known job, or lets the caller wait for it.
func (c *Cell) addWaiter(j *job, caller string, reply func(Outcome)) {
	c.log("event", "attach", "job", j.ID, "caller", caller, "state", string(j.state), "begun", j.hasStarted(), "waiting", len(j.waiting))
	switch {
	case j.Transient && j.state.Ended():
		reply(Outcome{Verdict: OutcomeUnknown}) // it was dropped, and its runs are being stopped
	case j.row.stored && !j.Transient:
		reply(Outcome{Verdict: Accepted, State: work.Queued})
	default:
		j.waiting = append(j.waiting, waiter{caller, reply})
	}
}

// claimOrphans assigns to the tasks of j the runs that runners have reported for them,
// and stops those that j does not need. A run that is being stopped is assigned too, so
// that its task waits for its end.
func (c *Cell) claimOrphans(now time.Time, j *job) {
	for _, x := range c.unclaimedRuns(j.ID) {
		t, r := j.task(x.key.task), x.runner
		if t == nil || t.run != nil {
			c.stop(now, x, "not the current run of its task")
			continue
		}
		if x.orphan {
			x.orphan, x.endBy = false, time.Time{}
			r.orphans--
			x.resources = requirements(t.spec())
			r.used = r.used.add(x.resources)
			c.watchAdopted(now, x, t)
		}
		x.task, t.run, t.lastRun = t, x, x.key.run
		c.log("event", "adopt", "runner", r.ID, "job", j.ID, "task", t.index, "run", x.key.run, "stopping", !x.stopSent.IsZero())
	}
}

// unclaimedRuns returns the runs of a job that are not the current run of a known task, ordered
// by runner, task and number.
func (c *Cell) unclaimedRuns(id string) []*run {
	var list []*run
	for _, r := range c.sorted {
		if !r.hasUnclaimedRun(id) {
			continue
		}
		for _, x := range r.sortedRuns() {
			if x.task == nil && x.key.task.Job == id {
				list = append(list, x)
			}
		}
	}
	return list
}

// hasUnclaimedRun reports whether r has a run of a job that is not the current run of a known
// task.
func (r *runner) hasUnclaimedRun(id string) bool {
	for key, x := range r.runs {
		if x.task == nil && key.task.Job == id {
			return true
		}
	}
	return false
}

// CallerLeft records that a caller no longer waits for a job, whatever the attempt. A
// transient job without waiting callers is cancelled. Submissions of the caller that arrive later
// are not accepted.
func (c *Cell) CallerLeft(now time.Time, id, caller string) { c.CallerLeftBefore(now, now, id, caller) }

// CallerLeftBefore is like CallerLeft for a caller that left at a time before now. That time bounds
// how long runs of the job may go on.
func (c *Cell) CallerLeftBefore(now, left time.Time, id, caller string) {
	name := attemptless(caller)
	c.departed.add(now, departed{id, name})
	c.removeWaiters(now, left, id, caller, func(w waiter) bool { return attemptless(w.caller) == name })
}

// LossNoticeMargin is the least time from when an instance is found to be lost until its callers may
// submit their jobs again: it may have been silent for the rest of Settings.ResubmitAfter. Within it
// the runs of the jobs are stopped.
const LossNoticeMargin = 175 * time.Millisecond

// AttemptLost records that no caller waits for one attempt of a submission any more, since the
// instance that has made it is lost or has given up. A transient job without waiting callers is
// cancelled.
func (c *Cell) AttemptLost(now time.Time, id, caller string) {
	c.removeWaiters(now, now.Add(LossNoticeMargin-c.Settings.ResubmitAfter), id, caller, func(w waiter) bool { return w.caller == caller })
}

// attemptless returns the name of a caller without the attempt.
func attemptless(caller string) string {
	name, _, _ := strings.Cut(caller, AttemptSeparator)
	return name
}

// removeWaiters removes the waiting callers of a job for which gone returns true, and
// cancels the job if it is transient and none is left. Lost is the earliest time at which they
// may have been lost.
func (c *Cell) removeWaiters(now, lost time.Time, id, caller string, gone func(waiter) bool) {
	j := c.jobs[id]
	if j == nil || c.deposed {
		c.log("event", "left", "job", id, "caller", caller, "known", false)
		return
	}
	j.waiting = slices.DeleteFunc(j.waiting, gone)
	if j.Transient && len(j.waiting) == 0 && !j.state.Ended() {
		c.log("event", "left", "job", id, "caller", caller, "begun", j.hasStarted(), "runs", j.runCount(), "lease", j.longestLease(now))
		c.boundRuns(j, lost.Add(c.Settings.ResubmitAfter))
		c.finish(now, j, work.Cancelled)
		c.endedJobs.setLeft(id, true)
		c.schedulePass()
	}
}

// boundRuns sets the time by which all runs of j must have ended.
func (c *Cell) boundRuns(j *job, endBy time.Time) {
	j.runsEndBy = endBy
	for _, r := range c.sorted {
		for key, x := range r.runs {
			if key.task.Job == j.ID {
				x.endBy = endBy
			}
		}
	}
}

// acceptStored accepts a job whose row has been stored, and ends it if it was cancelled
// meanwhile.
func (c *Cell) acceptStored(now time.Time, j *job) {
	c.accept(now, j)
	c.placeStored(now, j)
}

// accept makes the tasks of a job available to start. The row of the job is stored, or
// the job is transient.
func (c *Cell) accept(now time.Time, j *job) {
	j.row.stored = true
	c.Metrics.Count("accepted", 1)
	c.Metrics.Observe("accept", now.Sub(j.arrived))
	c.log("event", "accept", "job", j.ID, "queue", j.Queue.Name, "tasks", j.TaskCount(), "took", now.Sub(j.arrived),
		"due", j.due.Sub(now), "transient", j.Transient, "caller", j.firstCaller(), "again", j.inherited)
	if !j.Transient {
		j.notifyWaiters(Outcome{Verdict: Accepted, State: work.Queued})
	}
	j.updateReady()
	c.addReady(j)
}

// addReady inserts j into Cell.ready in order of due times, if it has tasks to start.
func (c *Cell) addReady(j *job) {
	if j.inReady || j.readyTasks == 0 || j.state.Ended() || !j.row.stored {
		return
	}
	j.inReady = true
	at, _ := slices.BinarySearchFunc(c.ready, j, func(a, b *job) int { return a.due.Compare(b.due) })
	c.ready = slices.Insert(c.ready, at, j)
}

// QueryState calls reply once with the stored state of a job. The state is Unknown if
// the cell does not know the job, which does not mean that there is no such job. If all
// tasks of the job have been started, the reply waits up to stateQueryTimeout for the
// end. While an end is being stored, the reply waits for that.
func (c *Cell) QueryState(now time.Time, id string, reply func(work.State)) {
	j := c.jobs[id]
	end, ok := c.endedJobs.jobs[id]
	switch {
	case ok && (j == nil || j.state.Ended()):
		reply(end.state)
	case j == nil || !j.row.stored:
		reply(work.Unknown)
	case j.state.Ended() || (j.hasStarted() && j.readyTasks == 0 && j.mayEndSoon()):
		j.stateQueries = append(j.stateQueries, stateQuery{received: now, reply: reply})
	case j.hasStarted():
		reply(work.Running)
	default:
		reply(work.Queued)
	}
}

// PendingJobs returns the number of accepted jobs of a queue that have not started any
// task. Known is false before the rows of the jobs have been read.
func (c *Cell) PendingJobs(queue string) (n int, known bool) {
	for _, j := range c.jobs {
		if j.Queue.Name == queue && j.row.stored && !j.state.Ended() && j.place.To == "" && !j.hasStarted() {
			n++
		}
	}
	return n, c.loaded
}

// pendingCancel is a cancellation of a job that the cell does not know, received before its rows
// were read.
type pendingCancel struct {
	id    string
	reply func(state work.State, stored bool)
}

// maxPendingCancels is the maximum number of cancellations that wait for the rows.
const maxPendingCancels = 4096

// Cancel cancels a job. It calls reply once with the final state of the job and whether
// that state is stored. The state differs from Cancelled if the job ended otherwise
// before. It is Unknown and stored if the cell knows all jobs that are stored and this one is
// not among them, and Unknown and not stored if the outcome is open.
func (c *Cell) Cancel(now time.Time, id string, reply func(state work.State, stored bool)) {
	j := c.jobs[id]
	if end, ok := c.endedJobs.jobs[id]; ok && (j == nil || j.state.Ended()) {
		c.endedJobs.setLeft(id, false)
		reply(end.state, true)
		return
	}
	switch {
	case c.deposed:
		reply(work.Unknown, false)
		return
	case j == nil && c.cancelSetAside(now, id, reply):
		c.schedulePass()
		return
	case j == nil && c.loaded:
		reply(work.Unknown, true)
		return
	case j != nil && j.row.stored && !j.isHere():
		reply(work.Unknown, false)
		return
	case j == nil && len(c.pendingCancels) >= maxPendingCancels:
		reply(work.Unknown, false)
		return
	case j == nil:
		c.pendingCancels = append(c.pendingCancels, pendingCancel{id, reply})
		return
	}
	j.cancels = append(j.cancels, reply)
	c.log("event", "cancel", "job", id, "state", string(j.state))
	if j.row.stored {
		c.finish(now, j, work.Cancelled)
	}
	c.schedulePass()
}

// finish ends a job with a final state and stops its runs.
func (c *Cell) finish(now time.Time, j *job, state work.State) {
	if j.state.Ended() {
		return
	}
	j.state = state
	c.removeReady(j)
	for t := range j.openTasks() {
		t.ready = false
		if t.run != nil && !t.done {
			c.stop(now, t.run, "job "+string(state))
		}
	}
	if j.Transient {
		c.closeJob(now, j, 0)
		return
	}
	c.markDirty(j)
}

// removeReady removes j from Cell.ready, if present.
func (c *Cell) removeReady(j *job) {
	if !j.inReady {
		return
	}
	j.inReady = false
	if at := slices.Index(c.ready, j); at >= 0 {
		c.ready = slices.Delete(c.ready, at, at+1)
	}
}
