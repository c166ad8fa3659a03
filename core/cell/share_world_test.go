package cell_test

import (
	"fmt"
	"hash/fnv"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

const (
	simTicket = 800 * time.Millisecond // for which a ticket holds
	simDecide = 20 * time.Millisecond  // of the adviser
	simHarm   = 500 * time.Millisecond // for which a serving task may be disturbed
)

// mayRun is the policy of the simulated adviser.
func mayRun(t work.Task, runner string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, t.Job, t.Step, runner)
	return h.Sum32()%3 == 0
}

// Advise answers one question.
func (p *port) Advise(t work.Task, runners []string) {
	w := p.world
	asked := w.now
	w.asking++
	if w.asking > 1 {
		w.breaks("two questions to the adviser at once")
	}
	w.after(simDecide+time.Duration(len(runners))*time.Millisecond, func() {
		w.asking--
		v := order.Advice{Known: !w.chance(w.faults.lost), Tickets: map[string]string{}, Valid: simTicket}
		for _, id := range runners {
			if mayRun(t, id) {
				v.Tickets[id] = fmt.Sprintf("%s/%d/%d", id, w.runners[id].life, w.now.Add(simTicket).UnixNano())
			}
		}
		p.tell(func() { p.cell.AdviceAnswered(w.now, asked, t, runners, v) })
	})
}

// ticketHolds reports whether a start has the ticket that it needs.
func (w *world) ticketHolds(s order.Start, r *simRunner) bool {
	j := w.asked[s.Task.Job]
	if j == nil || !j.Queue.Advised {
		return true
	}
	var id string
	var life int
	var until int64
	for i := range s.Ticket {
		if s.Ticket[i] == '/' {
			id = s.Ticket[:i]
			_, _ = fmt.Sscanf(s.Ticket[i:], "/%d/%d", &life, &until)
			break
		}
	}
	return id == r.id && life == r.life && w.now.UnixNano() < until && mayRun(s.Task, r.id)
}

// watchHarm records a serving task beside which tasks that fill work for long.
func (r *simRunner) watchHarm(t work.Task, x *simRun) {
	life, since := r.life, r.world.now
	var check func()
	check = func() {
		if r.life != life || r.runs[t] != x || r.dead {
			return
		}
		disturbed := false
		for other := range r.runs {
			disturbed = disturbed || r.world.asked[other.Job].Steps[other.Step].Fills
		}
		if !disturbed {
			since = r.world.now
		}
		if r.world.now.Sub(since) > simHarm {
			r.world.breaks("HARM %v on %s", t, r.id)
			return
		}
		r.world.after(50*time.Millisecond, check)
	}
	check()
}
