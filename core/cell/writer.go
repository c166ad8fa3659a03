package cell

import (
	"maps"
	"slices"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// maxEntries is the maximum number of conditions and changes of jobs in a transaction. One
// more is the condition on the holder's row.
const maxEntries = table.MaxOpsPerWrite - 2

// maxBytes is the maximum size of the values in a transaction. A single change may exceed
// it.
const maxBytes = 512 << 10

// storeDownAfter is how long writes must have failed before new jobs are refused.
const storeDownAfter = 300 * time.Millisecond

// change is the part of a transaction that concerns one job.
type change struct {
	job     *job
	ops     []table.Op
	parts   []int // parts of the progress that it writes
	through int   // number of the last end with its effects in them
	endsJob bool  // it stores the end of the job

	placesJob bool // it stores another place of the job
	dropsJob  bool // it removes the rows of a job that is at its home again
}

// rowWriter is the state of the writes of job rows.
type rowWriter struct {
	lastNumber   int64
	dirty        []*job
	transactions map[int64]*transaction
	removals     []table.Op // removals of rows of ends that are due
	failingSince time.Time  // since when writes fail; zero if the last one succeeded
	meanLatency  time.Duration
}

// inFlight returns the number of transactions in flight, without those that the store refuses.
func (w *rowWriter) inFlight() int {
	n := 0
	for _, tx := range w.transactions {
		if !tx.malformed {
			n++
		}
	}
	return n
}

// observeLatency adds the latency of a write to the moving average.
func (w *rowWriter) observeLatency(d time.Duration) { w.meanLatency += (d - w.meanLatency) / 8 }

// endLatency returns the expected time from when the last task of j has ended until j has: that
// of the write of its end, unless it is transient.
func (c *Cell) endLatency(j *job) time.Duration {
	if j.Transient {
		return 0
	}
	return c.writer.meanLatency
}

// markDirty schedules a write of the rows of j.
func (c *Cell) markDirty(j *job) {
	if !j.row.dirty {
		j.row.dirty = true
		c.writer.dirty = append(c.writer.dirty, j)
	}
}

// storeDown reports whether writes have failed for longer than storeDownAfter.
func (c *Cell) storeDown(now time.Time) bool {
	return !c.writer.failingSince.IsZero() && now.Sub(c.writer.failingSince) > storeDownAfter
}

// flush sends the writes that are due, new ones up to Settings.MaxWrites in flight.
func (c *Cell) flush(now time.Time) {
	if c.deposed || !c.loaded {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(c.writer.transactions)) {
		tx := c.writer.transactions[number]
		if !tx.retryAt.IsZero() && !now.Before(tx.retryAt) {
			c.send(now, tx)
		}
	}
	for c.writer.inFlight() < c.Settings.MaxWrites {
		tx := c.nextChanges()
		if tx == nil {
			tx = c.nextRemovals()
		}
		if tx == nil {
			return
		}
		c.send(now, tx)
	}
}

// nextChanges returns a transaction with the changes of dirty jobs, or nil if there are
// none. Jobs with a write in flight stay dirty.
func (c *Cell) nextChanges() *transaction {
	tx := &transaction{backoff: minWriteBackoff}
	entries, size := 0, 0
	kept := c.writer.dirty[:0]
	for i, j := range c.writer.dirty {
		if j.row.inFlight {
			kept = append(kept, j)
			continue
		}
		ch := c.nextChange(j)
		if ch == nil {
			j.row.dirty = false
			continue
		}
		changeSize, changeEntries := sizeOf(ch.ops)
		if len(tx.changes) > 0 && (entries+changeEntries > maxEntries || size+changeSize > maxBytes) {
			kept = append(kept, c.writer.dirty[i:]...)
			break
		}
		entries += changeEntries
		size += changeSize
		ch.markSent()
		j.row.inFlight = true
		j.row.dirty = !ch.endsJob && j.hasDuePart()
		if j.row.dirty {
			kept = append(kept, j)
		}
		tx.changes = append(tx.changes, ch)
	}
	clear(c.writer.dirty[len(kept):])
	c.writer.dirty = kept
	if len(tx.changes) == 0 {
		return nil
	}
	return tx
}

// sizeOf returns the total size of the values of ops in bytes, and their number of
// conditions and changes.
func sizeOf(ops []table.Op) (size, entries int) {
	for i := range ops {
		size += len(ops[i].Value)
		if ops[i].IfVersion != table.AnyVersion {
			entries++
		}
		if !ops[i].CheckOnly {
			entries++
		}
	}
	return size, entries
}

// nextChange returns the change to write for j now, or nil if there is none.
func (c *Cell) nextChange(j *job) *change {
	switch {
	case j.placing:
		return nil
	case !j.row.stored:
		ch := &change{job: j, ops: []table.Op{
			{Key: c.Key(TableJobs, j.ID), Value: encodeJob(&j.Job, j.place)},
			{Key: c.Key(TableEnds, j.ID), IfVersion: j.row.endVersion, CheckOnly: j.row.endVersion == 0, Delete: j.row.endVersion != 0},
		}}
		if j.place.Home != "" {
			c.addAllParts(ch)
		}
		return ch
	case j.row.dropDue:
		return &change{job: j, ops: c.endOps(j, work.Unknown), dropsJob: true}
	case j.state.Ended():
		return &change{job: j, ops: c.endOps(j, j.state), endsJob: true}
	case j.row.placeDue:
		return c.placeChange(j)
	case j.hasDuePart():
		return c.progressChange(j)
	}
	return nil
}

// endOps returns the operations that replace the rows of j and its progress by that of an end.
func (c *Cell) endOps(j *job, state work.State) []table.Op {
	end := EndRow{State: state}
	if j.place.Home != "" {
		end.Home, end.Number = j.place.Home, j.place.Number
	}
	ops := []table.Op{
		{Key: c.Key(TableEnds, j.ID), Value: encode(end)},
		{Key: c.Key(TableJobs, j.ID), IfVersion: j.row.jobVersion, Delete: true},
	}
	for p, part := range j.row.parts {
		if part.version != 0 {
			ops = append(ops, table.Op{Key: c.partKey(j, p), IfVersion: part.version, Delete: true})
		}
	}
	return ops
}

// closeJob completes a job whose end is stored in a row of the given version, or which has
// no row if the version is zero. It notifies all waiting callers. The job is kept while one
// of its runs may be alive.
func (c *Cell) closeJob(now time.Time, j *job, version int64) {
	for _, e := range j.unstoredEnds {
		e.markStored()
	}
	j.unstoredEnds = nil
	c.removeReady(j)
	c.endedJobs.add(j.ID, jobEnd{state: j.state, at: now, version: version, lastRun: j.lastRun(), home: j.place.Home, number: j.place.Number})
	if !c.hasRuns(j) {
		delete(c.jobs, j.ID)
	}
	j.row.stored = true
	c.Metrics.Count("job_"+string(j.state), 1)
	c.Metrics.Observe("job", now.Sub(j.arrived))
	c.log("event", "end", "job", j.ID, "queue", j.Queue.Name, "state", string(j.state), "took", now.Sub(j.arrived),
		"late", now.After(j.due), "fails", j.failureCount)
	j.notifyWaiters(Outcome{Verdict: Accepted, State: j.state})
	j.answerCancels(j.state, true)
	j.answerQueries(j.state)
}

// hasRuns reports whether any run of j may be alive.
func (c *Cell) hasRuns(j *job) bool {
	for range j.runs() {
		return true
	}
	return false
}
