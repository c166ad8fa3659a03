package instrument

import (
	"context"

	"gypsumward/core/api"
	"gypsumward/core/member"
	"gypsumward/core/meter"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// Runners is a member.Runner that counts the calls of Next. A call counts as useful if
// the work ran and gave a result.
type Runners struct {
	Next  member.Runner
	Meter *meter.Recorder
}

// Run calls the runner at addr.
func (r Runners) Run(ctx context.Context, addr string, c target.Call) targetclient.Outcome {
	outcome := r.Next.Run(ctx, addr, c)
	r.Meter.CountMessages(meter.Run, outcome.Err == "" && outcome.Ran == api.RanYes, 1)
	return outcome
}

// Workers is a member.Worker that counts the calls of Next. A call counts as useful if it
// was answered.
type Workers struct {
	Next  member.Worker
	Meter *meter.Recorder
}

// Start starts tasks on the worker at addr.
func (w Workers) Start(ctx context.Context, addr string, m target.Start) (target.Started, api.RunStatus, error) {
	started, ran, err := w.Next.Start(ctx, addr, m)
	w.Meter.CountMessages(meter.Start, err == nil, 1)
	return started, ran, err
}

// Watch waits for outcomes of tasks on the worker at addr.
func (w Workers) Watch(ctx context.Context, addr string, m target.Watch) (target.Outcomes, api.RunStatus, error) {
	seen, ran, err := w.Next.Watch(ctx, addr, m)
	w.Meter.CountMessages(meter.Watch, err == nil, 1)
	return seen, ran, err
}

// Adopt makes the holder that m names the holder of tasks on the worker at addr.
func (w Workers) Adopt(ctx context.Context, addr string, m target.Adopt) (target.TaskStates, api.RunStatus, error) {
	adopted, ran, err := w.Next.Adopt(ctx, addr, m)
	w.Meter.CountMessages(meter.Adopt, err == nil, 1)
	return adopted, ran, err
}

// Stop stops tasks on the worker at addr.
func (w Workers) Stop(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, api.RunStatus, error) {
	stopped, ran, err := w.Next.Stop(ctx, addr, m)
	w.Meter.CountMessages(meter.Stop, err == nil, 1)
	return stopped, ran, err
}

// Gossip is a member.Transport that counts the exchanges of Next. An exchange counts as
// useful if it was answered.
type Gossip struct {
	Next  member.Transport
	Meter *meter.Recorder
}

// Exchange sends m to the peer at addr and returns its reply.
func (g Gossip) Exchange(ctx context.Context, addr string, m member.Message) (member.Message, error) {
	reply, err := g.Next.Exchange(ctx, addr, m)
	g.Meter.CountMessages(meter.Gossip, err == nil, 1)
	return reply, err
}
