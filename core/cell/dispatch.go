package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// maxStartsPerRunner bounds the start orders to one runner that have no reply. Runners of the platform take
// 64 connections; the rest is for other orders.
const maxStartsPerRunner = 32

// startsPart is the part of the descriptors of a process that start orders without a reply may take.
const startsPart = 8

// StartLimit returns the value of Settings.MaxStarts for a process with so many descriptors; zero, which is no limit, if
// their number is not known.
func StartLimit(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(descriptors/startsPart, 1)
}

// hasStartsLeft reports whether another start order may be sent before others have been answered.
func (c *Cell) hasStartsLeft() bool {
	return c.Settings.MaxStarts == 0 || c.startsInFlight < c.Settings.MaxStarts
}

// addStarts adds n to the start orders of x that have no reply.
func (c *Cell) addStarts(x *run, n int) {
	if n < 0 && (!c.hasStartsLeft() || x.runner.startsInFlight >= maxStartsPerRunner) {
		c.schedulePass() // tasks may wait for this
	}
	x.startsInFlight += n
	x.runner.startsInFlight += n
	c.startsInFlight += n
}

// dispatch starts the waiting tasks that fit on runners, in order of due times.
func (c *Cell) dispatch(now time.Time) {
	if !c.mayStart(now) || len(c.ready) == 0 || !c.hasStartsLeft() {
		return
	}
	least := c.leastNeed()
	usable := c.usable(now, least)
	c.measureSpare(now)
	for i := 0; i < len(c.ready) && len(usable) > 0; {
		j := c.ready[i]
		if !c.mayStartJob(now, j) {
			i++
			continue
		}
		if c.startTasks(now, j, usable) {
			usable = slices.DeleteFunc(usable, func(r *runner) bool { return r.free().CPU < least })
		}
		if c.reservesCapacity(now, j) {
			break
		}
		if j.readyTasks > 0 {
			i++
			continue
		}
		j.inReady = false
		c.ready = slices.Delete(c.ready, i, i+1)
	}
}

// leastNeed returns the lowest CPU requirement of the waiting jobs, in thousandths of a
// core, at least 1.
func (c *Cell) leastNeed() int {
	least := work.MaxCPU
	for _, j := range c.ready {
		least = min(least, j.leastRequired.CPU)
	}
	return max(least, 1)
}

// usable returns the runners that may receive work and have at least least thousandths of
// a core free. The slice is valid until the next call.
func (c *Cell) usable(now time.Time, least int) []*runner {
	list := c.scratch[:0]
	if c.accounted() {
		c.updateRunnerSet(now)
	}
	for _, r := range c.sorted {
		if r.free().CPU >= least && c.isReported(r) && r.isListed(now) && r.capacityKnown() && r.receivesWork() && r.fenced && !r.displaced && !r.health.isBackingOff(now) && !r.isSilent(now, c.answerTimeout(r)) {
			list = append(list, r)
		}
	}
	c.scratch = list
	return list
}

// startTasks starts the tasks of j that fit. It reports whether it started any.
func (c *Cell) startTasks(now time.Time, j *job, usable []*runner) bool {
	started := false
	for s, tasks := range j.steps() {
		if !slices.ContainsFunc(tasks, func(t *task) bool { return t.ready }) {
			continue
		}
		c.requestAdvice(now, j, s, usable)
		c.preferredRack = c.rackFor(j, s, usable)
		if g := j.gang(s); g != nil {
			started = c.startGang(now, g, usable) || started
			continue
		}
		for _, t := range tasks {
			if !t.ready {
				continue
			}
			if !c.hasStartsLeft() {
				return started
			}
			r := c.chooseRunner(now, t, usable)
			if r == nil {
				break
			}
			c.startRun(now, t, r)
			started = true
		}
	}
	return started
}

// rackFor returns the rack on which to place the tasks of a colocated step: that of its
// running tasks, else the one with capacity for most tasks. It is empty if the step is
// not colocated or no rack is known.
func (c *Cell) rackFor(j *job, step int, usable []*runner) string {
	if !j.spec(step).SameRack {
		return ""
	}
	for _, t := range j.tasksOf(step) {
		if t.run != nil && t.run.runner.Rack != "" {
			return t.run.runner.Rack
		}
	}
	required := requirements(j.spec(step))
	capacity := map[string]int{}
	best := ""
	for _, r := range usable {
		if r.Rack == "" || !r.suits(j.spec(step), j.Queue.Service) {
			continue
		}
		capacity[r.Rack] += r.free().capacityFor(required)
		if capacity[r.Rack] > capacity[best] {
			best = r.Rack
		}
	}
	return best
}

