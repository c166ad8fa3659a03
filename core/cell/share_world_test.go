package cell_test

import (
	"fmt"
	"hash/fnv"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

const (
	simTicketValidity = 800 * time.Millisecond // how long a ticket is valid
	simAdviceDelay    = 20 * time.Millisecond  // time the adviser takes to answer, plus 1 ms a runner
	maxDisturbance    = 500 * time.Millisecond // how long opportunistic tasks may run beside a serving task
)

// adviserAllows reports whether the simulated adviser allows a runner for the step of a
// task. It allows about a third of the runners.
func adviserAllows(t work.Task, runner string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, t.Job, t.Step, runner)
	return h.Sum32()%3 == 0
}

// Advise answers a question about the runners on which t may run. Only one question may
// be unanswered at a time.
func (p *process) Advise(t work.Task, runners []string) {
	w := p.world
	askedAt := w.now
	for _, id := range runners {
		if r := w.runners[id]; r != nil && p.toldEvacuated[r.zone] {
			w.recordViolation("EVACUATED %s: advice for %v", id, t)
		}
	}
	w.openQuestions++
	if w.openQuestions > 1 {
		w.recordViolation("more than one unanswered question to the adviser")
	}
	w.after(simAdviceDelay+time.Duration(len(runners))*time.Millisecond, func() {
		w.openQuestions--
		v := order.Advice{Replied: !w.chance(w.faults.lostReply), Tickets: map[string]string{}, ValidFor: simTicketValidity}
		for _, id := range runners {
			if adviserAllows(t, id) {
				v.Tickets[id] = fmt.Sprintf("%s/%d/%d", id, w.runners[id].incarnation, w.now.Add(simTicketValidity).UnixNano())
			}
		}
		p.exec(func() { p.cell.AdviceAnswered(w.now, askedAt, t, runners, v) })
	})
}

// ticketValid reports whether a start order has a valid ticket for r, or needs none.
func (w *world) ticketValid(s order.Start, r *simRunner) bool {
	j := w.submitted[s.Task.Job]
	if j == nil || !j.Queue.RequiresAdvice {
		return true
	}
	var id string
	var incarnation int
	var validUntil int64
	for i := range s.Ticket {
		if s.Ticket[i] == '/' {
			id = s.Ticket[:i]
			_, _ = fmt.Sscanf(s.Ticket[i:], "/%d/%d", &incarnation, &validUntil)
			break
		}
	}
	return id == r.id && incarnation == r.incarnation && w.now.UnixNano() < validUntil && adviserAllows(s.Task, r.id)
}

// watchDisturbance checks every 50 ms whether opportunistic tasks run beside a serving
// task, and records a violation if they do for longer than maxDisturbance.
func (r *simRunner) watchDisturbance(t work.Task, x *simRun) {
	incarnation, since := r.incarnation, r.world.now
	var check func()
	check = func() {
		if r.incarnation != incarnation || r.runs[t] != x || r.dead {
			return
		}
		disturbed := false
		for other := range r.runs {
			disturbed = disturbed || r.world.submitted[other.Job].Steps[other.Step].Opportunistic
		}
		if !disturbed {
			since = r.world.now
		}
		if r.world.now.Sub(since) > maxDisturbance {
			r.world.recordViolation("HARM %v on %s", t, r.id)
			return
		}
		r.world.after(50*time.Millisecond, check)
	}
	check()
}
