package member

import (
	"context"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// Runner executes calls on runners. Package targetclient implements it.
type Runner interface {
	Run(ctx context.Context, addr string, c target.Call) targetclient.Outcome
}

// ObservedRunners is a Runner that records in a State whether runners were reachable and
// whether they refused work because they are leaving. All fields must be set.
type ObservedRunners struct {
	Next  Runner
	State *State
	Clock clockwork.Clock
}

// Run calls the runner at addr by means of Next and records what the outcome
// shows.
func (r ObservedRunners) Run(ctx context.Context, addr string, c target.Call) targetclient.Outcome {
	o := r.Next.Run(ctx, addr, c)
	now := r.Clock.Now()
	switch {
	case o.Unreachable:
		r.State.RecordConnection(r.State.TargetAt(addr), false, now)
	case o.Reply.Refused == target.RefusedLeaving:
		r.State.RecordRefusal(r.State.TargetAt(addr), now)
	case o.Err == "":
		r.State.RecordConnection(r.State.TargetAt(addr), true, now)
	}
	return o
}

// Worker executes calls on workers. Package targetclient implements it.
type Worker interface {
	Start(ctx context.Context, addr string, m target.Start) (target.Started, api.RunStatus, error)
	Watch(ctx context.Context, addr string, m target.Watch) (target.Outcomes, api.RunStatus, error)
	Adopt(ctx context.Context, addr string, m target.Adopt) (target.TaskStates, api.RunStatus, error)
	Stop(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, api.RunStatus, error)
}

// ObservedWorkers is a Worker that records in a State whether workers were reachable and
// whether they are leaving. All fields must be set.
type ObservedWorkers struct {
	Worker
	State *State
	Clock clockwork.Clock
}

// Start starts tasks on the worker at addr. It records the worker as leaving if
// the worker refused a task for this reason.
func (w ObservedWorkers) Start(ctx context.Context, addr string, m target.Start) (target.Started, api.RunStatus, error) {
	got, ran, err := w.Worker.Start(ctx, addr, m)
	w.recordConnection(addr, err)
	for _, state := range got.Tasks {
		if state.Phase == target.NotStarted && state.Reason == string(target.RefusedLeaving) {
			w.State.RecordRefusal(w.State.TargetAt(addr), w.Clock.Now())
			break
		}
	}
	return got, ran, err
}

// Watch waits for outcomes of tasks on the worker at addr. It records the worker as
// leaving if the worker reports so.
func (w ObservedWorkers) Watch(ctx context.Context, addr string, m target.Watch) (target.Outcomes, api.RunStatus, error) {
	got, ran, err := w.Worker.Watch(ctx, addr, m)
	w.recordConnection(addr, err)
	if got.Usage.Leaving {
		w.State.RecordRefusal(w.State.TargetAt(addr), w.Clock.Now())
	}
	return got, ran, err
}

// recordConnection records whether a connection to the worker at addr could be
// made. Errors after the connection was made are ignored.
func (w ObservedWorkers) recordConnection(addr string, err error) {
	if err == nil || targetclient.IsUnreachable(err) {
		w.State.RecordConnection(w.State.TargetAt(addr), err == nil, w.Clock.Now())
	}
}
