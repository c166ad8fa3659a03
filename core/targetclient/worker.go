package targetclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/target"
	"gypsumward/core/targetclient/once"
)

// ErrMismatch is the error of a response that is not a valid reply to the message
// sent.
const ErrMismatch = errors.ConstError("answer does not fit the message")

// IsUnreachable reports whether err means that no connection could be established.
func IsUnreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Worker is a client of workers. The zero value is ready for use. A Worker is safe
// for concurrent use and must not be copied after the first call.
//
// Each method returns RanYes with a complete and valid reply, RanNot if no byte of
// the message can have reached the worker, and RanUnknown otherwise. The error is
// nil only with RanYes.
type Worker struct {
	Conns       int           // maximum connections to one worker; zero means DefaultWorkerConns
	MaxBytes    int64         // maximum bytes of one reply; zero means DefaultWorkerMaxBytes
	DialTimeout time.Duration // time limit to connect; zero means once.DefaultDialTimeout

	initOnce sync.Once
	client   *once.Client
}

// Start starts tasks. With RanUnknown any of them may have been started. With RanYes
// the phase of each returned state shows whether the task was started.
func (w *Worker) Start(ctx context.Context, addr string, m target.Start) (target.Started, api.RunStatus, error) {
	ids := make([]string, len(m.Tasks))
	for i, task := range m.Tasks {
		ids[i] = task.ID
	}
	return call(ctx, w, addr+"/start", m, func(got target.Started) bool {
		return matchIDs(ids, got.Tasks)
	})
}

// Watch waits for outcomes of the holder's tasks and renews their leases. The
// deadline of ctx must allow for m.Wait and the round trip.
func (w *Worker) Watch(ctx context.Context, addr string, m target.Watch) (target.Outcomes, api.RunStatus, error) {
	return call(ctx, w, addr+"/watch", m, func(got target.Outcomes) bool {
		return got.Next >= m.After && phasesKnown(got.Tasks)
	})
}

// Adopt transfers tasks to another holder.
func (w *Worker) Adopt(ctx context.Context, addr string, m target.Adopt) (target.TaskStates, api.RunStatus, error) {
	return callStates(ctx, w, addr+"/adopt", m, m.IDs)
}

// Stop stops tasks.
func (w *Worker) Stop(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, api.RunStatus, error) {
	return callStates(ctx, w, addr+"/stop", m, m.IDs)
}

// Throttle reduces tasks to half speed.
func (w *Worker) Throttle(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, api.RunStatus, error) {
	return callStates(ctx, w, addr+"/throttle", m, m.IDs)
}

// Checkpoint saves the progress of tasks.
func (w *Worker) Checkpoint(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, api.RunStatus, error) {
	return callStates(ctx, w, addr+"/checkpoint", m, m.IDs)
}

// Close closes idle connections.
func (w *Worker) Close() {
	w.initOnce.Do(w.initClient)
	w.client.Close()
}

// initClient creates the HTTP client from the settings.
func (w *Worker) initClient() {
	s := once.Settings{Conns: w.Conns, MaxBytes: w.MaxBytes, DialTimeout: w.DialTimeout}
	if s.Conns == 0 {
		s.Conns = DefaultWorkerConns
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = DefaultWorkerMaxBytes
	}
	w.client = once.New(s)
}

// callStates sends m, which is about the tasks with the given ids, to path. The reply
// is valid if it has one state for each id, in the order of the ids.
func callStates(ctx context.Context, w *Worker, path string, m any, ids []string) (target.TaskStates, api.RunStatus, error) {
	return call(ctx, w, path, m, func(got target.TaskStates) bool {
		return matchIDs(ids, got.Tasks)
	})
}

// call sends m to path, which starts with the address of the worker, and returns the
// reply if it is valid. If the reply is malformed or not valid, the connection is
// closed, since later replies on it may belong to other messages.
func call[T any](ctx context.Context, w *Worker, path string, m any, valid func(T) bool) (T, api.RunStatus, error) {
	var zero, reply T
	w.initOnce.Do(w.initClient)
	body, err := json.Marshal(m)
	if err != nil {
		return zero, api.RanNot, errors.Trace(err)
	}
	response := w.client.Send(ctx, http.MethodPost, "http://"+path, body)
	if response.Err != nil {
		return zero, ranWithoutResponse(response), errors.Annotatef(response.Err, "worker %s", path)
	}
	if response.Status != http.StatusOK {
		return zero, api.RanUnknown, errors.Annotatef(ErrMismatch, "worker %s: status %d", path, response.Status)
	}
	if err := json.Unmarshal(response.Body, &reply); err != nil {
		response.CloseConns()
		return zero, api.RanUnknown, errors.Annotatef(ErrMismatch, "worker %s: %v", path, err)
	}
	if !valid(reply) {
		response.CloseConns()
		return zero, api.RanUnknown, errors.Annotatef(ErrMismatch, "worker %s: of another message", path)
	}
	return reply, api.RanYes, nil
}

// matchIDs reports whether states has one state of a known phase for each id, in the
// order of the ids.
func matchIDs(ids []string, states []target.TaskState) bool {
	if len(ids) != len(states) {
		return false
	}
	for i, state := range states {
		if state.ID != ids[i] {
			return false
		}
	}
	return phasesKnown(states)
}

// phasesKnown reports whether the phases of all states are known.
func phasesKnown(states []target.TaskState) bool {
	for _, state := range states {
		switch state.Phase {
		case target.Running, target.Done, target.Failed, target.Stopped, target.NotStarted, target.Unknown:
		default:
			return false
		}
	}
	return true
}
