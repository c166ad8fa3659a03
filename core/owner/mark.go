package owner

import (
	"strconv"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/place"
)

// defaultTaskSeconds is the assumed run time, in seconds, of a task that declares
// none.
const defaultTaskSeconds = 0.3

// unfitRefusal returns a refusal if a task of the job is larger than any worker,
// else nil.
func (o *Owner) unfitRefusal(spec api.Job) *api.Refusal {
	for i := range spec.Tasks {
		if o.Placer.IsTooLarge(demandOf(&spec, "", i)) {
			return &api.Refusal{
				Reason: api.ReasonUnfit, Ran: api.RanNot,
				Detail: "task " + spec.Tasks[i].Name + " is larger than any worker",
			}
		}
	}
	return nil
}

// demandOf returns the resources that task i of spec needs. The name is that of
// the job, as TEAM/ID.
func demandOf(spec *api.Job, name string, i int) place.Task {
	t := &spec.Tasks[i]
	return place.Task{
		Team: spec.Team, Kind: t.Kind, Job: name,
		Cores: t.Cores, Memory: t.Memory, RunTime: t.ExpectedRunTime.Duration(),
	}
}

// enqueue queues the unqueued tasks of j, starting with task from. It stops at the
// first task that the queue refuses and returns the verdict on it; that task and
// those after it remain unqueued.
func (o *Owner) enqueue(j *job, from int) fair.Admission {
	now := o.Clock.Now()
	j.hasUnqueued = false
	for i := from; i < len(j.tasks); i++ {
		if j.tasks[i].phase != unqueued {
			continue
		}
		if v := o.Queue.Push(now, j.item(i)); !v.Queued {
			j.hasUnqueued = true
			return v
		}
		j.tasks[i].phase = queued
		o.addTaskEvent(event.Queued, TaskRef{Key: j.key, Task: i}, "", "")
	}
	return fair.Admission{Queued: true}
}

// item returns the queue item of task i.
func (j *job) item(i int) fair.Item[TaskRef] {
	t := &j.spec.Tasks[i]
	cost := t.ExpectedRunTime.Duration().Seconds()
	if cost == 0 {
		cost = defaultTaskSeconds
	}
	it := fair.Item[TaskRef]{
		Team: j.key.Team, Job: j.name, Urgency: j.spec.Urgency,
		Cost: cost, Bytes: len(t.Input), Payload: TaskRef{Key: j.key, Task: i},
	}
	if j.stage == claiming {
		it.Deadline = j.deadline // an accepted job is not refused early; tickJob fails it
	}
	return it
}

// reserve records that w has capacity for a task. The task is sent at once if its
// number is below the durable mark; otherwise the mark is raised first.
func (o *Owner) reserve(w *worker, ref TaskRef) {
	j := o.jobs[ref.Key]
	t := &j.tasks[ref.Task]
	t.phase, t.worker = reserved, w.id
	j.reserved++
	if j.stage == running && ref.Task < j.row.Mark {
		o.assign(w, ref)
		return
	}
	j.neededMark = max(j.neededMark, ref.Task+1)
	o.needMark[j] = true
}

// raiseMarks writes the marks that reserved tasks wait for. The mark of a new job
// is written together with its claim.
func (o *Owner) raiseMarks() {
	for j := range o.needMark {
		delete(o.needMark, j)
		switch {
		case j.isWriting:
			continue // checked again when the write is answered
		case j.stage == claiming:
			o.startClaim(j)
		case j.stage == running && j.neededMark > j.row.Mark:
			o.extendMark(j)
		}
	}
}

// extendMark raises the mark of j to cover its reserved tasks and the next
// Settings.MarkAhead ones.
func (o *Owner) extendMark(j *job) {
	next := j.row
	next.Nonce = o.Nonce()
	next.NeverStarted = nil
	next.Mark = min(len(j.tasks), j.neededMark+o.Settings.MarkAhead)
	j.isWriting = true
	o.writeAsync(claim.RaiseMark(next, j.version), func(outcome commit.Outcome) message {
		return extended{job: j, row: next, outcome: outcome}
	})
}

