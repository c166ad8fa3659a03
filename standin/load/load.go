package load

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/standin/arrival"
	"gypsumward/standin/outcome"
	"gypsumward/standin/tally"
)

// Sender sends one arrival and returns its outcome, with all fields set except
// Latency, Overhead and Lateness. It must be safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, a arrival.Arrival) outcome.Outcome
}

// Generator sends one sequence of arrivals.
type Generator struct {
	Arrivals []arrival.Arrival // in the order of At
	Sender   Sender            // destination of the arrivals
	Clock    clockwork.Clock   // clock for sending and for latencies
	Log      io.Writer         // receives each outcome as a line of JSON; nil for none

	mu    sync.Mutex
	tally *tally.Tally
}

// Run sends all arrivals, waits for their outcomes and returns the report. It
// stops sending when ctx is done.
func (g *Generator) Run(ctx context.Context) tally.Report {
	g.tally = tally.New()
	begin := g.Clock.Now()
	var wg sync.WaitGroup
	for _, a := range g.Arrivals {
		due := begin.Add(a.At)
		if !g.waitUntil(ctx, due) {
			break
		}
		wg.Go(func() { g.send(ctx, a, due) })
	}
	wg.Wait()
	return g.tally.Report(g.Clock.Since(begin))
}

// waitUntil waits until due. It returns false if ctx is done.
func (g *Generator) waitUntil(ctx context.Context, due time.Time) bool {
	if d := due.Sub(g.Clock.Now()); d > 0 {
		select {
		case <-ctx.Done():
		case <-g.Clock.After(d):
		}
	}
	return ctx.Err() == nil
}

// send sends one arrival and counts and logs its outcome. Times are measured from
// due, so that delays in sending count as latency.
func (g *Generator) send(ctx context.Context, a arrival.Arrival, due time.Time) {
	g.tally.RecordSendDelay(g.Clock.Since(due))
	o := g.Sender.Send(ctx, a)
	o.Latency = g.Clock.Since(due)
	o.Overhead = o.Latency - a.RunTime
	o.Lateness = max(0, o.Latency-a.Deadline)
	g.tally.Add(o)
	if g.Log != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		_ = json.NewEncoder(g.Log).Encode(o)
	}
}
