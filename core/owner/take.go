package owner

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
	"gypsumward/core/place"
	"gypsumward/core/table"
	"gypsumward/core/target"
)

// ErrUnreachable is returned by TakeOver for jobs whose data centre cannot be reached.
// Its instances may still be running them, and the state of their tasks cannot be
// determined.
const ErrUnreachable = errors.ConstError("the data centre of the jobs cannot be reached")

// TakeOver takes over the open jobs of a failed instance, or, if previous is
// claim.ReleasedOwner(centre), those released in that data centre. It returns the number
// of jobs taken over; an error means that some may be left. Unless force is set,
// TakeOver returns ErrUnreachable for jobs of another data centre while none of its
// workers can be reached.
func (o *Owner) TakeOver(ctx context.Context, previous string, force bool) (int, error) {
	prefix := claim.OpenKey(previous, claim.JobPrefix)
	after := ""
	taken := 0
	for {
		callCtx, cancel := clockwork.WithTimeout(ctx, o.Clock, o.Settings.CallTimeout)
		found, err := o.Table.Scan(callCtx, table.Scan{Prefix: prefix, After: after, Limit: takePageSize})
		cancel()
		if err != nil {
			return taken, err
		}
		n, err := o.takePage(ctx, previous, force, found.Rows)
		taken += n
		if err != nil || len(found.Rows) < takePageSize {
			return taken, err
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// takePageSize is the largest number of jobs that are taken over together.
const takePageSize = 100

// takePage takes over the jobs of one page of index rows and passes them to the
// loop in one message, so that the workers are asked for all their tasks together.
// It returns the number of jobs taken over.
func (o *Owner) takePage(ctx context.Context, previous string, force bool, index []table.Row) (int, error) {
	var keys []string
	for _, r := range index {
		keys = append(keys, strings.TrimPrefix(r.Key, claim.OpenKey(previous, "")))
	}
	if len(keys) == 0 {
		return 0, nil
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, o.Clock, o.Settings.CallTimeout)
	rows, err := o.Table.Read(callCtx, table.Read{Keys: keys})
	cancel()
	if err != nil {
		return 0, err
	}
	if !force && o.cutOff(rows.Rows) {
		return 0, ErrUnreachable
	}
	results := make([]*takenJob, len(rows.Rows))
	var group sync.WaitGroup
	for i, r := range rows.Rows {
		group.Go(func() { results[i] = o.takeRow(ctx, previous, r) })
	}
	group.Wait()
	var jobs []takenJob
	for _, t := range results {
		if t != nil {
			jobs = append(jobs, *t)
		}
	}
	if len(jobs) > 0 {
		o.post(takenOver{jobs: jobs})
	}
	return len(jobs), nil
}

// cutOff reports whether any of the rows belongs to another data centre none of
// whose workers responds.
func (o *Owner) cutOff(rows []table.Row) bool {
	asked := make(map[string]bool)
	for _, r := range rows {
		row, err := claim.Decode(r)
		if r.Version == 0 || err != nil || row.Centre == o.Centre || asked[row.Centre] {
			continue
		}
		asked[row.Centre] = true
		if !o.reaches(row.Centre) {
			return true
		}
	}
	return false
}

// reaches reports whether any worker of a data centre responds.
func (o *Owner) reaches(centre string) bool {
	reply := make(chan map[string]string, 1)
	if !o.post(addressQuery{centre: centre, reply: reply}) {
		return false
	}
	select {
	case workers := <-reply:
		_, silent := o.adoptAll(workers, nil)
		return silent < len(workers)
	case <-o.closed:
		return false
	}
}

// addressQuery asks the loop for the addresses of the workers of a data centre.
type addressQuery struct {
	centre string
	reply  chan map[string]string
}

func (m addressQuery) apply(o *Owner) {
	m.reply <- o.addressesIn([]string{m.centre})
}

// takenJob is a job whose row now names this instance.
type takenJob struct {
	spec           api.Job
	row            claim.Row
	version        int64
	mayHaveStarted []bool // for each task, whether a previous owner may have started it
}

// takeRow takes over one row. It returns nil if the previous owner no longer owns
// the row, its body cannot be read, or the write did not take effect.
func (o *Owner) takeRow(ctx context.Context, previous string, r table.Row) *takenJob {
	if r.Version == 0 {
		return nil
	}
	row, err := claim.Decode(r)
	if err != nil || row.Final() || row.Owner != previous {
		return nil
	}
	spec, ok := o.body(ctx, row)
	if !ok {
		return nil
	}
	mayHaveStarted := row.MayHaveStarted()
	next := row.WithOwner(o.ID, o.Centre, o.Nonce())
	outcome, ok := o.submitAndWait(claim.TakeOver(next, r.Version, previous))
	if !ok || outcome.Result != commit.Written {
		return nil
	}
	return &takenJob{spec: spec, row: next, version: outcome.Version, mayHaveStarted: mayHaveStarted}
}

// body returns the submission of an open row. It reports false if the submission
// cannot be read or is not valid.
func (o *Owner) body(ctx context.Context, row claim.Row) (api.Job, bool) {
	value := []byte(row.Body)
	if row.ObjectKey != "" {
		stored, found, err := o.Objects.Get(ctx, row.ObjectKey)
		if err != nil || !found {
			return api.Job{}, false
		}
		value = stored
	}
	var spec api.Job
	if err := json.Unmarshal(value, &spec); err != nil {
		return api.Job{}, false
	}
	return spec, check.Job(&spec) == nil && len(spec.Tasks) == row.Tasks
}

// takenOver reports jobs whose rows were taken over.
type takenOver struct {
	jobs []takenJob
}

func (m takenOver) apply(o *Owner) {
	var refs []TaskRef
	var centres []string
	for _, t := range m.jobs {
		j := newJob(t.spec, o.Clock.Now())
		if old := o.jobs[j.key]; old != nil {
			o.dropTasks(old)
			o.resolve(old, resolution{elsewhere: true})
		}
		j.row, j.version, j.stage = t.row, t.version, adopting
		j.deadline = time.UnixMilli(t.row.Deadline)
		if since := time.UnixMilli(t.row.AcceptedAt); since.Before(j.acceptedAt) {
			j.acceptedAt = since
		}
		o.jobs[j.key] = j
		o.bytes += j.bytes
		o.addEvent(event.TakenOver, j.key, "")
		for i, mayHaveStarted := range t.mayHaveStarted {
			if mayHaveStarted {
				j.tasks[i].phase = sending
				j.sending++
				refs = append(refs, TaskRef{Key: j.key, Task: i})
			}
		}
		centres = append(centres, t.row.WorkerCentres()...)
		if j.sending == 0 {
			o.startJob(j)
		}
	}
	if len(refs) > 0 {
		go o.locate(o.addressesIn(centres), refs)
	}
}

// locate asks workers, given as a map from id to address, for tasks that may have
// been started. It ends when all tasks are found, when all workers have responded
// in two rounds, or after Settings.SilenceTimeout.
func (o *Owner) locate(workers map[string]string, refs []TaskRef) {
	missing := refs
	answers := 0
	for deadline := o.Clock.Now().Add(o.Settings.SilenceTimeout); ; {
		found, silent := o.adoptAll(workers, missing)
		missing = without(missing, found)
		if silent == 0 {
			answers++
		}
		final := len(missing) == 0 || answers > 1 || o.Clock.Now().After(deadline)
		if !o.post(located{found: found, missing: missing, final: final}) || final {
			return
		}
		select {
		case <-o.Clock.After(o.Settings.CallTimeout / 2):
		case <-o.closed:
			return
		}
	}
}

// foundTask is a task that a worker knows, with its state there.
type foundTask struct {
	ref    TaskRef
	worker string
	state  target.TaskState
}

// adoptAll asks each worker for the tasks refs. It returns the tasks found and the
// number of workers that did not respond.
func (o *Owner) adoptAll(workers map[string]string, refs []TaskRef) (found []foundTask, silent int) {
	ids := make([]string, len(refs))
	index := make(map[string]TaskRef, len(refs))
	for i, ref := range refs {
		ids[i] = taskID(ref.Key, ref.Task)
		index[ids[i]] = ref
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for id, addr := range workers {
		group.Go(func() {
			ctx, cancel := o.callContext()
			defer cancel()
			got, _, err := o.Workers.Adopt(ctx, addr, target.Adopt{Holder: o.ID, IDs: ids})
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				silent++
				return
			}
			for _, state := range got.Tasks {
				if ref, ok := index[state.ID]; ok && state.Phase != target.Unknown {
					found = append(found, foundTask{ref: ref, worker: id, state: state})
				}
			}
		})
	}
	group.Wait()
	return found, silent
}

// without returns the elements of refs that are not in found.
func without(refs []TaskRef, found []foundTask) []TaskRef {
	known := make(map[TaskRef]bool, len(found))
	for _, f := range found {
		known[f.ref] = true
	}
	var left []TaskRef
	for _, ref := range refs {
		if !known[ref] {
			left = append(left, ref)
		}
	}
	return left
}

// located reports which tasks were found on workers. If final is set, the missing
// ones are not searched for again.
type located struct {
	found   []foundTask
	missing []TaskRef
	final   bool
}

func (m located) apply(o *Owner) {
	now := o.Clock.Now()
	changed := make(map[*job]bool)
	for _, f := range m.found {
		j, w := o.jobs[f.ref.Key], o.workers[f.worker]
		if j == nil || j.tasks == nil || w == nil || !j.tasks[f.ref.Task].isUnresolved() {
			continue
		}
		t := &j.tasks[f.ref.Task]
		t.worker = f.worker
		if t.startedAt.IsZero() {
			t.startedAt = now
		}
		if w.taskCount() == 0 {
			w.lastResponse = now
		}
		if w.tasks[f.state.ID] != f.ref {
			w.tasks[f.state.ID] = f.ref
			o.Placer.Adopt(now, w.id, demandOf(&j.spec, j.name, f.ref.Task))
		}
		o.addTaskEvent(event.RunFound, f.ref, w.id, string(f.state.Phase))
		changed[j] = true
		o.updateTask(w, f.state)
		o.watch(w)
	}
	if m.final {
		for _, ref := range m.missing {
			o.loseTask(ref, changed)
		}
	}
	for j := range changed {
		o.advanceAdopted(j)
	}
}

// loseTask fails the job of a task that no worker knows and adds the job to
// changed. The task may have run, or may still run.
func (o *Owner) loseTask(ref TaskRef, changed map[*job]bool) {
	j := o.jobs[ref.Key]
	if j == nil || j.tasks == nil || !j.tasks[ref.Task].isUnresolved() {
		return
	}
	o.unassign(j, ref.Task, place.Lost)
	if t := &j.tasks[ref.Task]; t.phase == started {
		t.phase = stopped
	} else {
		t.phase = uncertain
	}
	changed[j] = true
	o.addTaskEvent(event.Unknown, ref, "", "")
	o.fail(j, api.ReasonLost, "task "+j.spec.Tasks[ref.Task].Name+" may have run; no worker knows it")
}

// advanceAdopted starts a job that was taken over once all its tasks are accounted
// for.
func (o *Owner) advanceAdopted(j *job) {
	if j.stage == adopting && j.sending == 0 {
		o.startJob(j)
	}
	o.advance(j)
}
