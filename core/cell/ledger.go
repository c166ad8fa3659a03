package cell

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// Tables of a cell. A key is CELL/TABLE/NAME.
const (
	TableJobs     = "jobs"     // jobs that have not ended
	TableProgress = "progress" // what is done of them
	TableEnds     = "ends"     // the final states of jobs
)

// maxEntries is how many conditions and changes a transaction takes from jobs; one
// more is for the holder.
const maxEntries = table.MaxOps - 2

// maxBytes is how many bytes of values a transaction takes.
const maxBytes = 512 << 10

// Pauses between tries of a write.
const (
	firstPause = 30 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

// doubtful is how long writes fail until new jobs are refused.
const doubtful = 300 * time.Millisecond

// Progress is the row of what is done of a job. Steps are counted through all
// occurrences.
type Progress struct {
	Done  [][]int      `json:"done"`            // by step, the tasks that are done
	Fails []TaskFailed `json:"fails,omitempty"` // tasks that have failed
	Saved []TaskSaved  `json:"saved,omitempty"` // checkpoints of tasks that are not done
}

// TaskSaved is the checkpoint of a task.
type TaskSaved struct {
	Step  int    `json:"step"`
	Index int    `json:"index"`
	Run   int    `json:"run"`
	Value string `json:"value"`
}

// TaskFailed is a task of which runs have failed. They may be listed in any order, and
// again by runners that have not been told that they are counted.
type TaskFailed struct {
	Step  int   `json:"step"`
	Index int   `json:"index"`
	Runs  []int `json:"runs"`
}

// Ended is the row of the end of a job.
type Ended struct {
	State work.State `json:"state"`
}

// jobRow is what is known of the rows of a job.
type jobRow struct {
	stored   bool
	dirty    bool // in ledger.dirty
	open     bool // in a flight
	job      int64
	progress int64
	wanted   bool // progress is to be written
}

// change is what one transaction writes of one job.
type change struct {
	job   *job
	ops   []table.Op
	ends  int  // of job.unsettled, that the rows then hold
	final bool // it ends the job
}

// flight is a transaction that is open.
type flight struct {
	number  int64
	changes []*change
	drops   []table.Op // rows to be removed, whether they still are as expected or not
	sent    time.Time
	again   time.Time // when it is to be sent; zero while it is out
	pause   time.Duration
	open    bool // a try may have taken effect
}

// ledger writes the rows of jobs.
type ledger struct {
	number  int64
	dirty   []*job
	flights map[int64]*flight
	expired []table.Op // rows of ends to be removed
	failing time.Time  // since when no write was answered; zero if the last one was
}

// touch marks the rows of j as behind.
func (c *Cell) touch(j *job) {
	if !j.row.dirty {
		j.row.dirty = true
		c.ledger.dirty = append(c.ledger.dirty, j)
	}
}

// Key returns the key of a row of the cell.
func (c *Cell) Key(tab, name string) string {
	return c.Tenure.Name + "/" + tab + "/" + name
}

// storeDown reports whether writes have failed for long.
func (c *Cell) storeDown(now time.Time) bool {
	return !c.ledger.failing.IsZero() && now.Sub(c.ledger.failing) > doubtful
}

// flush sends what is due.
func (c *Cell) flush(now time.Time) {
	if c.deposed || !c.loaded {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(c.ledger.flights)) {
		f := c.ledger.flights[number]
		if !f.again.IsZero() && !now.Before(f.again) {
			c.send(now, f)
		}
	}
	for len(c.ledger.flights) < c.Settings.Flights {
		f := c.gather()
		if f == nil {
			f = c.gatherExpired()
		}
		if f == nil {
			return
		}
		c.send(now, f)
	}
}

// gather takes changes of jobs into a flight, or returns nil if there are none that
// could go now.
func (c *Cell) gather() *flight {
	f := &flight{pause: firstPause}
	entries, size := 0, 0
	kept := c.ledger.dirty[:0]
	for i, j := range c.ledger.dirty {
		if j.row.open {
			kept = append(kept, j)
			continue
		}
		ch := c.change(j)
		if ch == nil {
			j.row.dirty = false
			continue
		}
		n, m := weigh(ch.ops)
		if len(f.changes) > 0 && (entries+m > maxEntries || size+n > maxBytes) {
			kept = append(kept, c.ledger.dirty[i:]...)
			break
		}
		entries += m
		size += n
		j.row.dirty, j.row.open, j.row.wanted = false, true, false
		f.changes = append(f.changes, ch)
	}
	clear(c.ledger.dirty[len(kept):])
	c.ledger.dirty = kept
	if len(f.changes) == 0 {
		return nil
	}
	return f
}

// weigh returns the bytes of the values of ops, and how many conditions and changes
// they are.
func weigh(ops []table.Op) (size, entries int) {
	for i := range ops {
		size += len(ops[i].Value)
		if ops[i].If != table.Any {
			entries++
		}
		if !ops[i].Check {
			entries++
		}
	}
	return size, entries
}

// change returns what is to be written of j now, or nil if nothing is.
func (c *Cell) change(j *job) *change {
	switch {
	case !j.row.stored:
		return &change{job: j, ops: []table.Op{
			{Key: c.Key(TableJobs, j.ID), Value: encode(&j.Job)},
			{Key: c.Key(TableEnds, j.ID), Check: true},
		}}
	case j.state.Ended():
		ops := []table.Op{
			{Key: c.Key(TableEnds, j.ID), Value: encode(Ended{State: j.state})},
			{Key: c.Key(TableJobs, j.ID), If: j.row.job, Delete: true},
		}
		if j.row.progress != 0 {
			ops = append(ops, table.Op{Key: c.Key(TableProgress, j.ID), If: j.row.progress, Delete: true})
		}
		return &change{job: j, ops: ops, ends: len(j.unsettled), final: true}
	case j.row.wanted:
		return &change{job: j, ops: []table.Op{
			{Key: c.Key(TableProgress, j.ID), If: j.row.progress, Value: encode(j.progress())},
			{Key: c.Key(TableJobs, j.ID), If: j.row.job, Check: true}, // not after the end
		}, ends: len(j.unsettled)}
	}
	return nil
}

func (j *job) progress() Progress {
	p := Progress{Done: make([][]int, len(j.tasks))}
	for s, step := range j.tasks {
		for i, t := range step {
			if t.done {
				p.Done[s] = append(p.Done[s], i)
			}
			if t.saved.value != "" && !t.done {
				p.Saved = append(p.Saved, TaskSaved{Step: s, Index: i, Run: t.saved.run, Value: t.saved.value})
			}
			if len(t.fails) > 0 {
				p.Fails = append(p.Fails, TaskFailed{Step: s, Index: i, Runs: t.fails})
			}
		}
	}
	return p
}

// send sends a flight, for the first time or again.
func (c *Cell) send(now time.Time, f *flight) {
	c.ledger.number++
	delete(c.ledger.flights, f.number)
	f.number, f.sent, f.again = c.ledger.number, now, time.Time{}
	c.ledger.flights[f.number] = f
	w := table.Write{Ops: []table.Op{{Key: c.Tenure.Row, If: c.Tenure.Epoch, Check: true}}}
	for _, ch := range f.changes {
		w.Ops = append(w.Ops, ch.ops...)
	}
	w.Ops = append(w.Ops, f.drops...)
	c.Counter.Count("writes", 1)
	c.Store.Write(f.number, w)
}

// Answer is what came of a write.
type Answer struct {
	Written table.Written
	Failed  bool // it did not take effect as answered
	Not     bool // it failed, and certainly never takes effect
}

// Written takes the answer to a write.
func (c *Cell) Written(now time.Time, number int64, a Answer) {
	f := c.ledger.flights[number]
	if f == nil || c.deposed {
		return
	}
	if a.Failed {
		c.failed(now, f, a.Not)
		return
	}
	c.Counter.Took("write", now.Sub(f.sent))
	if !c.ledger.failing.IsZero() {
		c.log("event", "store", "state", "back", "after", now.Sub(c.ledger.failing))
	}
	c.ledger.failing = time.Time{}
	delete(c.ledger.flights, number)
	conflicts := map[string]table.Row{}
	for _, r := range a.Written.Conflict {
		conflicts[r.Key] = r
	}
	if _, lost := conflicts[c.Tenure.Row]; lost && !a.Written.Done {
		c.Depose(now, "the row of the holder has changed")
		return
	}
	var left []*change
	for _, ch := range f.changes {
		if !c.settle(now, ch, a.Written, conflicts) {
			left = append(left, ch)
		}
	}
	f.drops = slices.DeleteFunc(f.drops, func(op table.Op) bool {
		_, conflict := conflicts[op.Key]
		return a.Written.Done || conflict
	})
	if len(left) > 0 || len(f.drops) > 0 {
		f.changes, f.open, f.pause = left, false, firstPause
		c.send(now, f)
	}
	c.wake()
}

// failed takes a write that was not answered, or that was refused.
func (c *Cell) failed(now time.Time, f *flight, not bool) {
	if c.ledger.failing.IsZero() {
		c.ledger.failing = now
		c.log("event", "store", "state", "failing", "not", not, "took", now.Sub(f.sent), "changes", len(f.changes))
	}
	f.open = f.open || !not
	if !f.open {
		f.changes = slices.DeleteFunc(f.changes, func(ch *change) bool { return c.withdraw(ch) })
	}
	if len(f.changes) == 0 && len(f.drops) == 0 {
		delete(c.ledger.flights, f.number)
		return
	}
	f.again = now.Add(f.pause)
	f.pause = min(2*f.pause, lastPause)
}

// withdraw refuses a job whose insert certainly did not take effect.
func (c *Cell) withdraw(ch *change) bool {
	j := ch.job
	if j.row.stored || ch.final {
		return false
	}
	delete(c.jobs, j.ID)
	c.Counter.Count("refused_"+ReasonStore, 1)
	c.log("event", "refuse", "job", j.ID, "queue", j.Queue.Name, "reason", ReasonStore)
	j.tell(Outcome{Verdict: Refused, Reason: ReasonStore, After: time.Second})
	j.tellCancel(work.Unknown, true)
	return true
}

// settle takes what became of one change. It returns false if the change is to be
// sent again.
func (c *Cell) settle(now time.Time, ch *change, w table.Written, conflicts map[string]table.Row) bool {
	j := ch.job
	version := w.Version
	if !w.Done {
		touched, done, at := ch.outcome(conflicts)
		if !touched {
			return false
		}
		if !done {
			c.mend(now, ch, conflicts)
			return true
		}
		version = at
	}
	j.row.open = false
	for _, e := range j.unsettled[:ch.ends] {
		e.settle()
	}
	j.unsettled = append([]endRef(nil), j.unsettled[ch.ends:]...)
	switch {
	case ch.final:
		c.close(now, j, version)
	case !j.row.stored:
		j.row.job = version
		c.accept(now, j)
		if len(j.cancels) > 0 {
			c.finish(now, j, work.Cancelled)
		}
	default:
		j.row.progress = version
	}
	return true
}

// outcome tells from the rows that conflicted whether the change was among them, and
// whether that is since an earlier try of it took effect.
func (ch *change) outcome(conflicts map[string]table.Row) (touched, done bool, version int64) {
	done = true
	for _, op := range ch.ops {
		r, ok := conflicts[op.Key]
		touched = touched || ok
		switch {
		case op.Check:
			done = done && !ok
		case op.Delete:
			done = done && ok && r.Version == 0
		default:
			done = done && ok && bytes.Equal(r.Value, op.Value)
			version = max(version, r.Version)
		}
	}
	return touched, done && touched, version
}

// mend takes the rows as they are where another writer has changed them: this is the
// holder, so what it writes next stands.
func (c *Cell) mend(now time.Time, ch *change, conflicts map[string]table.Row) {
	j := ch.job
	j.row.open = false
	c.log("event", "conflict", "job", j.ID, "stored", j.row.stored, "final", ch.final, "rows", len(conflicts))
	if r, ok := conflicts[c.Key(TableEnds, j.ID)]; ok && r.Version != 0 {
		var e Ended
		if json.Unmarshal(r.Value, &e) == nil && e.State.Ended() {
			j.state = e.State
		}
		c.close(now, j, r.Version)
		return
	}
	if r, ok := conflicts[c.Key(TableJobs, j.ID)]; ok {
		j.row.job = r.Version
		if !j.row.stored && r.Version != 0 {
			c.accept(now, j)
		}
	}
	if r, ok := conflicts[c.Key(TableProgress, j.ID)]; ok {
		j.row.progress = r.Version
	}
	j.row.wanted = j.row.wanted || (!ch.final && j.row.stored)
	c.touch(j)
}

// close takes a job off the books whose end is stored in a row of a version, or has
// none.
func (c *Cell) close(now time.Time, j *job, version int64) {
	for _, e := range j.unsettled {
		e.settle()
	}
	j.unsettled = nil
	c.unlist(j)
	c.ended.add(j.ID, final{state: j.state, at: now, version: version})
	if !c.running(j) {
		delete(c.jobs, j.ID)
	}
	j.row.stored = true
	c.Counter.Count("job_"+string(j.state), 1)
	c.Counter.Took("job", now.Sub(j.arrived))
	c.log("event", "end", "job", j.ID, "queue", j.Queue.Name, "state", string(j.state), "took", now.Sub(j.arrived),
		"late", now.After(j.due), "fails", j.failed)
	j.tell(Outcome{Verdict: Accepted, State: j.state})
	j.tellCancel(j.state, true)
	j.tellAsked(j.state)
}

// running reports whether a run of j may be alive.
func (c *Cell) running(j *job) bool {
	for _, step := range j.tasks {
		for _, t := range step {
			if t.run != nil {
				return true
			}
		}
	}
	return false
}

// encode returns v as JSON. All that the cell stores can be encoded.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(noEncoding + err.Error())
	}
	return raw
}

const noEncoding = "cell: a row cannot be encoded: "
