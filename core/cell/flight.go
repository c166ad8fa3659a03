package cell

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// Pauses between tries of a write.
const (
	firstPause = 30 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

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
