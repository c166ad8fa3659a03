package cell

import (
	"slices"
	"time"

	"gypsumward/core/work"
)

// Handed is a job as a caller hands it in.
type Handed struct {
	Job    work.Job `json:"job"`
	Caller string   `json:"caller"`          // differs between callers that wait
	Again  bool     `json:"again,omitempty"` // another holder may have had it
	Age    int64    `json:"age,omitempty"`   // milliseconds since the caller came
}

// Submit takes a job in. Told is called once, perhaps at once, with what became of
// it: of a transient job when it has ended, else when it is stored. The same job
// handed in again hears the same.
func (c *Cell) Submit(now time.Time, h Handed, told func(Outcome)) {
	w := h.Job
	if c.deposed {
		told(Outcome{Verdict: Open})
		return
	}
	if f, ok := c.ended.jobs[w.ID]; ok && (f.state != work.Cancelled || !w.Transient) {
		told(Outcome{Verdict: Accepted, State: f.state})
		return
	}
	if j := c.jobs[w.ID]; j != nil {
		c.join(j, h.Caller, told)
		return
	}
	if c.resting {
		told(Outcome{Verdict: Elsewhere})
		return
	}
	j := newJob(w, now.Add(-time.Duration(h.Age)*time.Millisecond))
	j.inherited = h.Again
	if reason, after := c.refuse(now, j); reason != "" {
		c.Counter.Count("refused_"+reason, 1)
		c.log("event", "refuse", "job", w.ID, "queue", w.Queue.Name, "reason", reason, "tasks", w.Tasks(),
			"after", after, "backlog", c.backlog())
		told(Outcome{Verdict: Refused, Reason: reason, After: after})
		return
	}
	j.waiting = append(j.waiting, waiter{h.Caller, told})
	for s := range j.tasks {
		for _, t := range j.tasks[s] {
			t.floor = (c.Tenure.Round - 1) * roundRuns
		}
	}
	c.jobs[w.ID] = j
	c.claimStrays(now, j)
	if w.Transient {
		c.accept(now, j)
		c.wake()
		return
	}
	c.touch(j)
	c.wake()
}

// join lets a caller wait for a job that is known already.
func (c *Cell) join(j *job, caller string, told func(Outcome)) {
	switch {
	case j.Transient && j.state.Ended():
		told(Outcome{Verdict: Open}) // it was dropped, and what ran of it is being stopped
	case j.row.stored && !j.Transient:
		told(Outcome{Verdict: Accepted, State: work.Queued})
	default:
		j.waiting = append(j.waiting, waiter{caller, told})
	}
}

// claimStrays gives j the runs of its tasks that were found at runners.
func (c *Cell) claimStrays(now time.Time, j *job) {
	for _, r := range c.sorted {
		for _, x := range r.all() {
			if x.task != nil || x.key.task.Job != j.ID || !x.stopping.IsZero() {
				continue
			}
			t := j.task(x.key.task)
			if t == nil || t.run != nil {
				c.stop(now, x, "not known")
				continue
			}
			x.stray = false
			r.strays--
			x.room = need(t.spec())
			r.used = r.used.more(x.room)
			x.task, t.run, t.last = t, x, x.key.run
			c.log("event", "adopt", "runner", r.ID, "job", j.ID, "task", t.index, "run", x.key.run)
		}
	}
}

// Leave tells that a caller waits no more. A transient job for which nobody waits is
// dropped.
func (c *Cell) Leave(now time.Time, id, caller string) {
	j := c.jobs[id]
	if j == nil || c.deposed {
		return
	}
	j.waiting = slices.DeleteFunc(j.waiting, func(w waiter) bool { return w.name == caller })
	if j.Transient && len(j.waiting) == 0 && !j.state.Ended() {
		c.log("event", "left", "job", id, "caller", caller, "begun", j.begun())
		c.finish(now, j, work.Cancelled)
		c.wake()
	}
}

// accept starts a job whose row stands.
func (c *Cell) accept(now time.Time, j *job) {
	j.row.stored = true
	c.Counter.Count("accepted", 1)
	c.Counter.Took("accept", now.Sub(j.arrived))
	c.log("event", "accept", "job", j.ID, "queue", j.Queue.Name, "tasks", j.Tasks(), "took", now.Sub(j.arrived),
		"due", j.due.Sub(now), "transient", j.Transient)
	if !j.Transient {
		j.tell(Outcome{Verdict: Accepted, State: work.Queued})
	}
	j.refresh()
	c.enlist(j)
}

// enlist puts j among those with tasks to start, by priority of its due time.
func (c *Cell) enlist(j *job) {
	if j.listed || j.ready == 0 || j.state.Ended() || !j.row.stored {
		return
	}
	j.listed = true
	at, _ := slices.BinarySearchFunc(c.ready, j, func(a, b *job) int { return a.due.Compare(b.due) })
	c.ready = slices.Insert(c.ready, at, j)
}

// State tells the state of a job as it is stored, Unknown if the cell knows nothing of
// it, which does not mean that there is no such job. The answer waits a little for the
// end of a job of which all tasks have been started, and for an end to be stored.
func (c *Cell) State(now time.Time, id string, told func(work.State)) {
	j := c.jobs[id]
	f, ok := c.ended.jobs[id]
	switch {
	case ok:
		told(f.state)
	case j == nil || !j.row.stored:
		told(work.Unknown)
	case j.state.Ended() || (j.begun() && j.ready == 0 && j.brief()):
		j.asked = append(j.asked, question{at: now, told: told})
	case j.begun():
		told(work.Running)
	default:
		told(work.Queued)
	}
}

// Pending returns the number of accepted jobs of a queue of which no task has
// started.
func (c *Cell) Pending(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Queue.Name == queue && j.row.stored && !j.state.Ended() && !j.begun() {
			n++
		}
	}
	return n
}

// Cancel ends a job. Told is called once with its final state, which another end may
// have come before, and whether that is stored. The state is Unknown if the cell
// knows nothing of the job.
func (c *Cell) Cancel(now time.Time, id string, told func(state work.State, stored bool)) {
	if f, ok := c.ended.jobs[id]; ok {
		told(f.state, true)
		return
	}
	j := c.jobs[id]
	if j == nil || c.deposed {
		told(work.Unknown, !c.deposed)
		return
	}
	j.cancels = append(j.cancels, told)
	c.log("event", "cancel", "job", id, "state", string(j.state))
	if j.row.stored {
		c.finish(now, j, work.Cancelled)
	}
	c.wake()
}

// finish ends a job and stops what runs of it.
func (c *Cell) finish(now time.Time, j *job, state work.State) {
	if j.state.Ended() {
		return
	}
	j.state = state
	c.unlist(j)
	for _, step := range j.tasks {
		for _, t := range step {
			t.ready = false
			if t.run != nil && !t.done {
				c.stop(now, t.run, "job "+string(state))
			}
		}
	}
	if j.Transient {
		c.close(now, j, 0)
		return
	}
	c.touch(j)
}

func (c *Cell) unlist(j *job) {
	if !j.listed {
		return
	}
	j.listed = false
	if at := slices.Index(c.ready, j); at >= 0 {
		c.ready = slices.Delete(c.ready, at, at+1)
	}
}
