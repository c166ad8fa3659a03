package cell

import (
	"time"
)

// comeBack is when a refused caller may come back.
const comeBack = time.Second

// refuse returns why j is not taken, and when to come back, or no reason. It sets
// when j is due.
func (c *Cell) refuse(now time.Time, j *job) (reason string, after time.Duration) {
	allowed := c.allowed(j)
	j.due = j.arrived.Add(allowed)
	if j.inherited || !c.loaded {
		return "", 0
	}
	switch {
	case !j.Transient && (c.storeDown(now) || !now.Before(c.leased)):
		return ReasonStore, comeBack
	case !c.roomy(j):
		return ReasonTasks, comeBack
	}
	if j.Repeat > 0 || j.Lasting() {
		return "", 0
	}
	wait := c.backlog()
	chain := j.Chain(func(step int) float64 { return c.expected(j, step) })
	if wait > 0 && wait+chain > milliseconds(allowed) {
		return ReasonLoad, max(span(wait), 100*time.Millisecond)
	}
	return "", 0
}

// roomy reports whether each step of j fits on idle runners: a task on one of them, a
// gang on all together.
func (c *Cell) roomy(j *job) bool {
	for s := range j.Steps {
		wanted, places := 1, 0
		if j.Steps[s].Gang {
			wanted = j.Steps[s].Count
		}
		n := need(&j.Steps[s])
		for _, r := range c.sorted {
			if r.Service == j.Queue.Service && places < wanted {
				places += r.Room.times(n)
			}
		}
		if places < wanted {
			return false
		}
	}
	return true
}

// backlog returns the time that the runners need for what waits, in milliseconds.
func (c *Cell) backlog() float64 {
	waiting, capacity := 0.0, 0.0
	for _, j := range c.ready {
		for s := range j.tasks {
			each := c.expected(j, s) * float64(need(j.spec(s)).CPU)
			if j.spec(s).Lasting {
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
		if r.listed && !r.Leaving && (r.fenced || !r.synced) {
			capacity += float64(r.Room.CPU) * r.speed.rate()
		}
	}
	if capacity == 0 {
		return 0
	}
	const packed = 0.85 // of the cores that tasks can use
	return waiting / (packed * capacity)
}
