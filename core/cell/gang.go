package cell

import (
	"slices"
	"strings"
	"time"

	"gypsumward/core/order"
)

// gang is the tasks of a step that work only while all of them run. All runs of a
// gang that belong together have the same number.
type gang []*task

// gang returns the gang that a step is, or nil.
func (j *job) gang(step int) gang {
	if !j.spec(step).Gang {
		return nil
	}
	return gang(j.tasks[step])
}

// members returns the gang of t, or t alone.
func (t *task) members() []*task {
	if g := t.job.gang(t.step); g != nil {
		return g
	}
	return []*task{t}
}

// ready reports whether all members may be started.
func (g gang) ready() bool {
	return !slices.ContainsFunc(g, func(t *task) bool { return !t.ready })
}

// raise gives all members the highest number of a run of any.
func (g gang) raise() {
	last := 0
	for _, t := range g {
		last = max(last, t.last)
	}
	for _, t := range g {
		t.last = last
	}
}

// startGang starts all members, or none if they do not fit together.
func (c *Cell) startGang(now time.Time, g gang, usable []*runner) bool {
	if !g.ready() {
		return false
	}
	n := need(g[0].spec())
	places := make([]*runner, 0, len(g))
	for _, t := range g {
		r := c.choose(now, t, usable)
		if r == nil || c.deadline(now, r) == 0 {
			break
		}
		r.used = r.used.more(n)
		r.planned++
		places = append(places, r)
	}
	for _, r := range places {
		r.used = r.used.less(n)
		r.planned--
	}
	if len(places) < len(g) {
		return false
	}
	g.raise()
	for i, t := range g {
		c.order(now, t, places[i])
	}
	return true
}

// mendGang stops what is left of a gang that is not whole any more: its members wait
// for others that will not come.
func (c *Cell) mendGang(now time.Time, j *job, g gang) {
	if j.state.Ended() || (j.inherited && !c.safe) {
		return
	}
	runs, number, whole := 0, 0, true
	for _, t := range g {
		if t.done {
			return
		}
		if t.run == nil || !t.run.stopping.IsZero() || (number != 0 && t.run.key.run != number) {
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
			c.stop(now, t.run, "its gang is not whole")
		}
	}
}

// mendGangs looks after all gangs.
func (c *Cell) mendGangs(now time.Time) {
	var jobs []*job
	for _, j := range c.jobs {
		if j.gangs {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		for s := range j.tasks {
			if g := j.gang(s); g != nil {
				c.mendGang(now, j, g)
			}
		}
	}
}

// A gang that has waited for room gets what becomes free for some time, ahead of all
// jobs that are due later.
const (
	reserveAfter = 300 * time.Millisecond
	reserveTime  = 4 * time.Second
)

// reserves reports whether jobs behind j have to wait for it.
func (c *Cell) reserves(now time.Time, j *job) bool {
	if !j.gangs {
		return false
	}
	waiting := false
	for s := range j.tasks {
		if g := j.gang(s); g != nil && g.ready() {
			waiting = true
		}
	}
	if !waiting {
		j.blocked = time.Time{}
		return false
	}
	if j.blocked.IsZero() {
		j.blocked = now
	}
	waited := now.Sub(j.blocked)
	return waited > reserveAfter && waited < reserveTime
}

// finishedGang takes the end of one member as the end of all, since they end together.
// The ends of the others are held until the rows tell so, as that one is.
func (c *Cell) finishedGang(t *task, e order.End) {
	for _, m := range t.job.gang(t.step) {
		if m == t || m.done {
			continue
		}
		m.done = true
		m.last = max(m.last, e.Run)
		t.job.open[t.step]--
	}
}
