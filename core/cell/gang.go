package cell

import (
	"slices"
	"strings"
	"time"

	"gypsumward/core/order"
)

// gang is the tasks of a step that make progress only while all of them run. The runs of
// one start of the gang have the same number.
type gang []*task

// gang returns the tasks of a step that is a gang, else nil.
func (j *job) gang(step int) gang {
	if !j.spec(step).Gang {
		return nil
	}
	return gang(j.tasksOf(step))
}

// members returns all tasks of the gang of t, or only t if it belongs to none.
func (t *task) members() []*task {
	if t.spec().Gang {
		return t.occurrence.tasks[t.step%len(t.occurrence.tasks)]
	}
	return []*task{t}
}

// isReady reports whether all members may be started.
func (g gang) isReady() bool {
	return !slices.ContainsFunc(g, func(t *task) bool { return !t.ready })
}

// alignRunNumbers sets the last run number of all members to the highest of them.
func (g gang) alignRunNumbers() {
	last := 0
	for _, t := range g {
		last = max(last, t.lastRun)
	}
	for _, t := range g {
		t.lastRun = last
	}
}

// startGang starts all members of g if they fit together, else none. It reports whether
// it started them.
func (c *Cell) startGang(now time.Time, g gang, usable []*runner) bool {
	if !g.isReady() {
		return false
	}
	required := requirements(g[0].spec())
	placement := make([]*runner, 0, len(g))
	for _, t := range g {
		r := c.chooseRunner(now, t, usable)
		if r == nil || c.orderDeadline(now, r) == 0 {
			break
		}
		r.used = r.used.add(required)
		r.plannedMembers++
		placement = append(placement, r)
	}
	for _, r := range placement {
		r.used = r.used.sub(required)
		r.plannedMembers--
	}
	if len(placement) < len(g) {
		return false
	}
	g.alignRunNumbers()
	for i, t := range g {
		c.startRun(now, t, placement[i])
	}
	return true
}

// stopBrokenGang stops the remaining runs of a gang that is not complete any more. They
// would wait for members that do not run.
func (c *Cell) stopBrokenGang(now time.Time, j *job, g gang) {
	if j.state.Ended() || (j.inherited && !c.takenOver) {
		return
	}
	runs, number, whole := 0, 0, true
	for _, t := range g {
		if t.done {
			return
		}
		if t.run == nil || !t.run.stopSent.IsZero() || (number != 0 && t.run.key.run != number) {
			whole = false
		}
		if t.run != nil {
			runs++
			number = t.run.key.run
		}
	}
	if whole || runs == 0 {
		return
	}
	for _, t := range g {
		if t.run != nil {
			c.stop(now, t.run, "its gang is incomplete")
		}
	}
}

// stopBrokenGangs applies stopBrokenGang to all gangs, in order of job identifiers.
func (c *Cell) stopBrokenGangs(now time.Time) {
	var jobs []*job
	for _, j := range c.jobs {
		if j.hasGang {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		for s := range j.steps() {
			if g := j.gang(s); g != nil {
				c.stopBrokenGang(now, j, g)
			}
		}
	}
}

// A gang that has waited for reserveAfter gets all capacity that becomes free, ahead of
// all jobs that are due later, until it has waited for reserveDuration.
const (
	reserveAfter    = 300 * time.Millisecond
	reserveDuration = 4 * time.Second
)

// reservesCapacity reports whether the jobs after j must wait until a gang of j has
// started. There is nothing to wait for if the runners known now cannot hold it.
func (c *Cell) reservesCapacity(now time.Time, j *job) bool {
	if !j.hasGang {
		return false
	}
	waiting := false
	for s := range j.steps() {
		if g := j.gang(s); g != nil && g.isReady() && c.canHold(now, g) {
			waiting = true
		}
	}
	if !waiting {
		j.blockedSince = time.Time{}
		return false
	}
	if j.blockedSince.IsZero() {
		j.blockedSince = now
	}
	waited := now.Sub(j.blockedSince)
	return waited > reserveAfter && waited < reserveDuration
}

// canHold reports whether the runners known now can hold all members of g, once they are free.
func (c *Cell) canHold(now time.Time, g gang) bool {
	return c.placesFor(now, g[0], func(*runner) bool { return false }) >= len(g)
}

// finishGang marks the other members of the gang of t as done when t has finished with
// end e, since members end together. The ends of the others are not acknowledged before
// the rows hold this, like that of t.
func (c *Cell) finishGang(t *task, e order.EndedRun) {
	for _, m := range t.job.gang(t.step) {
		if m == t || m.done {
			continue
		}
		m.setDone()
		m.lastRun = max(m.lastRun, e.Run)
	}
}
