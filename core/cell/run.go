package cell

import (
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

type runKey struct {
	task work.Task
	run  int
}

// run is a run of a task that may be alive. Its task is nil if the cell does not
// know it; the runner then counts as full.
type run struct {
	key      runKey
	task     *task
	runner   *runner
	room     Room
	token    int64
	sent     time.Time
	answered time.Time // zero until the start was answered
	seen     time.Time // when percent was last taken
	percent  float64
	moved    time.Time // when percent last changed
	stopping time.Time // when a stop was sent; zero if none was
	stray    bool      // its size is not known
	resumed  bool      // it goes on from a checkpoint
}

// tendRuns looks after starts and stops without answer.
func (c *Cell) tendRuns(now time.Time, r *runner) {
	for _, x := range r.all() {
		if x.task == nil && x.stopping.IsZero() && now.Sub(x.sent) > strayTime {
			c.stop(now, x, "not asked for")
		}
		if x.answered.IsZero() && now.Sub(x.sent) > c.answerTime(r) && x.token == r.token {
			c.Counter.Count("unanswered", 1)
			c.log("event", "unanswered", "runner", r.ID, "job", x.key.task.Job, "task", x.key.task.Index,
				"run", x.key.run, "after", now.Sub(x.sent))
			c.fence(now, r)
			return
		}
		if !x.stopping.IsZero() && now.Sub(x.stopping) > c.Settings.Grace+2*c.answerTime(r) {
			x.stopping = time.Time{}
			c.stop(now, x, "again")
		}
	}
}

// giveUp releases the runs of a runner on which every lease has ended.
func (c *Cell) giveUp(now time.Time, r *runner) {
	if len(r.runs) == 0 || !r.silent(now, c.Settings.Silence) || !r.lapsed(now, c.Settings.Lease) {
		return
	}
	c.log("event", "runner", "runner", r.ID, "state", "lost", "runs", len(r.runs), "silent", now.Sub(r.asked))
	for _, x := range r.all() {
		c.release(x)
	}
	c.wake()
}

// adopt books a run that the cell did not start. If its task has no other run, it
// becomes the run of the task, else it is stopped.
func (c *Cell) adopt(now time.Time, r *runner, key runKey) *run {
	x := &run{key: key, runner: r, token: r.token, sent: now, answered: now}
	var t *task
	if j := c.jobs[key.task.Job]; j != nil {
		t = j.task(key.task)
	}
	r.runs[key] = x
	if t == nil {
		x.stray = true
		r.strays++
	} else {
		x.room = need(t.spec())
		r.used = r.used.more(x.room)
	}
	if t != nil && !t.done && t.run == nil && !t.job.state.Ended() && key.run >= t.last {
		x.task = t
		t.run, t.last = x, key.run
		t.job.refresh()
		c.log("event", "adopt", "runner", r.ID, "job", key.task.Job, "task", key.task.Index, "run", key.run)
		return x
	}
	if t != nil || c.jobs[key.task.Job] != nil {
		c.stop(now, x, "not known")
	}
	return x
}

// release takes a run that is certainly over off the books, if it is on them. A run
// that the cell does not know is nil.
func (c *Cell) release(x *run) {
	if x == nil || x.runner.runs[x.key] != x {
		return
	}
	r := x.runner
	delete(r.runs, x.key)
	r.used = r.used.less(x.room)
	if x.stray {
		r.strays--
	}
	t := x.task
	if t == nil || t.run != x {
		return
	}
	t.run = nil
	j := t.job
	if j.state.Ended() {
		if _, ok := c.ended.jobs[j.ID]; ok && !c.running(j) {
			delete(c.jobs, j.ID)
		}
		return
	}
	j.refresh()
	c.enlist(j)
}

// stop orders a run to end. It stays on the books until its end is listed.
func (c *Cell) stop(now time.Time, x *run, why string) {
	if !x.stopping.IsZero() {
		return
	}
	x.stopping = now
	c.Counter.Count("stops", 1)
	c.log("event", "stop", "runner", x.runner.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run, "why", why)
	c.Orders.Stop(x.runner.target(), order.Stop{Task: x.key.task, Run: x.key.run, Token: x.runner.token})
}

// Stopped takes the answer to a stop.
func (c *Cell) Stopped(now time.Time, id string, given order.Stop, v order.Reply) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	if c.heard(now, r, given.Token, v.Verdict) {
		r.take(now, max(v.Clock, r.clock))
	}
}
