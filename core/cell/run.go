package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// runKey identifies a run of a task.
type runKey struct {
	task work.Task
	run  int
}

// run is a run of a task that may be alive. Its task is nil if the run is not the
// current run of a known task.
type run struct {
	key            runKey
	task           *task
	runner         *runner
	resources      Resources
	token          int64
	startSent      time.Time // when the start order was last sent
	resent         bool      // the start order was sent again
	startsInFlight int       // start orders without a reply
	startAnswered  time.Time // when the start order was answered; zero before
	confirmed      bool      // the incarnation that answered it is the one that has answered holds
	percentAt      time.Time // when percent was last reported
	percent        float64
	percentChanged time.Time // when percent last changed
	stopSent       time.Time // when a stop order was sent; zero if none was
	endBy          time.Time // when it must have ended, since its job may start in another cell from then on; zero if it may go on
	orphan         bool      // its resources are not known; the runner counts as full
	resumed        bool      // started from a checkpoint
	startedCold    bool      // started while the runner was cold
	lookAt         time.Time // when the runner is next asked for the progress of the run
	watch          *runWatch // what runs beside it; nil if that is not recorded
}

// maxStartClock is the highest reading of the clock of a runner that has just started.
const maxStartClock = time.Second

// maxClockLag is how far the reading in a reply may be behind the latest one, since replies can
// overtake each other.
const maxClockLag = time.Second

// confirm records whether the answer at now to the start order of x, with a reading of the
// runner's clock, proves that the runner has not restarted since its latest answer. The clock of a
// new incarnation starts anew, so it cannot have reached the latest reading yet unless that was
// low. X may be nil.
func (x *run) confirm(now time.Time, clock int64) {
	if x == nil || clock == 0 || x.resent {
		return // another order in flight may start it in a later incarnation
	}
	r := x.runner
	restarted := now.Sub(r.clockAt) + maxStartClock // highest reading of a new incarnation
	least := time.Duration(r.clock)*time.Millisecond - maxClockLag
	x.confirmed = restarted < least && time.Duration(clock)*time.Millisecond >= least
}

// checkRuns handles the start and stop orders of r that were not answered in time, and
// stops orphaned runs whose job nobody has resubmitted.
func (c *Cell) checkRuns(now time.Time, r *runner) {
	for _, x := range r.sortedRuns() {
		if x.task == nil && x.stopSent.IsZero() && !now.Before(c.orphanDeadline(x)) {
			c.stop(now, x, "not resubmitted in time")
		}
		if x.startAnswered.IsZero() && now.Sub(x.startSent) > c.answerTimeout(r) && x.token == r.token && !c.handleNoReply(now, x) {
			return
		}
		if !x.stopSent.IsZero() && now.Sub(x.stopSent) > c.Settings.StopGrace+2*c.answerTimeout(r) {
			x.stopSent = time.Time{}
			c.stop(now, x, "again")
		}
	}
}

// handleNoReply sends a start order without a reply again or, the second time, makes all orders
// to the runner void to learn what runs. It returns false in the latter case.
func (c *Cell) handleNoReply(now time.Time, x *run) bool {
	c.Metrics.Count("unanswered", 1)
	c.log("event", "unanswered", "runner", x.runner.ID, "job", x.key.task.Job, "task", x.key.task.Index,
		"run", x.key.run, "after", now.Sub(x.startSent), "again", x.resent)
	if x.resent || !c.resend(now, x) {
		c.fence(now, x.runner)
		return false
	}
	return true
}

// resend sends the start order of a run again, which has no effect if the runner has carried
// the first one out: that spares the other orders to the runner. It returns false if no lease
// can be granted or nothing is to be started any more.
func (c *Cell) resend(now time.Time, x *run) bool {
	deadline := c.orderDeadline(now, x.runner)
	if x.task == nil || !x.stopSent.IsZero() || deadline == 0 || x.runner.evacuated || !c.mayStart(now) || (!x.task.job.Transient && !now.Before(c.storedUntil)) {
		return false
	}
	x.resent = true
	c.sendStart(now, x, deadline)
	return true
}

// maxOrderDelay is the longest time after which a runner still carries out an order.
const maxOrderDelay = 12 * time.Second

