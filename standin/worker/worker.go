package worker

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/target"
	"gypsumward/standin/fault"
	"gypsumward/standin/live"
	"gypsumward/standin/record"
	"gypsumward/standin/serve"
)

// idleInterval is the longest time between two advances of the pool.
const idleInterval = time.Second

// Worker is a stand-in for a worker. Create it with New.
type Worker struct {
	Faults fault.Set  // injected faults
	Starts record.Log // record of started tasks

	clock   clockwork.Clock
	mu      sync.Mutex
	pool    Pool
	changed chan struct{} // closed and replaced at each change
	wake    chan struct{} // signals the timer that the next end may be earlier
}

// New returns a worker with the settings s.
func New(s Settings, clock clockwork.Clock) *Worker {
	return &Worker{
		clock:   clock,
		pool:    Pool{Settings: s},
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Run serves until ctx is done or the process receives SIGTERM or an interrupt.
func (w *Worker) Run(ctx context.Context) error {
	s := serve.New(w.pool.Settings.Addr, &w.Faults)
	serve.HandlePost(s, "/start", w.start)
	serve.HandlePost(s, "/watch", w.watch)
	serve.HandlePost(s, "/adopt", func(_ context.Context, a target.Adopt) (target.TaskStates, error) {
		return w.update(func(now time.Time) target.TaskStates { return w.pool.Adopt(now, a) })
	})
	for path, f := range map[string]func(time.Time, []string) target.TaskStates{
		"/stop": w.pool.Stop, "/throttle": w.pool.Throttle, "/checkpoint": w.pool.Checkpoint,
	} {
		serve.HandlePost(s, path, func(_ context.Context, stop target.TaskIDs) (target.TaskStates, error) {
			return w.update(func(now time.Time) target.TaskStates { return f(now, stop.IDs) })
		})
	}
	serve.HandleGet(s, "/record", func(context.Context) record.List { return w.Starts.List() })
	serve.HandleGet(s, "/health", func(context.Context) live.Health {
		return live.Health{Leaving: w.Faults.IsOn(fault.Leaving)}
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.runTimer(ctx)
	return errors.Trace(s.Run(ctx))
}

// runTimer advances the pool whenever a task is due to end, until ctx is done.
func (w *Worker) runTimer(ctx context.Context) {
	for {
		timer := w.clock.NewTimer(w.advance())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// advance advances the pool to the current time and returns the time until the
// next end, at most idleInterval.
func (w *Worker) advance() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.pool.lastOutcome
	now := w.clock.Now()
	next := w.pool.Advance(now)
	if w.pool.lastOutcome != before {
		w.notifyWatchers()
	}
	if next.IsZero() {
		return idleInterval
	}
	return min(idleInterval, next.Sub(now))
}

// notifyWatchers wakes all pending watches. The caller holds the mutex.
func (w *Worker) notifyWatchers() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// update applies f to the pool at the current time and returns the states of the
// tasks concerned.
func (w *Worker) update(f func(now time.Time) target.TaskStates) (target.TaskStates, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	adopted := f(w.clock.Now())
	w.corruptIDs(adopted.Tasks)
	w.notifyChange()
	return adopted, nil
}

// notifyChange wakes all pending watches and the timer. The caller holds the
// mutex.
func (w *Worker) notifyChange() {
	w.notifyWatchers()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// start starts and records the tasks of s, or refuses all of them while the
// worker is leaving.
func (w *Worker) start(_ context.Context, s target.Start) (target.Started, error) {
	if w.Faults.IsOn(fault.Leaving) {
		return refuseAll(s), nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range s.Tasks {
		w.Starts.Add(t.ID, t.Kind)
	}
	started := w.pool.Start(w.clock.Now(), s, w.Faults.ShouldFail)
	w.corruptIDs(started.Tasks)
	w.notifyChange()
	return started, nil
}

// refuseAll returns a response that refuses all tasks of s.
func refuseAll(s target.Start) target.Started {
	started := target.Started{Tasks: make([]target.TaskState, len(s.Tasks))}
	for i, t := range s.Tasks {
		started.Tasks[i] = target.TaskState{ID: t.ID, Phase: target.NotStarted, Reason: string(target.RefusedLeaving)}
	}
	return started
}

// watch returns when there are outcomes that the holder has not seen, or when the
// wait is over or ctx is done.
func (w *Worker) watch(ctx context.Context, q target.Watch) (target.Outcomes, error) {
	timer := w.clock.NewTimer(q.Wait.Duration())
	defer timer.Stop()
	for over := q.Wait <= 0; ; {
		seen, changed := w.poll(q)
		if over || len(seen.Tasks) > 0 {
			return seen, nil
		}
		select {
		case <-ctx.Done():
			return seen, nil
		case <-timer.Chan():
			over = true
		case <-changed:
		}
	}
}

// poll renews the holder's leases and returns its unseen outcomes, and a channel
// that is closed at the next change of the pool.
func (w *Worker) poll(q target.Watch) (target.Outcomes, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.pool.Renew(now, q.Holder, q.After)
	seen := w.pool.Outcomes(now, q.Holder, q.After)
	seen.Usage.Leaving = w.Faults.IsOn(fault.Leaving)
	w.corruptIDs(seen.Tasks)
	return seen, w.changed
}

// corruptIDs changes the ids of states to wrong ones while the fault Mixup is on.
func (w *Worker) corruptIDs(states []target.TaskState) {
	if !w.Faults.IsOn(fault.Mixup) {
		return
	}
	for i := range states {
		states[i].ID += "x"
	}
}
