package resubmit_test

import (
	"context"
	"time"

	"gypsumward/core/order"
)

// orders sends the orders of an instance to the runners. It implements eventloop.Runners.
type orders struct{ from *instance }

func (o orders) Start(ctx context.Context, to order.Target, s order.Start) order.Reply {
	return exchange(ctx, o.from, to.ID, false, func(r *runner) (order.Reply, <-chan struct{}) { return r.start(o.from.life, s), nil }, nil)
}

func (o orders) Stop(ctx context.Context, to order.Target, s order.Stop) order.Reply {
	return exchange(ctx, o.from, to.ID, true, func(r *runner) (order.Reply, <-chan struct{}) { return r.stop(o.from.life, s), nil }, nil)
}

func (o orders) Hold(ctx context.Context, to order.Target, h order.Hold) order.HoldReply {
	return exchange(ctx, o.from, to.ID, false,
		func(r *runner) (order.HoldReply, <-chan struct{}) {
			reply, until := r.hold(h)
			if until == nil {
				return reply, nil
			}
			ended := make(chan struct{})
			go func() {
				t := time.NewTimer(h.Wait)
				select {
				case <-until:
				case <-t.C:
				}
				t.Stop()
				close(ended)
			}()
			return reply, ended
		},
		func(r *runner) order.HoldReply { return r.list(h.Token) })
}

// exchange sends an order to a runner, which processes it by do, and returns the reply; the zero
// value if none arrives before ctx ends. If do returns a channel, the reply is what later returns
// once it is closed. The runner may process the order after ctx has ended.
func exchange[T any](ctx context.Context, from *instance, id string, stops bool, do func(*runner) (T, <-chan struct{}), later func(*runner) T) T {
	w := from.world
	var none T
	f := w.orderFaults(id)
	if from.dead.Load() || f.lost || (stops && f.lostStop) {
		<-ctx.Done()
		return none
	}
	replies := make(chan T, 1)
	w.running.Go(func() {
		var reply T
		var ended <-chan struct{}
		w.mu.Lock()
		r := w.runners[id]
		born := r.incarnation
		w.mu.Unlock()
		if f.late > 0 {
			time.Sleep(f.late)
		}
		w.net.travel(from.name, id, nil)
		w.mu.Lock()
		if r.down || (f.late > 0 && r.incarnation != born && !w.faults.acrossRestart) {
			w.mu.Unlock()
			if !f.lostReply {
				replies <- none
			}
			return
		}
		reply, ended = do(r)
		born = r.incarnation
		w.mu.Unlock()
		if ended != nil {
			<-ended
			w.mu.Lock()
			gone := r.down || r.incarnation != born
			reply = later(r)
			w.mu.Unlock()
			if gone {
				reply = none
			}
		}
		w.net.travel(id, from.name, nil)
		if !f.lostReply && f.late == 0 {
			replies <- reply
		}
	})
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return none
	}
}
