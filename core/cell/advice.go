package cell

import (
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// Bounds of questions to the adviser, which answers one at a time.
const (
	adviceSize   = 30                     // runners in one question
	advicePause  = 50 * time.Millisecond  // after a question without an answer
	adviceMargin = 200 * time.Millisecond // of a ticket's time, left unused
)

// Adviser tells which runners may run a step. The answer comes back as one message,
// Advised, with what was given here.
type Adviser interface {
	Advise(t work.Task, runners []string)
}

// advice is what is known of the runners that may run a step.
type advice struct {
	asked   map[string]int64 // lives of the runners that were named, by runner
	tickets map[string]ticket
}

// ticket lets a runner run a step during one of its lives.
type ticket struct {
	value string
	life  int64
	until time.Time
}

// advice returns what is known for a step.
func (j *job) advice(step int) *advice {
	if j.advices == nil {
		j.advices = map[int]*advice{}
	}
	a := j.advices[step]
	if a == nil {
		a = &advice{asked: map[string]int64{}, tickets: map[string]ticket{}}
		j.advices[step] = a
	}
	return a
}

// ticket returns the ticket for a run on r, empty if none is needed.
func (j *job) ticket(step int, r *runner) string {
	if !j.Queue.Advised {
		return ""
	}
	return j.advice(step).tickets[r.ID].value
}

// holds reports whether a ticket is good on r at now.
func (t ticket) holds(r *runner, now time.Time) bool {
	return t.value != "" && t.life == r.life && now.Add(adviceMargin).Before(t.until)
}

// advised reports whether r may run t at now as far as the adviser is concerned.
func (t *task) advised(now time.Time, r *runner) bool {
	return !t.job.Queue.Advised || t.job.advice(t.step).tickets[r.ID].holds(r, now)
}

// askAdvice asks for runners for a step, unless a question is on its way or enough are
// known. Of a runner that was named nothing more is asked while its life lasts, but for
// a new ticket.
func (c *Cell) askAdvice(now time.Time, j *job, step int, usable []*runner) {
	if !j.Queue.Advised || c.Adviser == nil || c.advising || now.Before(c.adviceNext) {
		return
	}
	a := j.advice(step)
	wanted := 0
	for _, t := range j.tasks[step] {
		if t.ready {
			wanted++
		}
	}
	var ask []string
	for _, r := range usable {
		known := a.tickets[r.ID]
		if known.holds(r, now) {
			wanted--
			continue
		}
		again := known.value != "" && known.life == r.life
		if r.Service == j.Queue.Service && len(ask) < adviceSize && (again || a.asked[r.ID] != r.life || r.life == 0) {
			ask = append(ask, r.ID)
		}
	}
	if wanted <= 0 || len(ask) == 0 {
		return
	}
	for _, id := range ask {
		a.asked[id] = c.runners[id].life
	}
	c.advising = true
	c.Counter.Count("advice", 1)
	c.Adviser.Advise(j.tasks[step][0].name(), ask)
}

// Advised takes the answer to a question, given the time at which it was asked.
func (c *Cell) Advised(now, asked time.Time, t work.Task, runners []string, v order.Advice) {
	c.advising = false
	if c.deposed {
		return
	}
	j := c.jobs[t.Job]
	c.log("event", "advice", "job", t.Job, "step", t.Step, "asked", len(runners), "good", len(v.Tickets), "known", v.Known,
		"took", now.Sub(asked))
	c.wake()
	if j == nil {
		return
	}
	a := j.advice(j.task(t).step)
	if !v.Known {
		c.adviceNext = now.Add(advicePause)
		for _, id := range runners {
			delete(a.asked, id)
		}
		return
	}
	for _, id := range runners {
		r := c.runners[id]
		if value := v.Tickets[id]; value != "" && r != nil {
			a.tickets[id] = ticket{value: value, life: a.asked[id], until: asked.Add(v.Valid)}
		}
	}
}
