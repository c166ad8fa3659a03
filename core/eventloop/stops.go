package eventloop

import (
	"context"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// maxStopsPerRunner bounds the stop orders to one runner that have no reply. Without a bound, the end of a
// job with many tasks takes a connection and a goroutine for each.
const maxStopsPerRunner = 16

// stopQueue holds the stop orders that wait for replies to others of the same runner, in order. The zero
// value is empty. It belongs to the goroutine of the loop.
type stopQueue struct {
	runners map[string]*runnerStops
}

// runnerStops holds the stop orders to one runner.
type runnerStops struct {
	inFlight int
	waiting  []waitingStop
	queued   map[stopKey]bool // those in waiting
}

// waitingStop is an order that has not been sent yet.
type waitingStop struct {
	to   order.Target
	stop order.Stop
}

// stopKey identifies the run that an order stops.
type stopKey struct {
	task work.Task
	run  int
}

// add reports whether an order is to be sent at once. Otherwise it waits, unless another one for the same
// run does already.
func (q *stopQueue) add(to order.Target, s order.Stop) bool {
	r := q.runners[to.ID]
	if r == nil {
		if q.runners == nil {
			q.runners = map[string]*runnerStops{}
		}
		r = &runnerStops{queued: map[stopKey]bool{}}
		q.runners[to.ID] = r
	}
	if r.inFlight < maxStopsPerRunner {
		r.inFlight++
		return true
	}
	if key := (stopKey{s.Task, s.Run}); !r.queued[key] {
		r.queued[key] = true
		r.waiting = append(r.waiting, waitingStop{to, s})
	}
	return false
}

// next records the reply to an order to a runner, and returns the order that is to be sent next. Ok is
// false if none waits.
func (q *stopQueue) next(runner string) (next waitingStop, ok bool) {
	r := q.runners[runner]
	if len(r.waiting) == 0 {
		r.inFlight--
		if r.inFlight == 0 {
			delete(q.runners, runner)
		}
		return waitingStop{}, false
	}
	next, r.waiting = r.waiting[0], r.waiting[1:]
	delete(r.queued, stopKey{next.stop.Task, next.stop.Run})
	return next, true
}

// sendStop sends a stop order.
func (l *Loop) sendStop(to order.Target, s order.Stop) {
	l.callAsync(orderTimeout, func(ctx context.Context) cell.Message {
		return stopDone{l, cell.StopReply{Runner: to.ID, Order: s, Reply: l.Runners.Stop(ctx, to, s)}}
	})
}

// stopDone is the reply to a stop order, after which the next one may be sent.
type stopDone struct {
	l     *Loop
	reply cell.StopReply
}

// Apply processes the reply.
func (m stopDone) Apply(c *cell.Cell, now time.Time) {
	m.reply.Apply(c, now)
	if next, ok := m.l.stops.next(m.reply.Runner); ok {
		m.l.sendStop(next.to, next.stop)
	}
}