// chooseRunner returns the runner with the highest score for t, or nil if t fits on none.
// All else equal that is the slowest warm runner that would finish t in time, then the fastest cold one that
// would, else the fastest.
func (c *Cell) chooseRunner(now time.Time, t *task, usable []*runner) *runner {
	required := requirements(t.spec())
	expected := c.expectedRunTime(t.job, t.step)
	timeLeft := milliseconds(t.job.due.Sub(now) - c.endLatency(t.job))
	var best *runner
	bestScore := 0.0
	for _, r := range usable {
		if r.startsInFlight >= maxStartsPerRunner || !c.canRun(now, t, r, required) {
			continue
		}
		score := c.score(now, t, r, required, expected, timeLeft)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// runTimeMargin is the factor by which expected run times are extended when checked
// against due times.
const runTimeMargin = 1.3

// score rates r for t; higher is better. Expected is the run time at speed one and
// timeLeft the time until t is due, both in milliseconds. The criteria with the largest
// weights are, in this order: t was not tried on r, a serving t disturbs no opportunistic
// task there, and the last run on r did not fail.
func (c *Cell) score(now time.Time, t *task, r *runner, required Resources, expected, timeLeft float64) float64 {
	rate, cost := r.rate(now), c.interferenceCost(t, r)
	inTime := expected/rate*runTimeMargin <= timeLeft
	score := speedScore(rate, inTime, r.isCold(now)) - interferencePenalty(cost)
	if !inTime {
		score = rate / cost
	}
	leftover := r.free().sub(required)
	score -= float64(leftover.CPU%max(required.CPU, 1)) / float64(max(r.Capacity.CPU, 1)) * 0.5
	if rack := t.spec().PreferredRack; (rack != "" && slices.Contains(r.Labels, rack)) || (c.preferredRack != "" && r.Rack == c.preferredRack) {
		score += 5
	}
	if r.health.consecutiveFailures > 0 {
		score -= 20
	}
	if isServing(t.spec()) && r.opportunisticCPU() > 0 {
		score -= 30
	}
	if t.triedOn(r) {
		score -= 40
	}
	return score
}

// canRun reports whether r may run t, which takes the resources required, at now.
func (c *Cell) canRun(now time.Time, t *task, r *runner, required Resources) bool {
	s := t.spec()
	if !r.suits(s, t.job.Queue.Service) || !r.free().fits(required) {
		return false
	}
	if s.Opportunistic && !r.canRunOpportunistic(s) {
		return false
	}
	if !t.adviceAllows(now, r) {
		return false
	}
	if r.health.consecutiveFailures > 0 && r.trials(now)+r.plannedMembers > 0 {
		return false // after a failure, one trial at a time until one succeeds
	}
	if (t.triedOn(r) && c.spareLastAttempt(now, t)) || c.mustAvoid(now, t, r) {
		return false
	}
	if s.MaxPerRunner > 0 {
		count, id := 0, t.id()
		for key := range r.runs {
			if key.task.Job == id.Job && key.task.Occurrence == id.Occurrence && key.task.Step == id.Step {
				count++
			}
		}
		return count+r.plannedMembers < s.MaxPerRunner
	}
	return true
}

// lastAttemptPause is the time between the last but one failure of a task and its last attempt on a
// runner on which it has failed, if no other one will have room. The runner may recover meanwhile.
const lastAttemptPause = time.Second

// spareLastAttempt reports whether the next failure of t would be its last, so that it waits: for
// runners on which it was not tried, if they have the capacity for it, or for its gang, now or once
// those of their runs have ended that do not last, but no longer than its job is allowed; otherwise
// for lastAttemptPause.
func (c *Cell) spareLastAttempt(now time.Time, t *task) bool {
	if t.spec().LongRunning || t.failures()+1 < t.job.Queue.MaxAttempts {
		return false
	}
	waited, limit := now.Sub(t.lastFailure()), c.allowedTime(t.job)
	if !c.willFitElsewhere(now, t) {
		limit = min(limit, lastAttemptPause)
	}
	return waited <= limit
}

// willFitElsewhere reports whether runners on which t was not tried have the capacity for it, or for
// its gang, now or once those of their runs have ended that do not last.
func (c *Cell) willFitElsewhere(now time.Time, t *task) bool {
	return c.placesFor(now, t, t.triedOn) >= len(t.members())
}

// placesFor returns how many tasks like t fit on the runners that
// may run it and for which except returns false, now or once those of their runs have ended that do
// not last.
func (c *Cell) placesFor(now time.Time, t *task, except func(*runner) bool) int {
	places := 0
	for _, r := range c.sorted {
		if !r.suits(t.spec(), t.job.Queue.Service) || !r.isListed(now) || !r.receivesWork() || !r.fenced || r.isSilent(now, c.Settings.SilenceTimeout) ||
			!t.adviceAllows(now, r) || except(r) {
			continue
		}
		places += r.places(t.spec(), r.Capacity.sub(r.usedByLasting()))
	}
	return places
}

// lastFailure returns when a run of t, or of another member of its gang, last failed; the arrival of
// its job at this holder if it has seen none.
func (t *task) lastFailure() time.Time {
	last := t.job.arrived
	for _, m := range t.members() {
		if m.failedAt.After(last) {
			last = m.failedAt
		}
	}
	return last
}

// usedByLasting returns the resources of the runs on r that do not end by themselves.
func (r *runner) usedByLasting() Resources {
	used := Resources{}
	for _, x := range r.runs {
		if x.task != nil && x.task.spec().LongRunning {
			used = used.add(x.resources)
		}
	}
	return used
}

// triedOn reports whether later runs of t, or of another member of its gang, avoid r.
func (t *task) triedOn(r *runner) bool {
	if g := t.job.gang(t.step); g != nil {
		return slices.ContainsFunc(g, func(m *task) bool { return slices.Contains(m.triedRunners, r.ID) })
	}
	return slices.Contains(t.triedRunners, r.ID)
}

// startRun accounts for a new run of t on r and sends the start order. It does nothing if
// no lease can be granted.
func (c *Cell) startRun(now time.Time, t *task, r *runner) {
	deadline := c.orderDeadline(now, r)
	if deadline == 0 {
		return
	}
	t.lastRun = max(t.lastRun, t.job.runFloor) + 1
	x := &run{key: runKey{t.id(), t.lastRun}, task: t, runner: r, resources: requirements(t.spec()), token: r.token}
	x.resumed, x.startedCold = t.checkpoint.value != "", r.isCold(now)
	t.run, t.ready = x, false
	t.job.readyTasks--
	r.runs[x.key] = x
	r.used = r.used.add(x.resources)
	c.watchStart(now, x)
	c.stopOpportunistic(now, t, r)
	c.Metrics.Count("starts", 1)
	c.log("event", "start", "job", t.job.ID, "step", t.step, "task", t.index, "run", t.lastRun, "runner", r.ID, "waited", now.Sub(t.job.arrived),
		"left", t.job.due.Sub(now), "speed", r.rate(now), "cold", x.startedCold, "free", r.free().CPU, "caller", t.job.firstCaller(), "again", t.job.inherited,
		"lease", r.leaseLeft(now, deadline))
	c.sendStart(now, x, deadline)
}

// sendStart sends the start order of a run, with a lease until deadline.
func (c *Cell) sendStart(now time.Time, x *run, deadline int64) {
	t, r := x.task, x.runner
	x.startSent = now
	c.addStarts(x, 1)
	r.maxDeadline = max(r.maxDeadline, deadline)
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	c.Orders.Start(r.target(), order.Start{
		Task: x.key.task, Run: x.key.run, Spec: t.job.Spec, Deadline: deadline, Token: r.token,
		Checkpoint: t.checkpoint.value, Ticket: t.job.ticketFor(t.step, r),
	})
}

// StartAnswered processes the reply v to the start order given, sent to the runner id.
func (c *Cell) StartAnswered(now time.Time, id string, given order.Start, v order.Reply) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	x := r.runs[runKey{given.Task, given.Run}]
	if x != nil {
		c.addStarts(x, -1)
	}
	if !c.checkVerdict(now, r, given.Token, v.Verdict) {
		c.handleNotAccepted(now, r, x, given.Token, v.Verdict)
		return
	}
	x.confirm(now, v.Clock)
	r.recordAnswer(now, given.Token, max(v.Clock, r.clock))
	if x == nil {
		return
	}
	if v.Verdict == order.Done {
		x.startAnswered = now
		if x.task != nil && !x.task.job.Transient && !x.confirmed {
			r.lastStoredStart = now
		}
		r.health.observeLatency(now.Sub(x.startSent))
		return
	}
	c.handleNotStarted(now, x, v.Verdict)
}

// handleNotAccepted processes a verdict, to a start order of run x, that says that the runner
// rejected the order or may not have received it. X may be nil.
func (c *Cell) handleNotAccepted(now time.Time, r *runner, x *run, token int64, v order.Verdict) {
	switch v {
	case order.Unhealthy, order.Invalid:
		r.health.recordFailure(now)
		if x != nil && !r.unansweredSince.Before(x.startSent) {
			r.unansweredSince = time.Time{} // a rejected start is an answer; a rejected hold extends no lease
		}
	case order.Fenced:
	case order.Unknown:
		if x != nil && x.startAnswered.IsZero() && x.startsInFlight == 0 && token == r.token && x.token == r.token && r.fenced {
			c.handleNoReply(now, x)
		}
		return
	default:
		return
	}
	if x != nil {
		c.handleNotStarted(now, x, v)
	}
}

// handleNotStarted releases a run that the runner did not start. If the runner has a run
// with a number at least as high, or another order may start the run, it is fenced instead to
// learn what runs.
func (c *Cell) handleNotStarted(now time.Time, x *run, v order.Verdict) {
	c.Metrics.Count("not_started_"+v.String(), 1)
	c.log("event", "notstarted", "runner", x.runner.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run,
		"why", v.String())
	if v == order.Superseded || x.resent {
		c.fence(now, x.runner) // the reply reports whether it runs
		return
	}
	if v == order.InvalidTicket && x.task != nil {
		delete(x.task.job.adviceFor(x.task.step).tickets, x.runner.ID)
	}
	c.release(x)
	c.schedulePass()
}
