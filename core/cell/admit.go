package cell

import (
	"slices"
	"time"

	"gypsumward/core/backlog"
)

// retryAfter is the time after which a refused caller may submit again if the reason is
// not load.
const retryAfter = time.Second

// leaseGrace is how long the lease of the holder must have expired before jobs are refused,
// since it may be extended again.
const leaseGrace = 250 * time.Millisecond

// refusalReason decides on the admission of j and sets its due time. It returns an empty
// reason if j is admitted, else a Reason constant and the time after which the caller may
// submit again.
func (c *Cell) refusalReason(now time.Time, j *job) (reason string, after time.Duration) {
	allowed := c.allowedTime(j)
	j.due = j.arrived.Add(allowed)
	if j.inherited || !c.loaded {
		return "", 0
	}
	if wait := now.Sub(c.leaseUntil); wait > leaseGrace && !c.leaseUntil.IsZero() {
		return ReasonLease, retryAfter
	}
	switch {
	case !j.Transient && (c.storeDown(now) || !now.Before(c.storedUntil)):
		return ReasonStore, retryAfter
	case !c.knowsEvacuations():
		return ReasonStore, retryAfter
	case !c.hasMemory(j.memory()):
		return ReasonMemory, max(fromMilliseconds(c.backlog(now)), memoryRetryAfter)
	case !c.fitsIdleRunners(now, j):
		return c.unfitReason(now, j), retryAfter
	}
	if j.RepeatCount > 0 || j.LongRunning() {
		return "", 0
	}
	if len(c.ready) == 0 || c.hasRoom(now, j) {
		return "", 0
	}
	if a := c.admission(now, j); !a.Admitted {
		return ReasonLoad, max(a.Drained, minRetryAfter)
	}
	return "", 0
}

// minRetryAfter is the least time after which a caller that was refused for load may submit
// again.
const minRetryAfter = 100 * time.Millisecond

// admission decides whether j can be done in time beside the jobs that wait.
func (c *Cell) admission(now time.Time, j *job) backlog.Admission {
	capacity := c.capacity(now)
	if capacity == 0 {
		return backlog.Admission{Admitted: true}
	}
	waiting := make([]backlog.Job, 0, len(c.ready))
	for _, other := range c.ready {
		waiting = append(waiting, backlog.Job{Due: other.due, Work: fromMilliseconds(c.waitingWork(other) / capacity), Chain: c.expectedChain(other)})
	}
	own := 0.0
	for s := range j.Steps {
		own += c.stepWork(j, s, j.Steps[s].Count)
	}
	return backlog.Admit(now, waiting, backlog.Job{Due: j.due, Work: fromMilliseconds(own / capacity), Chain: c.expectedChain(j)})
}

// expectedChain returns the expected time from the first start of a task of j until its end is
// known: the run times of the longest chain of steps, and the write of the end if j is stored.
func (c *Cell) expectedChain(j *job) time.Duration {
	return fromMilliseconds(j.CriticalPath(func(step int) float64 { return c.expectedRunTime(j, step) })) + c.endLatency(j)
}

// hasRoom reports whether all tasks of j that depend on no others can start at once, beside
// the tasks that wait already and can start too.
func (c *Cell) hasRoom(now time.Time, j *job) bool {
	if !c.mayStart(now) {
		return false
	}
	usable := c.usable(now, 1)
	waiting := c.startableTasks(j.Queue.Service, usable)
	for s := range j.Steps {
		if len(j.Steps[s].After) > 0 {
			continue
		}
		waiting += j.Steps[s].Count
		places := 0
		for _, r := range usable {
			if r.suits(&j.Steps[s], j.Queue.Service) {
				places += r.places(&j.Steps[s], r.free())
			}
		}
		if places < waiting {
			return false
		}
	}
	return true
}

// startableTasks returns the number of waiting tasks of a service that some usable runner has
// room for. The others do not start before a larger part of a runner is free.
func (c *Cell) startableTasks(service string, usable []*runner) int {
	tasks := 0
	for _, j := range c.ready {
		if j.Queue.Service == service && slices.ContainsFunc(usable, func(r *runner) bool {
			return r.Service == service && r.free().fits(j.leastRequired)
		}) {
			tasks += j.readyTasks
		}
	}
	return tasks
}

// backlog returns the estimated time in milliseconds that the runners need for the
// waiting tasks, without long-running ones.
func (c *Cell) backlog(now time.Time) float64 {
	capacity := c.capacity(now)
	if capacity == 0 {
		return 0
	}
	waiting := 0.0
	for _, j := range c.ready {
		waiting += c.waitingWork(j)
	}
	return waiting / capacity
}

// waitingWork returns the expected work of the tasks of j that may be started, in thousandths
// of a core times milliseconds at speed one. Long-running ones do not count.
func (c *Cell) waitingWork(j *job) float64 {
	work := 0.0
	for s, tasks := range j.steps() {
		ready := 0
		for _, t := range tasks {
			if t.ready {
				ready++
			}
		}
		work += c.stepWork(j, s, ready)
	}
	return work
}

// stepWork returns the expected work of a number of tasks of a step of j.
func (c *Cell) stepWork(j *job, step, tasks int) float64 {
	if j.spec(step).LongRunning {
		return 0
	}
	return float64(tasks) * c.expectedRunTime(j, step) * float64(requirements(j.spec(step)).CPU)
}

// packingEfficiency is the share of the cores that tasks can use.
const packingEfficiency = 0.85

// capacity returns the work that the runners can do in a millisecond, as far as is known at now.
func (c *Cell) capacity(now time.Time) float64 {
	capacity := 0.0
	for _, r := range c.sorted {
		if r.isListed(now) && r.receivesWork() && (r.fenced || !r.synced) {
			capacity += float64(r.Capacity.CPU) * r.rate(now)
		}
	}
	return packingEfficiency * capacity
}
