package member

import (
	"context"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/dial"
	"gypsumward/core/target"
)

// Runner calls runners; see package dial.
type Runner interface {
	Run(ctx context.Context, addr string, c target.Call) dial.Outcome
}

// Runners is a Runner that tells a State what the calls show of the runners.
type Runners struct {
	Next  Runner
	State *State
	Clock clockwork.Clock
}

// Run calls the runner at addr.
func (r Runners) Run(ctx context.Context, addr string, c target.Call) dial.Outcome {
	o := r.Next.Run(ctx, addr, c)
	now := r.Clock.Now()
	switch {
	case o.Unreached:
		r.State.Reached(r.State.At(addr), false, now)
	case o.Reply.Refused == target.RefusedLeaving:
		r.State.Refused(r.State.At(addr), now)
	case o.Err == "":
		r.State.Reached(r.State.At(addr), true, now)
	}
	return o
}

// Worker calls workers; see package dial.
type Worker interface {
	Start(ctx context.Context, addr string, m target.Start) (target.Started, api.Ran, error)
	Watch(ctx context.Context, addr string, m target.Watch) (target.Seen, api.Ran, error)
	Adopt(ctx context.Context, addr string, m target.Adopt) (target.Adopted, api.Ran, error)
	Stop(ctx context.Context, addr string, m target.Stop) (target.Adopted, api.Ran, error)
}

// Workers is a Worker that tells a State what the calls show of the workers.
type Workers struct {
	Worker
	State *State
	Clock clockwork.Clock
}

// Start starts tasks on the worker at addr.
func (w Workers) Start(ctx context.Context, addr string, m target.Start) (target.Started, api.Ran, error) {
	got, ran, err := w.Worker.Start(ctx, addr, m)
	w.note(addr, err)
	for _, mark := range got.Tasks {
		if mark.Phase == target.Refusal && mark.Reason == string(target.RefusedLeaving) {
			w.State.Refused(w.State.At(addr), w.Clock.Now())
			break
		}
	}
	return got, ran, err
}

// Watch waits for outcomes of the worker at addr.
func (w Workers) Watch(ctx context.Context, addr string, m target.Watch) (target.Seen, api.Ran, error) {
	got, ran, err := w.Worker.Watch(ctx, addr, m)
	w.note(addr, err)
	if got.Usage.Leaving {
		w.State.Refused(w.State.At(addr), w.Clock.Now())
	}
	return got, ran, err
}

// note tells whether a connection to the worker at addr could be made.
func (w Workers) note(addr string, err error) {
	if err == nil || dial.Unreached(err) {
		w.State.Reached(w.State.At(addr), err == nil, w.Clock.Now())
	}
}
