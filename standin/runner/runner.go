package runner

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/standin/fault"
	"gypsumward/standin/kind"
	"gypsumward/standin/live"
	"gypsumward/standin/record"
	"gypsumward/standin/serve"
)

// Settings holds the settings of a runner.
type Settings struct {
	Addr  string      // IP address and port to listen on
	Slots int         // calls that run at once
	Conns int         // connections that are served at once
	Times *kind.Times // run times of calls
}

// Default holds the default settings, except that Times is nil.
var Default = Settings{Addr: "127.0.0.1:0", Slots: 8, Conns: 60}

// Runner is a stand-in for a runner. Create it with New.
type Runner struct {
	Faults fault.Set  // injected faults
	Starts record.Log // record of started calls

	settings  Settings
	clock     clockwork.Clock
	mu        sync.Mutex
	usedSlots int          // slots in use
	conns     atomic.Int64 // open connections
}

// New returns a runner with the settings s.
func New(s Settings, clock clockwork.Clock) *Runner {
	return &Runner{settings: s, clock: clock}
}

// overLimit is the context key of a bool that reports whether a connection was
// opened beyond the limit.
type overLimit struct{}

// Run serves until ctx is done or the process receives SIGTERM or an interrupt.
func (r *Runner) Run(ctx context.Context) error {
	s := serve.New(r.settings.Addr, &r.Faults)
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, overLimit{}, r.conns.Add(1) > int64(r.settings.Conns))
	}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			r.conns.Add(-1)
		}
	}
	s.Route("/").POST("/run", r.handleRun)
	serve.HandleGet(s, "/record", func(context.Context) record.List { return r.Starts.List() })
	serve.HandleGet(s, "/health", func(context.Context) live.Health {
		return live.Health{Leaving: r.Faults.IsOn(fault.Leaving)}
	})
	return errors.Trace(s.Run(ctx))
}

// handleRun handles POST /run. Calls on connections beyond the limit are refused.
func (r *Runner) handleRun(c khttp.Context) error {
	var call target.Call
	if err := json.NewDecoder(c.Request().Body).Decode(&call); err != nil {
		http.Error(c.Response(), err.Error(), http.StatusBadRequest)
		return nil
	}
	tooManyConns, _ := c.Request().Context().Value(overLimit{}).(bool)
	reply := target.Reply{ID: call.ID, Refused: target.RefusedFull}
	if !tooManyConns {
		reply = r.Call(call)
	}
	status := http.StatusOK
	if reply.Refused != "" {
		status = http.StatusServiceUnavailable
	}
	if r.Faults.IsOn(fault.Mixup) {
		reply.ID += "x"
	}
	return c.JSON(status, reply)
}

// Call executes a call in a slot and returns its reply, or refuses it without
// starting it. Call blocks for the run time.
func (r *Runner) Call(call target.Call) target.Reply {
	if refused := r.acquireSlot(call); refused != "" {
		return target.Reply{ID: call.ID, Refused: refused}
	}
	defer r.releaseSlot()
	r.Starts.Add(call.ID, call.Kind)
	if r.Faults.ShouldFail(call.Kind) {
		return target.Reply{ID: call.ID, Error: "the runner fails"}
	}
	in := kind.ParseInput(call.Input)
	runTime := r.settings.Times.RunTime(call.Kind, call.ID, in)
	r.clock.Sleep(runTime)
	reply := target.Reply{ID: call.ID, RunTime: span.Of(runTime.Round(time.Microsecond))}
	if in.Fail {
		reply.Error = "the input asks to fail"
		return reply
	}
	reply.Output = kind.NewOutput(call.Kind, call.Input)
	return reply
}

// acquireSlot takes a slot for the call and returns an empty reason, or returns
// why the call is refused.
func (r *Runner) acquireSlot(call target.Call) target.Refused {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.Faults.IsOn(fault.Leaving):
		return target.RefusedLeaving
	case call.TimeLeft <= 0:
		return target.RefusedLate
	case r.usedSlots >= r.settings.Slots:
		return target.RefusedFull
	}
	r.usedSlots++
	return ""
}

// releaseSlot returns a slot taken by acquireSlot.
func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedSlots--
}
