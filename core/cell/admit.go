package cell

import (
	"time"
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
	case !j.Transient && (c.storeDown(now) || !now.Before(c.leaseUntil)):
		return ReasonStore, retryAfter
	case !c.fitsIdleRunners(j):
		return ReasonNoRunnerFits, retryAfter
	}
	if j.RepeatCount > 0 || j.LongRunning() {
		return "", 0
	}
	wait := c.backlog()
	chain := j.CriticalPath(func(step int) float64 { return c.expectedRunTime(j, step) })
	if wait > 0 && wait+chain > milliseconds(allowed) {
		return ReasonLoad, max(fromMilliseconds(wait), 100*time.Millisecond)
	}
	return "", 0
}

// hasRoom reports whether all tasks of j that depend on no others can start at once, beside
// the tasks that wait already.
func (c *Cell) hasRoom(now time.Time, j *job) bool {
	if !c.mayStart(now) {
		return false
	}
	waiting := 0
	for _, other := range c.ready {
		waiting += other.readyTasks
	}
	usable := c.usable(now, 1)
	for s := range j.Steps {
		if len(j.Steps[s].After) > 0 {
			continue
		}
		waiting += j.Steps[s].Count
		places, required := 0, requirements(&j.Steps[s])
		for _, r := range usable {
			if r.Service == j.Queue.Service {
				places += r.free().capacityFor(required)
			}
		}
		if places < waiting {
			return false
		}
	}
	return true
}

// fitsIdleRunners reports whether each step of j would fit if all runners were idle: one
// task on a single runner, a gang on all runners together.
func (c *Cell) fitsIdleRunners(j *job) bool {
	for s := range j.Steps {
		wantedTasks, capacity := 1, 0
		if j.Steps[s].Gang {
			wantedTasks = j.Steps[s].Count
		}
		required := requirements(&j.Steps[s])
		for _, r := range c.sorted {
			if r.Service == j.Queue.Service && capacity < wantedTasks {
				capacity += r.Capacity.capacityFor(required)
			}
		}
		if capacity < wantedTasks {
			return false
		}
	}
	return true
}

// backlog returns the estimated time in milliseconds that the runners need for the
// waiting tasks, without long-running ones.
func (c *Cell) backlog() float64 {
	waiting, capacity := 0.0, 0.0
	for _, j := range c.ready {
		for s := range j.tasks {
			each := c.expectedRunTime(j, s) * float64(requirements(j.spec(s)).CPU)
			if j.spec(s).LongRunning {
				continue
			}
			for _, t := range j.tasks[s] {
				if t.ready {
					waiting += each
				}
			}
		}
	}
	for _, r := range c.sorted {
		if r.inDirectory && !r.Draining && (r.fenced || !r.synced) {
			capacity += float64(r.Capacity.CPU) * r.speed.rate()
		}
	}
	if capacity == 0 {
		return 0
	}
	const packingEfficiency = 0.85 // share of the cores that tasks can use
	return waiting / (packingEfficiency * capacity)
}
