package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// dispatch starts what fits, in the order of due times.
func (c *Cell) dispatch(now time.Time) {
	if !c.mayStart(now) || len(c.ready) == 0 {
		return
	}
	least := c.leastNeed()
	usable := c.usable(now, least)
	for i := 0; i < len(c.ready) && len(usable) > 0; {
		j := c.ready[i]
		if j.inherited && !c.safe {
			i++
			continue
		}
		if c.start(now, j, usable) {
			usable = slices.DeleteFunc(usable, func(r *runner) bool { return r.free().CPU < least })
		}
		if c.reserves(now, j) {
			break
		}
		if j.ready > 0 {
			i++
			continue
		}
		j.listed = false
		c.ready = slices.Delete(c.ready, i, i+1)
	}
}

// leastNeed returns the least that a waiting task needs, in thousandths of a core.
func (c *Cell) leastNeed() int {
	least := work.MaxCPU
	for _, j := range c.ready {
		for s := range j.Steps {
			least = min(least, need(&j.Steps[s]).CPU)
		}
	}
	return max(least, 1)
}

// usable returns the runners that may be given work and have room for least.
func (c *Cell) usable(now time.Time, least int) []*runner {
	list := c.scratch[:0]
	for _, r := range c.sorted {
		if r.free().CPU >= least && r.listed && !r.Leaving && r.fenced && !r.health.resting(now) && !r.silent(now, c.answerTime(r)) {
			list = append(list, r)
		}
	}
	c.scratch = list
	return list
}

// start starts the tasks of j that fit. It reports whether it started one.
func (c *Cell) start(now time.Time, j *job, usable []*runner) bool {
	started := false
	for s := range j.tasks {
		if !slices.ContainsFunc(j.tasks[s], func(t *task) bool { return t.ready }) {
			continue
		}
		c.askAdvice(now, j, s, usable)
		c.rack = c.rackFor(j, s, usable)
		if g := j.gang(s); g != nil {
			started = c.startGang(now, g, usable) || started
			continue
		}
		for _, t := range j.tasks[s] {
			if !t.ready {
				continue
			}
			r := c.choose(now, t, usable)
			if r == nil {
				break
			}
			c.order(now, t, r)
			started = true
		}
	}
	return started
}

// rackFor returns the rack on which the tasks of a step should be together: that of
// those that run, else the one with most places; empty if it does not matter.
func (c *Cell) rackFor(j *job, step int, usable []*runner) string {
	if !j.spec(step).Colocate {
		return ""
	}
	for _, t := range j.tasks[step] {
		if t.run != nil && t.run.runner.Rack != "" {
			return t.run.runner.Rack
		}
	}
	n := need(j.spec(step))
	places := map[string]int{}
	best := ""
	for _, r := range usable {
		if r.Rack == "" || r.Service != j.Queue.Service {
			continue
		}
		places[r.Rack] += r.free().times(n)
		if places[r.Rack] > places[best] {
			best = r.Rack
		}
	}
	return best
}