// sendReserved assigns the reserved tasks of j below the durable mark to their
// workers. Tasks whose worker is unknown become unqueued.
func (o *Owner) sendReserved(j *job) {
	for i := 0; i < j.row.Mark && j.reserved > 0; i++ {
		if j.tasks[i].phase != reserved {
			continue
		}
		w := o.workers[j.tasks[i].worker]
		if w == nil {
			o.unreserve(j, i)
			j.hasUnqueued = true
			continue
		}
		o.assign(w, TaskRef{Key: j.key, Task: i})
	}
	if j.reserved > 0 {
		o.needMark[j] = true
	}
}

// unreserve releases the capacity reserved for task i of j, which becomes unqueued.
func (o *Owner) unreserve(j *job, i int) {
	j.reserved--
	o.Placer.Done(o.Clock.Now(), j.tasks[i].worker, demandOf(&j.spec, j.name, i), 0, place.Stopped)
	j.tasks[i].phase, j.tasks[i].worker = unqueued, ""
}

// withdraw removes the queued tasks of j from the queue and releases the capacity
// reserved for others. All of them become unqueued.
func (o *Owner) withdraw(j *job) {
	o.Queue.RemoveJob(j.name)
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case reserved:
			o.unreserve(j, i)
		case queued:
			j.tasks[i].phase = unqueued
		default:
		}
	}
}

// requeueReserved releases the capacity of all reserved tasks of j and queues them
// again. It is used while the table is down.
func (o *Owner) requeueReserved(j *job) {
	for i := range j.tasks {
		if j.tasks[i].phase == reserved {
			o.unreserve(j, i)
		}
	}
	o.enqueue(j, 0)
}

// writeAsync submits a change in the background and posts the message that
// makeMessage returns for its outcome.
func (o *Owner) writeAsync(ch commit.Change, makeMessage func(commit.Outcome) message) {
	go func() {
		if outcome, ok := o.submitAndWait(ch); ok {
			o.post(makeMessage(outcome))
		}
	}()
}

// submitAndWait writes a change and waits for its outcome. It reports false if Run
// returns before that.
func (o *Owner) submitAndWait(ch commit.Change) (commit.Outcome, bool) {
	select {
	case outcome := <-o.Committer.Submit(ch):
		return outcome, true
	case <-o.closed:
		return commit.Outcome{Result: commit.Unresolved}, false
	}
}

// extended reports the outcome of raising a mark.
type extended struct {
	job     *job
	row     claim.Row
	outcome commit.Outcome
}

func (m extended) apply(o *Owner) {
	j := m.job
	j.isWriting = false
	if j.stage == resolved {
		return
	}
	if m.outcome.Result != commit.Written {
		o.loseJob(j)
		return
	}
	j.row, j.version = m.row, m.outcome.Version
	o.addEvent(event.MarkAdvanced, j.key, strconv.Itoa(j.row.Mark))
	switch j.stage {
	case running:
		o.sendReserved(j)
	case recording:
		o.record(j, j.resolution.answer)
	case releasing:
		o.advanceRelease(j)
	default:
	}
}

// loseJob drops a job whose row another instance has taken over. That instance
// asks the workers for its tasks and records its answer.
func (o *Owner) loseJob(j *job) {
	o.addEvent(event.Lost, j.key, "another instance has taken the job")
	o.dropTasks(j)
	o.resolve(j, resolution{elsewhere: true})
}

// dropTasks withdraws the tasks of j and unassigns those sent or started, without
// stopping them on their workers.
func (o *Owner) dropTasks(j *job) {
	o.withdraw(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == sending || t.phase == started {
			o.unassign(j, i, place.Stopped)
		}
	}
}
