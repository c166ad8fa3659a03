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

// expectedTime is the assumed run time of a task that declares none, in seconds.
const expectedTime = 0.3

// unfit refuses a job with a task that no worker could ever hold.
func (o *Owner) unfit(spec api.Job) *api.Refusal {
	for i := range spec.Tasks {
		if o.Placer.Unfit(demandOf(&spec, "", i)) {
			return &api.Refusal{
				Reason: api.ReasonUnfit, Ran: api.RanNot,
				Detail: "task " + spec.Tasks[i].Name + " is larger than any worker",
			}
		}
	}
	return nil
}

func demandOf(spec *api.Job, name string, i int) place.Demand {
	t := &spec.Tasks[i]
	return place.Demand{
		Team: spec.Team, Kind: t.Kind, Job: name,
		Cores: t.Cores, Memory: t.Memory, Time: t.Time.Duration(),
	}
}

// enqueue queues the waiting tasks of j from task from on. It returns the
// verdict on the first that found the queue full, which stays waiting like those
// behind it.
func (o *Owner) enqueue(j *job, from int) fair.Verdict {
	now := o.Clock.Now()
	j.short = false
	for i := from; i < len(j.tasks); i++ {
		if j.tasks[i].phase != waiting {
			continue
		}
		if v := o.Queue.Push(now, j.item(i)); !v.Queued {
			j.short = true
			return v
		}
		j.tasks[i].phase = queued
		o.noteTask(event.Queued, Ref{Key: j.key, Task: i}, "", "")
	}
	return fair.Verdict{Queued: true}
}

func (j *job) item(i int) fair.Item[Ref] {
	t := &j.spec.Tasks[i]
	cost := t.Time.Duration().Seconds()
	if cost == 0 {
		cost = expectedTime
	}
	it := fair.Item[Ref]{
		Team: j.key.Team, Job: j.name, Urgency: j.spec.Urgency,
		Cost: cost, Bytes: len(t.Input), Work: Ref{Key: j.key, Task: i},
	}
	if j.stage == claiming {
		it.Deadline = j.deadline // an accepted job is not refused early: tickJob ends it
	}
	return it
}

// hold takes note of a task that a worker has room for. It is sent if its number
// is below the durable mark; else the mark is raised first.
func (o *Owner) hold(w *worker, ref Ref) {
	j := o.jobs[ref.Key]
	t := &j.tasks[ref.Task]
	t.phase, t.worker = held, w.id
	j.held++
	if j.stage == running && ref.Task < j.row.Mark {
		o.assign(w, ref)
		return
	}
	j.want = max(j.want, ref.Task+1)
	o.wanting[j] = true
}

// raise writes the marks that held tasks wait for: a new job's with its claim,
// that of others by itself.
func (o *Owner) raise() {
	for j := range o.wanting {
		delete(o.wanting, j)
		switch {
		case j.writing:
			continue // looked at again when the write is answered
		case j.stage == claiming:
			o.startClaim(j)
		case j.stage == running && j.want > j.row.Mark:
			o.extend(j)
		}
	}
}

// extend raises the mark of j.
func (o *Owner) extend(j *job) {
	next := j.row
	next.Nonce = o.Nonce()
	next.Spare = nil
	next.Mark = min(len(j.tasks), j.want+o.Settings.Ahead)
	j.writing = true
	o.write(claim.Extend(next, j.version), func(outcome commit.Outcome) message {
		return extended{job: j, row: next, outcome: outcome}
	})
}

// sendHeld sends the held tasks below the durable mark.
func (o *Owner) sendHeld(j *job) {
	for i := 0; i < j.row.Mark && j.held > 0; i++ {
		if j.tasks[i].phase != held {
			continue
		}
		w := o.workers[j.tasks[i].worker]
		if w == nil {
			o.unhold(j, i)
			j.short = true
			continue
		}
		o.assign(w, Ref{Key: j.key, Task: i})
	}
	if j.held > 0 {
		o.wanting[j] = true
	}
}

// unhold gives back the room of a held task, which then waits.
func (o *Owner) unhold(j *job, i int) {
	j.held--
	o.Placer.Done(o.Clock.Now(), j.tasks[i].worker, demandOf(&j.spec, j.name, i), 0, place.Stopped)
	j.tasks[i].phase, j.tasks[i].worker = waiting, ""
}

// withdraw drops the queued and held tasks of j.
func (o *Owner) withdraw(j *job) {
	o.Queue.RemoveJob(j.name)
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case held:
			o.unhold(j, i)
		case queued:
			j.tasks[i].phase = waiting
		default:
		}
	}
}

// unholdAll gives back the room of all held tasks while the table is down and
// queues them again.
func (o *Owner) unholdAll(j *job) {
	for i := range j.tasks {
		if j.tasks[i].phase == held {
			o.unhold(j, i)
		}
	}
	o.enqueue(j, 0)
}

// write hands in a change in the background and posts the message made of its
// outcome.
func (o *Owner) write(ch commit.Change, report func(commit.Outcome) message) {
	go func() {
		if outcome, ok := o.hand(ch); ok {
			o.post(report(outcome))
		}
	}()
}

// hand writes a change and waits for its outcome. It reports false if the owner
// ends before.
func (o *Owner) hand(ch commit.Change) (commit.Outcome, bool) {
	select {
	case outcome := <-o.Commit.Submit(ch):
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
	j.writing = false
	if j.stage == told {
		return
	}
	if m.outcome.Result != commit.Written {
		o.lost(j)
		return
	}
	j.row, j.version = m.row, m.outcome.Version
	o.note(event.Marked, j.key, strconv.Itoa(j.row.Mark))
	switch j.stage {
	case running:
		o.sendHeld(j)
	case recording:
		o.record(j, j.end.answer)
	case releasing:
		o.settleRelease(j)
	default:
	}
}

// lost drops a job whose row another instance has taken: that instance asks the
// workers for its tasks and records its answer.
func (o *Owner) lost(j *job) {
	o.note(event.Lost, j.key, "another instance has taken the job")
	o.drop(j)
	o.end(j, end{elsewhere: true})
}

// drop forgets the tasks of j without stopping them.
func (o *Owner) drop(j *job) {
	o.withdraw(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == sending || t.phase == started {
			o.unassign(j, i, place.Stopped)
		}
	}
}
