package resubmit_test

import (
	"context"
	"sync"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// Times of clients.
const (
	clientDeadline  = 1500 * time.Millisecond // for which a client waits for a response
	patientDeadline = 4 * time.Second         // the same for a client with a longer job
	answerMargin    = 40 * time.Millisecond   // by which an instance answers earlier
	answerSlack     = 20 * time.Millisecond   // for the answer after that
	maxAttempts     = 3
)

// clientHost is the host of the clients in the network.
const clientHost = "clients"

// call is one submission of a job by a client over a connection of its own.
type call struct {
	to      *instance
	once    sync.Once
	broken  chan struct{} // closed when the connection has broken
	answers chan cell.Outcome
}

// breakOff breaks the connection of the call.
func (c *call) breakOff() { c.once.Do(func() { close(c.broken) }) }

// client submits a job until a response says what became of it.
func (w *world) client(j work.Job, deadline time.Duration) {
	rejected := 0
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		to := w.choose()
		if to == nil {
			return
		}
		w.log("client", "event", "submit", "job", j.ID, "to", to.life, "attempt", attempt)
		o, answered := w.call(to, j, deadline)
		w.log("client", "event", "response", "job", j.ID, "from", to.life, "attempt", attempt, "answered", answered, "verdict", o.Verdict, "state", string(o.State), "reason", o.Reason)
		w.count(answered, o)
		if answered && o.Verdict == cell.Accepted {
			return
		}
		if answered && o.Verdict == cell.Refused {
			if rejected++; rejected == attempt {
				w.refused(j.ID)
			}
			return
		}
		time.Sleep(resubmitAfter)
	}
}

// call submits a job once and returns the outcome. Answered is false if there was no response.
func (w *world) call(to *instance, j work.Job, deadline time.Duration) (o cell.Outcome, answered bool) {
	c := &call{to: to, broken: make(chan struct{}), answers: make(chan cell.Outcome, 1)}
	w.addCall(c)
	defer w.removeCall(c)
	w.running.Go(func() { w.serve(c, j, deadline) })
	limit := time.NewTimer(deadline)
	defer limit.Stop()
	select {
	case o = <-c.answers:
		return o, true
	case <-c.broken:
	case <-limit.C:
		c.breakOff()
	}
	return cell.Outcome{}, false
}

// serve is what the instance does with a call.
func (w *world) serve(c *call, j work.Job, deadline time.Duration) {
	w.net.travel(clientHost, c.to.name, nil)
	if c.to.dead.Load() {
		c.breakOff()
		return
	}
	delay := c.to.delay()
	ctx, cancel := context.WithTimeout(context.Background(), deadline-answerMargin-delay)
	defer cancel()
	if isClosed(c.broken) && !w.currentFaults().uncheckedEdge {
		return
	}
	w.running.Go(func() {
		select {
		case <-c.broken:
			w.net.travel(clientHost, c.to.name, ctx.Done())
			w.log(c.to.life, "event", "clientgone", "job", j.ID)
			cancel()
		case <-ctx.Done():
		}
	})
	began := time.Now()
	o := c.to.submit(ctx, j)
	if took := time.Since(began); took > deadline-answerMargin+answerSlack && !c.to.dead.Load() {
		w.late(j.ID, took)
	}
	cancel()
	w.net.travel(c.to.name, clientHost, nil)
	if !c.to.dead.Load() && !isClosed(c.broken) {
		c.answers <- o
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