// choose returns the runner for t, or nil if it fits nowhere: the slowest of those
// that would end it in time, else the fastest.
func (c *Cell) choose(now time.Time, t *task, usable []*runner) *runner {
	n := need(t.spec())
	expected := c.expected(t.job, t.step)
	left := milliseconds(t.job.due.Sub(now))
	var best *runner
	bestScore := 0.0
	for _, r := range usable {
		if !c.fit(now, t, r, n) {
			continue
		}
		score := c.score(t, r, n, expected, left)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// safety is how much longer than expected a task is taken to last.
const safety = 1.3

func (c *Cell) score(t *task, r *runner, n Room, expected, left float64) float64 {
	f := r.speed.rate()
	score := f
	if expected/f*safety <= left {
		score = 10 - f
	}
	rest := r.free().less(n)
	score -= float64(rest.CPU%max(n.CPU, 1)) / float64(max(r.Room.CPU, 1)) * 0.5
	if rack := t.spec().Rack; (rack != "" && slices.Contains(r.Labels, rack)) || (c.rack != "" && r.Rack == c.rack) {
		score += 5
	}
	if r.health.streak > 0 {
		score -= 20
	}
	if serves(t.spec()) && r.filling() > 0 {
		score -= 30
	}
	if slices.Contains(t.tried, r) {
		score -= 40
	}
	return score
}

// fit reports whether r may run t at now.
func (c *Cell) fit(now time.Time, t *task, r *runner, n Room) bool {
	s := t.spec()
	if r.Service != t.job.Queue.Service || !r.free().fits(n) {
		return false
	}
	if s.Fills && !r.mayFill(s) {
		return false
	}
	if !t.advised(now, r) {
		return false
	}
	if s.Label != "" && !slices.Contains(r.Labels, s.Label) {
		return false
	}
	if r.health.streak > 0 && len(r.runs)+r.planned > 0 {
		return false // one at a time until it has done one
	}
	if s.Spread > 0 {
		count := 0
		for _, x := range r.all() {
			if x.key.task.Job == t.job.ID && x.key.task.Step == t.step {
				count++
			}
		}
		return count+r.planned < s.Spread
	}
	return true
}

// order starts a run of t on r.
func (c *Cell) order(now time.Time, t *task, r *runner) {
	deadline := c.deadline(now, r)
	if deadline == 0 {
		return
	}
	t.last = max(t.last, t.floor) + 1
	x := &run{key: runKey{t.name(), t.last}, task: t, runner: r, room: need(t.spec()), token: r.token, sent: now}
	x.resumed = t.saved.value != ""
	t.run, t.ready = x, false
	t.job.ready--
	r.runs[x.key] = x
	r.used = r.used.more(x.room)
	r.until = max(r.until, deadline)
	if r.asked.IsZero() {
		r.asked = now
	}
	c.clearFor(now, t, r)
	c.Counter.Count("starts", 1)
	c.log("event", "start", "job", t.job.ID, "step", t.step, "task", t.index, "run", t.last, "runner", r.ID, "waited", now.Sub(t.job.arrived),
		"left", t.job.due.Sub(now), "speed", r.speed.rate(), "free", r.free().CPU)
	c.Orders.Start(r.target(), order.Start{
		Task: x.key.task, Run: x.key.run, Spec: t.job.Spec, Deadline: deadline, Token: r.token,
		Saved: t.saved.value, Ticket: t.job.ticket(t.step, r),
	})
}

// Started takes the answer to a start.
func (c *Cell) Started(now time.Time, id string, given order.Start, v order.Reply) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	x := r.runs[runKey{given.Task, given.Run}]
	if !c.heard(now, r, given.Token, v.Verdict) {
		if v.Verdict == order.Unfit || v.Verdict == order.Invalid {
			r.health.failed(now)
		}
		if x != nil && (v.Verdict == order.Unfit || v.Verdict == order.Invalid || v.Verdict == order.Fenced) {
			c.refused(now, x, v.Verdict)
		}
		return
	}
	r.take(now, max(v.Clock, r.clock))
	if x == nil {
		return
	}
	if v.Verdict == order.Done {
		x.answered = now
		if x.task != nil && !x.task.job.Transient {
			r.ordered = now
		}
		r.health.took(now.Sub(x.sent))
		return
	}
	c.refused(now, x, v.Verdict)
}

// refused takes back a run that was not started.
func (c *Cell) refused(now time.Time, x *run, v order.Verdict) {
	c.Counter.Count("not_started_"+v.String(), 1)
	c.log("event", "notstarted", "runner", x.runner.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run,
		"why", v.String())
	if v == order.Old {
		c.fence(now, x.runner) // the list tells whether it runs
		return
	}
	if v == order.Unadvised && x.task != nil {
		delete(x.task.job.advice(x.task.step).tickets, x.runner.ID)
	}
	c.release(x)
	c.wake()
}
