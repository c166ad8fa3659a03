package cell

import (
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// Limits of requests to the adviser, which handles one at a time.
const (
	maxAdviceRunners = 30                     // maximum number of runners in a request
	adviceBackoff    = 50 * time.Millisecond  // wait after a request that was not answered
	ticketMargin     = 200 * time.Millisecond // unused last part of a ticket's validity
)

// Adviser decides which runners may run a step. The reply comes back as one
// AdviceReply that repeats the arguments.
type Adviser interface {
	Advise(t work.Task, runners []string)
}

// advice holds the requests and the tickets for a step, by runner.
type advice struct {
	askedIncarnations map[string]int64 // incarnations for which advice was requested
	tickets           map[string]ticket
}

// ticket permits one incarnation of a runner to run a step.
type ticket struct {
	value       string
	incarnation int64
	until       time.Time
}

// adviceFor returns the advice for a step and creates it if needed.
func (j *job) adviceFor(step int) *advice {
	if j.adviceByStep == nil {
		j.adviceByStep = map[int]*advice{}
	}
	a := j.adviceByStep[step]
	if a == nil {
		a = &advice{askedIncarnations: map[string]int64{}, tickets: map[string]ticket{}}
		j.adviceByStep[step] = a
	}
	return a
}

// ticketFor returns the ticket for a run on r. It is empty if the queue needs none.
func (j *job) ticketFor(step int, r *runner) string {
	if !j.Queue.RequiresAdvice {
		return ""
	}
	return j.adviceFor(step).tickets[r.ID].value
}

// isValid reports whether t is valid on r at now.
func (t ticket) isValid(r *runner, now time.Time) bool {
	return t.value != "" && t.incarnation == r.incarnation && now.Add(ticketMargin).Before(t.until)
}

// adviceAllows reports whether the queue of t needs no advice or r has a valid ticket.
func (t *task) adviceAllows(now time.Time, r *runner) bool {
	return !t.job.Queue.RequiresAdvice || t.job.adviceFor(t.step).tickets[r.ID].isValid(r, now)
}

// requestAdvice sends a request for a step, unless one is in flight or enough usable
// runners have valid tickets. Each incarnation of a runner is included in one request
// only, except to renew a ticket.
func (c *Cell) requestAdvice(now time.Time, j *job, step int, usable []*runner) {
	if !j.Queue.RequiresAdvice || c.Adviser == nil || c.adviceInFlight || now.Before(c.nextAdvice) {
		return
	}
	a := j.adviceFor(step)
	wanted := 0
	for _, t := range j.tasksOf(step) {
		if t.ready {
			wanted++
		}
	}
	var candidates []string
	for _, r := range usable {
		current := a.tickets[r.ID]
		if current.isValid(r, now) {
			wanted--
			continue
		}
		renewal := current.value != "" && current.incarnation == r.incarnation
		if r.Service == j.Queue.Service && len(candidates) < maxAdviceRunners && (renewal || a.askedIncarnations[r.ID] != r.incarnation || r.incarnation == 0) {
			candidates = append(candidates, r.ID)
		}
	}
	if wanted <= 0 || len(candidates) == 0 {
		return
	}
	for _, id := range candidates {
		a.askedIncarnations[id] = c.runners[id].incarnation
	}
	c.adviceInFlight = true
	c.Metrics.Count("advice", 1)
	c.Adviser.Advise(j.tasksOf(step)[0].id(), candidates)
}

// AdviceAnswered processes the adviser's reply v to a request for the step of t, sent at
// asked for the given runners.
func (c *Cell) AdviceAnswered(now, asked time.Time, t work.Task, runners []string, v order.Advice) {
	c.adviceInFlight = false
	if c.deposed {
		return
	}
	j := c.jobs[t.Job]
	c.log("event", "advice", "job", t.Job, "step", t.Step, "asked", len(runners), "good", len(v.Tickets), "known", v.Replied,
		"took", now.Sub(asked))
	c.schedulePass()
	if j == nil {
		return
	}
	if !v.Replied {
		c.nextAdvice = now.Add(adviceBackoff)
	}
	step := j.stepOf(t)
	if step < 0 || j.tasksOf(step) == nil {
		return // the occurrence has ended meanwhile
	}
	a := j.adviceFor(step)
	if !v.Replied {
		for _, id := range runners {
			delete(a.askedIncarnations, id)
		}
		return
	}
	for _, id := range runners {
		r := c.runners[id]
		if value := v.Tickets[id]; value != "" && r != nil {
			a.tickets[id] = ticket{value: value, incarnation: a.askedIncarnations[id], until: asked.Add(v.ValidFor)}
		}
	}
}
