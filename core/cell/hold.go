package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
)

// deadline returns the deadline of an order given at now, or zero if the runner
// should not be given more time. None is given once another instance may have become
// the holder, which counts on all leases to lapse.
func (c *Cell) deadline(now time.Time, r *runner) int64 {
	if r.clock == 0 || r.silent(now, c.Settings.Silence) || !now.Before(c.leased) {
		return 0
	}
	return r.estimate(now) + (c.Settings.Lease - leaseMargin).Milliseconds()
}

// probe asks what runs and ended, waiting at the runner for up to wait.
func (c *Cell) probe(now time.Time, r *runner, wait time.Duration) {
	c.tickets++
	h := order.Hold{Token: r.token, Acked: r.acknowledged(), Wait: wait}
	if len(r.runs) > 0 || wait > 0 || !c.loaded {
		h.Deadline = c.deadline(now, r)
		r.until = max(r.until, h.Deadline)
	}
	if wait > 0 {
		r.poll, r.polled = c.tickets, now
	} else {
		r.look, r.looked = c.tickets, now
		if r.asked.IsZero() {
			r.asked = now
		}
	}
	c.Counter.Count("holds", 1)
	c.Orders.Hold(r.target(), h, c.tickets)
}

// acknowledged returns up to which end may be acknowledged now. A runner that has
// restarted under its id counts anew, and would forget ends that were never seen: so
// none is while a run of a stored job was started after the last sign of this life.
func (r *runner) acknowledged() int64 {
	for _, x := range r.runs {
		if x.task == nil || x.task.job.Transient {
			continue
		}
		if x.answered.IsZero() || x.answered.After(r.confirmed) {
			return 0
		}
	}
	if r.ordered.After(r.confirmed) {
		return 0
	}
	return r.acked
}

// tend does what is due at a runner: renewing leases, asking again, giving up.
func (c *Cell) tend(r *runner, now time.Time) {
	if r.token == 0 || (!r.listed && len(r.runs) == 0) {
		return
	}
	c.ask(now, r)
	if !r.fenced {
		if !c.loaded && r.look == 0 && now.Sub(r.looked) > c.Settings.Lease/4 {
			c.probe(now, r, 0)
		}
		c.giveUp(now, r)
		return
	}
	if r.look == 0 && len(r.runs) > 0 && time.Duration(r.until-r.estimate(now))*time.Millisecond < c.Settings.Lease*9/20 {
		c.probe(now, r, 0)
	}
	if r.poll == 0 && r.asked.IsZero() && !c.resting && c.mayPoll(now, r) {
		wait := c.Settings.Idle
		if len(r.runs) > 0 {
			wait = c.Settings.Wait
		}
		c.probe(now, r, wait)
	}
	c.tendRuns(now, r)
	c.giveUp(now, r)
}

// ask asks a runner again that has not answered an order, or whose last hold failed.
func (c *Cell) ask(now time.Time, r *runner) {
	unanswered := r.look != 0 && now.Sub(r.looked) > c.answerTime(r)
	failed := r.look == 0 && !r.asked.IsZero()
	if (unanswered || failed) && now.After(r.next) {
		r.next = now.Add(probePause)
		c.probe(now, r, 0)
	}
}

// mayPoll reports whether a hold that waits would do so. While ends are not
// acknowledged a runner answers at once.
func (c *Cell) mayPoll(now time.Time, r *runner) bool {
	return len(r.ends) == 0 || now.Sub(r.polled) >= pollPause
}

// Held takes the answer to a hold.
func (c *Cell) Held(now time.Time, id string, given order.Hold, ticket int64, h order.Held) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	sent := time.Time{}
	if r.poll == ticket {
		r.poll, sent = 0, r.polled
	}
	mine := r.look == ticket
	if mine {
		r.look, sent = 0, r.looked
	}
	if !c.heard(now, r, given.Token, h.Verdict) {
		c.missed(r, sent)
		return
	}
	if mine {
		r.health.took(now.Sub(r.looked))
	}
	if h.Born < r.life {
		return
	}
	if h.Born > r.life && r.life != 0 {
		c.reborn(now, r, h)
		return
	}
	r.life = h.Born
	if sent.After(r.confirmed) {
		r.confirmed = sent
	}
	if h.Clock < r.clock && given.Token == r.token && r.fenced {
		return // overtaken by a later answer
	}
	r.take(now, h.Clock)
	if given.Token != r.token {
		return
	}
	if !c.loaded {
		if given.Deadline == 0 {
			c.probe(now, r, 0) // what runs there is kept until the rows tell what it is
		}
		return
	}
	c.ends(now, r, h.Ends)
	if !r.fenced {
		c.sync(now, r, h.Active)
	} else {
		c.observe(now, r, h.Active)
		c.miss(now, r, h.Active, sent)
	}
	c.tend(r, now)
	c.wake()
}

// missed notes that a hold sent at a time was not answered.
func (c *Cell) missed(r *runner, sent time.Time) {
	if sent.IsZero() || !r.asked.IsZero() || sent.Before(r.seen) {
		return
	}
	r.asked = sent
}

// sync takes the list of what runs as it is after all earlier orders have become
// void.
func (c *Cell) sync(now time.Time, r *runner, active []order.Active) {
	r.fenced, r.synced = true, true
	listed := map[runKey]bool{}
	for _, a := range active {
		listed[runKey{a.Task, a.Run}] = true
	}
	for _, x := range r.all() {
		if key := x.key; !listed[key] {
			c.log("event", "vanished", "runner", r.ID, "job", key.task.Job, "task", key.task.Index, "run", key.run,
				"answered", !x.answered.IsZero())
			c.release(x)
		}
	}
	c.observe(now, r, active)
	for _, x := range r.all() {
		x.token = r.token
		if x.answered.IsZero() {
			x.answered = now
		}
		if !x.stopping.IsZero() {
			x.stopping = time.Time{}
			c.stop(now, x, "again")
		}
	}
}

// observe takes in how far runs are, and those that the cell did not know of.
func (c *Cell) observe(now time.Time, r *runner, active []order.Active) {
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		x := r.runs[key]
		if x == nil {
			x = c.adopt(now, r, key)
		}
		if a.Percent != x.percent {
			x.moved = now
		}
		x.seen, x.percent = now, a.Percent
		if x.task != nil {
			x.task.save(a.Run, a.Saved)
		}
	}
}

// miss releases the runs that a list lacks though it was asked for after they were
// known to be there. Their ends have been acknowledged, or the list that showed them
// was overtaken by that of their end.
func (c *Cell) miss(now time.Time, r *runner, active []order.Active, sent time.Time) {
	for _, x := range r.all() {
		if x.answered.IsZero() || !x.answered.Before(sent) {
			continue
		}
		if slices.ContainsFunc(active, func(a order.Active) bool { return x.key == runKey{a.Task, a.Run} }) {
			continue
		}
		c.log("event", "vanished", "runner", r.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run,
			"after", now.Sub(x.answered))
		c.release(x)
	}
}
