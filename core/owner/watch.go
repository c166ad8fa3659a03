package owner

import (
	"syscall"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/detach"
	"gypsumward/core/event"
	"gypsumward/core/place"
	"gypsumward/core/span"
	"gypsumward/core/target"
)

const watchRetryDelay = 50 * time.Millisecond // delay of a watch call per failed one before it; at most Settings.MaxWatch

// watch starts a watch call to w if w has tasks and no such call is in flight.
func (o *Owner) watch(w *worker) {
	if w.isWatching || w.taskCount() == 0 {
		return
	}
	w.isWatching = true
	delay := min(time.Duration(w.watchFailures)*watchRetryDelay, o.Settings.MaxWatch)
	m := target.Watch{Holder: o.ID, After: w.watchAfter, Wait: span.Of(o.Settings.MaxWatch)}
	go o.watchOnce(w.id, w.addr, m, delay)
}

// watchOnce makes one watch call after delay.
func (o *Owner) watchOnce(id, addr string, m target.Watch, delay time.Duration) {
	if delay > 0 {
		select {
		case <-o.Clock.After(delay):
		case <-o.closed:
			return
		}
	}
	ctx, cancel := detach.WithTimeout(o.Clock, o.Settings.MaxWatch+o.Settings.CallTimeout)
	defer cancel()
	got, _, err := o.Workers.Watch(ctx, addr, m)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	o.post(watched{worker: id, seen: got, failed: err != nil, refused: refused})
}

// watched reports the response to a watch call, or its failure.
type watched struct {
	worker  string
	seen    target.Outcomes
	failed  bool
	refused bool // nothing listens at the worker's address
}

func (m watched) apply(o *Owner) {
	w := o.workers[m.worker]
	if w == nil {
		return
	}
	w.isWatching = false
	w.refusesConnections = m.refused
	if m.failed {
		w.watchFailures++
		o.watch(w)
		return
	}
	now := o.Clock.Now()
	w.watchFailures, w.lastResponse, w.watchAfter = 0, now, m.seen.Next
	for _, mark := range m.seen.Tasks {
		o.updateTask(w, mark)
	}
	o.Placer.RecordUsage(now, w.id, m.seen.Usage)
	o.watch(w)
}

// updateTask applies the state of one task as reported by its worker. States of
// tasks that this instance does not own, or that are not assigned to w, are
// ignored.
func (o *Owner) updateTask(w *worker, mark target.TaskState) {
	ref, ok := w.tasks[mark.ID]
	if !ok {
		return
	}
	j := o.jobs[ref.Key]
	if j == nil || j.tasks == nil {
		delete(w.tasks, mark.ID)
		return
	}
	t := &j.tasks[ref.Task]
	switch mark.Phase {
	case target.Running:
		if t.phase == sending {
			t.phase = started
			j.sending--
			j.active++
			o.addTaskEvent(event.Started, ref, w.id, "")
		}
	case target.Done:
		o.unassign(j, ref.Task, place.Succeeded)
		t.phase, t.output = done, mark.Output
		j.remaining--
		j.bytes += len(mark.Output)
		o.bytes += len(mark.Output)
		o.addTaskEvent(event.Done, ref, w.id, "")
	case target.Failed:
		o.unassign(j, ref.Task, place.Failed)
		t.phase = stopped
		o.addTaskEvent(event.Failed, ref, w.id, mark.Reason)
		o.fail(j, api.ReasonTask, "task "+j.spec.Tasks[ref.Task].Name+" failed: "+mark.Reason)
	case target.Stopped:
		o.unassign(j, ref.Task, place.Lost)
		t.phase = stopped
		o.addTaskEvent(event.Stopped, ref, w.id, mark.Reason)
		o.fail(j, api.ReasonLost, "task "+j.spec.Tasks[ref.Task].Name+" was stopped: "+mark.Reason)
	default:
		return
	}
	o.advance(j)
}

// recheckTasks asks a worker for the tasks that were started on it more than
// Settings.GracePeriod ago, since a restarted worker responds without knowing
// them.
func (o *Owner) recheckTasks(w *worker, now time.Time) {
	w.lastRecheck = now
	var refs []TaskRef
	for _, ref := range w.tasks {
		j := o.jobs[ref.Key]
		if j != nil && j.tasks != nil && j.tasks[ref.Task].phase == started && now.Sub(j.tasks[ref.Task].startedAt) > o.Settings.GracePeriod {
			refs = append(refs, ref)
		}
	}
	if len(refs) > 0 {
		go o.locate(o.addressOf(w.id), refs)
	}
}

// loseWorker fails the jobs of the tasks assigned to a worker that has not
// responded for too long. The tasks become uncertain.
func (o *Owner) loseWorker(w *worker) {
	for _, ref := range w.tasks {
		j := o.jobs[ref.Key]
		if j == nil || j.tasks == nil {
			continue
		}
		o.unassign(j, ref.Task, place.Lost)
		j.tasks[ref.Task].phase = uncertain
		o.addTaskEvent(event.Unknown, ref, w.id, "the worker does not answer")
		o.fail(j, api.ReasonLost, "worker "+w.id+" does not answer; task "+j.spec.Tasks[ref.Task].Name+" may have run")
		o.advance(j)
	}
	clear(w.tasks)
}
