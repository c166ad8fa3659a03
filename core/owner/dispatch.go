package owner

import (
	"context"
	"slices"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/place"
	"gypsumward/core/table"
	"gypsumward/core/target"
)

// maxStartCalls is the largest number of start calls in flight to one worker.
const maxStartCalls = 4

// worker is the state of one worker as known to the loop.
type worker struct {
	id                 string
	addr               string
	centre             string
	tasks              map[string]TaskRef // tasks in phase sending or started, by task id
	outbox             []TaskRef
	startCalls         int // start calls in flight
	isWatching         bool
	watchAfter         int64     // Next of the last target.Outcomes
	lastResponse       time.Time // time of the last response, or of the first task assigned after it had none
	lastRecheck        time.Time // time of the last recheckTasks
	watchFailures      int       // consecutive watch calls without response
	refusesConnections bool      // the last watch call was refused a connection
	removed            bool      // no longer in the directory
}

// taskCount returns the number of tasks assigned to w.
func (w *worker) taskCount() int {
	return len(w.tasks)
}

// SetMembers sets the members of the directory. Workers of other data centres are
// used only to find the tasks of jobs that are taken over.
func (o *Owner) SetMembers(members []table.Member) {
	o.post(membersChanged{members: members})
}

// membersChanged sets the members of the directory.
type membersChanged struct {
	members []table.Member
}

func (m membersChanged) apply(o *Owner) {
	var list []place.Worker
	known := make(map[string]bool)
	for _, member := range m.members {
		if member.Kind != table.KindWorker {
			continue
		}
		known[member.ID] = true
		w := o.workers[member.ID]
		if w == nil {
			w = &worker{id: member.ID, tasks: make(map[string]TaskRef)}
			o.workers[member.ID] = w
		}
		w.addr, w.centre, w.removed = member.Addr, member.Centre, false
		if member.Centre != o.Centre {
			continue // used only to find tasks of jobs that are taken over
		}
		list = append(list, place.Worker{
			ID: member.ID, Rack: member.Rack, Cores: member.Cores, Memory: member.Memory, Leaving: member.Leaving,
		})
	}
	for id, w := range o.workers {
		if w.removed = !known[id]; w.removed && w.taskCount() == 0 && w.startCalls == 0 && !w.isWatching {
			delete(o.workers, id)
		}
	}
	o.Placer.SetWorkers(o.Clock.Now(), list)
}

// dispatch places queued tasks while workers have capacity, writes the marks they
// need and sends those that may be started.
func (o *Owner) dispatch(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	now := o.Clock.Now()
	for o.drain == nil {
		var chosen *worker
		it, ok := o.Queue.Pop(now, func(it fair.Item[TaskRef]) bool {
			chosen = nil
			j := o.jobs[it.Payload.Key]
			if j == nil || j.tasks == nil || j.tasks[it.Payload.Task].phase != queued {
				return true
			}
			if it.Payload.Task >= j.row.Mark && o.Committer.IsDown() || !now.Before(j.deadline) {
				return false
			}
			id, v := o.Placer.Pick(now, demandOf(&j.spec, j.name, it.Payload.Task))
			if v == place.Placed {
				chosen = o.workers[id]
			}
			return v == place.Placed
		})
		if !ok {
			break
		}
		if chosen == nil {
			continue // the job of the item has ended
		}
		o.reserve(chosen, it.Payload)
	}
	o.raiseMarks()
	for w := range o.unflushed {
		delete(o.unflushed, w)
		o.flush(w)
	}
}

// assign moves a reserved task to the outbox of w.
func (o *Owner) assign(w *worker, ref TaskRef) {
	j := o.jobs[ref.Key]
	t := &j.tasks[ref.Task]
	t.phase, t.startedAt = sending, o.Clock.Now()
	j.reserved--
	j.sending++
	if w.taskCount() == 0 {
		w.lastResponse = t.startedAt
	}
	w.tasks[taskID(ref.Key, ref.Task)] = ref
	w.outbox = append(w.outbox, ref)
	o.unflushed[w] = true
}

// unassign removes task i of j from its worker, releases its capacity and reports
// the outcome to the placer. A task that is neither sending nor started is left
// unchanged. The phase of the task is kept; the caller sets it.
func (o *Owner) unassign(j *job, i int, outcome place.Outcome) {
	t := &j.tasks[i]
	switch t.phase {
	case sending:
		j.sending--
	case started:
		j.active--
	default:
		return
	}
	if w := o.workers[t.worker]; w != nil {
		delete(w.tasks, taskID(j.key, i))
	}
	elapsed := o.Clock.Since(t.startedAt)
	o.Placer.Done(o.Clock.Now(), t.worker, demandOf(&j.spec, j.name, i), elapsed, outcome)
	if outcome == place.Succeeded {
		o.Queue.Charge(j.key.Team, elapsed.Seconds()-j.item(i).Cost)
	}
}