// mayStartLate reports whether a start order of x may still be carried out by a later incarnation of
// its runner, which does not know the current token. The clock of that one starts anew, so neither
// the deadline of the order nor the leases granted before bound such a run.
func (c *Cell) mayStartLate(now time.Time, x *run) bool {
	r := x.runner
	return (r.restarted || r.Incarnation > r.incarnation) && r.isListed(now) &&
		(x.startAnswered.IsZero() || x.resent) && now.Sub(x.startSent) < maxOrderDelay+c.Settings.longestLease()
}

// releaseLapsed releases the runs of a silent runner once all leases on it have expired.
func (c *Cell) releaseLapsed(now time.Time, r *runner) {
	if len(r.runs) == 0 || !r.isSilent(now, c.Settings.SilenceTimeout) || !r.leasesLapsed(now, c.Settings.Lease) {
		return
	}
	ended := slices.DeleteFunc(r.sortedRuns(), func(x *run) bool { return c.mayStartLate(now, x) })
	if len(ended) == 0 {
		return
	}
	c.log("event", "runner", "runner", r.ID, "state", "lost", "runs", len(ended), "kept", len(r.runs)-len(ended),
		"silent", now.Sub(r.unansweredSince))
	for _, x := range ended {
		c.release(x)
	}
	c.schedulePass()
}

// adopt accounts for a run that the cell did not start. It becomes the run of its task
// if the task needs one and has no other, else it is stopped. It is stopped also if a later run
// has ended, and its task waits for that. A run of an unknown job is kept as an orphan.
func (c *Cell) adopt(now time.Time, r *runner, key runKey) *run {
	x := &run{key: key, runner: r, token: r.token, startSent: now, startAnswered: now}
	j, step := c.jobs[key.task.Job], -1
	var t *task
	if j != nil {
		step = j.stepOf(key.task)
		t = j.taskAt(step, key.task.Index)
	}
	r.runs[key] = x
	if step < 0 {
		x.orphan = true
		x.endBy = c.resubmissionTime(r)
		r.orphans++
	} else {
		x.endBy = j.runsEndBy
		x.resources = requirements(j.spec(step))
		r.used = r.used.add(x.resources)
		c.watchAdopted(now, x, t)
	}
	if t != nil && !t.done && t.run == nil && !j.state.Ended() && j.isHere() {
		x.task, t.run = t, x
		j.updateReady()
		c.log("event", "adopt", "runner", r.ID, "job", key.task.Job, "task", key.task.Index, "run", key.run, "last", t.lastRun)
		if key.run < t.lastRun {
			c.stop(now, x, "not the latest run of its task")
		}
		t.lastRun = max(t.lastRun, key.run)
		return x
	}
	if j != nil {
		c.stop(now, x, "not the current run of its task")
	}
	return x
}

// release removes a run that has certainly ended from its runner and its task. It does
// nothing if x is nil or already removed.
func (c *Cell) release(x *run) {
	if x == nil || x.runner.runs[x.key] != x {
		return
	}
	r := x.runner
	c.addStarts(x, -x.startsInFlight)
	delete(r.runs, x.key)
	r.used = r.used.sub(x.resources)
	c.watchEnd(x)
	if x.orphan {
		r.orphans--
	}
	t := x.task
	if t == nil || t.run != x {
		return
	}
	t.run = nil
	j := t.job
	if j.state.Ended() {
		if _, ok := c.endedJobs.jobs[j.ID]; ok && !c.hasRuns(j) {
			delete(c.jobs, j.ID)
		}
		return
	}
	j.updateReady()
	c.addReady(j)
}

// stop sends a stop order for a run, unless one is pending. The run stays accounted for
// until its end is reported.
func (c *Cell) stop(now time.Time, x *run, why string) {
	if !x.stopSent.IsZero() {
		return
	}
	x.stopSent = now
	c.Metrics.Count("stops", 1)
	c.log("event", "stop", "runner", x.runner.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run, "why", why)
	c.Orders.Stop(x.runner.target(), order.Stop{Task: x.key.task, Run: x.key.run, Token: x.runner.token})
}

// StopAnswered processes the reply v to the stop order given, sent to the runner id.
func (c *Cell) StopAnswered(now time.Time, id string, given order.Stop, v order.Reply) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	if c.checkVerdict(now, r, given.Token, v.Verdict) {
		r.recordAnswer(now, given.Token, max(v.Clock, r.clock))
	}
}
