package cell

import (
	"maps"
	"slices"
	"time"

	"gypsumward/core/table"
)

// maxEntries is how many conditions and changes a transaction takes from jobs; one
// more is for the holder.
const maxEntries = table.MaxOps - 2

// maxBytes is how many bytes of values a transaction takes.
const maxBytes = 512 << 10

// doubtful is how long writes fail until new jobs are refused.
const doubtful = 300 * time.Millisecond

// change is what one transaction writes of one job.
type change struct {
	job   *job
	ops   []table.Op
	ends  int  // of job.unsettled, that the rows then hold
	final bool // it ends the job
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