// flush sends the outbox of w in batches of at most Settings.MaxBatch tasks, with
// at most maxStartCalls calls in flight.
func (o *Owner) flush(w *worker) {
	for len(w.outbox) > 0 && w.startCalls < maxStartCalls {
		size := min(len(w.outbox), o.Settings.MaxBatch)
		batch := w.outbox[:size:size]
		w.outbox = w.outbox[size:]
		m := target.Start{Holder: o.ID, Lease: o.taskLease()}
		refs := make([]TaskRef, 0, size)
		for _, ref := range batch {
			j := o.jobs[ref.Key]
			if j == nil || j.stage != running || j.tasks[ref.Task].phase != sending {
				o.revertUnsent(ref)
				continue
			}
			t := &j.spec.Tasks[ref.Task]
			m.Tasks = append(m.Tasks, target.Task{
				ID: taskID(ref.Key, ref.Task), Kind: t.Kind, Input: t.Input, Cores: t.Cores, Memory: t.Memory,
			})
			refs = append(refs, ref)
			o.addTaskEvent(event.Sent, ref, w.id, "")
		}
		if len(refs) > 0 {
			w.startCalls++
			go o.sendStart(w.id, w.addr, refs, m)
		}
	}
}

// revertUnsent unassigns a task whose start was not sent because its job ended.
func (o *Owner) revertUnsent(ref TaskRef) {
	j := o.jobs[ref.Key]
	if j == nil || j.tasks == nil || j.tasks[ref.Task].phase != sending {
		return
	}
	o.unassign(j, ref.Task, place.Refused)
	j.tasks[ref.Task].phase = unqueued
	o.advance(j)
}

// sendStart makes one start call and posts its result.
func (o *Owner) sendStart(id, addr string, refs []TaskRef, m target.Start) {
	ctx, cancel := o.callContext()
	defer cancel()
	got, ran, err := o.Workers.Start(ctx, addr, m)
	o.post(startReplied{worker: id, refs: refs, states: got.Tasks, ran: ran, failed: err != nil})
}

// startReplied reports the response to a start call, or its failure.
type startReplied struct {
	worker string
	refs   []TaskRef
	states []target.TaskState
	ran    api.RunStatus
	failed bool
}

func (m startReplied) apply(o *Owner) {
	w := o.workers[m.worker]
	if w == nil {
		return
	}
	w.startCalls--
	byID := make(map[string]target.TaskState, len(m.states))
	for _, state := range m.states {
		byID[state.ID] = state
	}
	var unresolved []TaskRef
	for _, ref := range m.refs {
		id := taskID(ref.Key, ref.Task)
		if current, ok := w.tasks[id]; !ok || current != ref {
			continue // its outcome was received before this response
		}
		state, ok := byID[id]
		switch {
		case m.failed && m.ran == api.RanNot:
			o.requeue(ref, place.Lost)
		case m.failed || !ok || state.Phase == target.Unknown:
			unresolved = append(unresolved, ref)
		case state.Phase == target.NotStarted:
			o.requeue(ref, place.Refused)
		default:
			o.updateTask(w, state)
		}
	}
	if !m.failed {
		w.lastResponse = o.Clock.Now()
	}
	if len(unresolved) > 0 {
		go o.locate(o.addressOf(w.id), unresolved)
	}
	o.watch(w)
	o.flush(w)
}

// requeue unassigns a task that its worker did not start, with the given outcome
// for the placer, and queues it again if its job is running.
func (o *Owner) requeue(ref TaskRef, outcome place.Outcome) {
	j := o.jobs[ref.Key]
	if j == nil || j.tasks == nil {
		return
	}
	o.unassign(j, ref.Task, outcome)
	t := &j.tasks[ref.Task]
	t.phase, t.worker = unqueued, ""
	o.addTaskEvent(event.Retried, ref, "", "the worker did not start it")
	if j.stage == running {
		o.enqueue(j, ref.Task)
		return
	}
	o.advance(j)
}

// addressOf returns a map from the id of a worker to its address.
func (o *Owner) addressOf(id string) map[string]string {
	return map[string]string{id: o.workers[id].addr}
}

// addressesIn returns the addresses of the workers of the given data centres by
// worker id.
func (o *Owner) addressesIn(centres []string) map[string]string {
	found := make(map[string]string)
	for _, w := range o.workers {
		if slices.Contains(centres, w.centre) {
			found[w.id] = w.addr
		}
	}
	return found
}
