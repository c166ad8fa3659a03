package cell

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// Limits of the back-off between attempts of a write. It doubles with each failure.
const (
	minWriteBackoff = 30 * time.Millisecond
	maxWriteBackoff = 400 * time.Millisecond
)

// transaction is a write transaction that is in flight or waits for another attempt.
type transaction struct {
	number         int64
	changes        []*change
	removals       []table.Op // removals of rows; one that conflicts is dropped
	sent           time.Time
	retryAt        time.Time // time of the next attempt; zero while one is in flight
	backoff        time.Duration
	mayHaveApplied bool // an attempt may have taken effect
	malformed      bool // the store refuses it, so it takes no place of others
}

// send sends a transaction under a new number, for the first time or as another attempt.
// It is conditional on the version of the holder's row.
func (c *Cell) send(now time.Time, tx *transaction) {
	c.writer.lastNumber++
	delete(c.writer.transactions, tx.number)
	tx.number, tx.sent, tx.retryAt = c.writer.lastNumber, now, time.Time{}
	c.writer.transactions[tx.number] = tx
	w := table.Write{Ops: []table.Op{{Key: c.Term.HolderKey, IfVersion: c.Term.Epoch, CheckOnly: true}}}
	for _, ch := range tx.changes {
		w.Ops = append(w.Ops, ch.ops...)
	}
	w.Ops = append(w.Ops, tx.removals...)
	c.Metrics.Count("writes", 1)
	c.Store.Write(tx.number, w)
}

// WriteResult is the result of a write.
type WriteResult struct {
	Written    table.Written
	Failed     bool // no result was received, or the write was refused
	NotApplied bool // the write failed and certainly never takes effect
	Malformed  bool // the store never accepts the write as it is
}

// WriteAnswered processes the result of the write with a number. Results of unknown
// numbers are ignored.
func (c *Cell) WriteAnswered(now time.Time, number int64, result WriteResult) {
	tx := c.writer.transactions[number]
	if tx == nil || c.deposed {
		return
	}
	if result.Failed {
		if result.Malformed {
			c.setApart(now, tx)
			return
		}
		c.handleWriteFailure(now, tx, result.NotApplied)
		return
	}
	c.Metrics.Observe("write", now.Sub(tx.sent))
	c.writer.observeLatency(now.Sub(tx.sent))
	if !c.writer.failingSince.IsZero() {
		c.log("event", "store", "state", "back", "after", now.Sub(c.writer.failingSince))
	}
	c.writer.failingSince = time.Time{}
	delete(c.writer.transactions, number)
	conflicts := map[string]table.Row{}
	for _, r := range result.Written.Conflicts {
		conflicts[r.Key] = r
	}
	if _, holderChanged := conflicts[c.Term.HolderKey]; holderChanged && !result.Written.Committed {
		c.Depose(now, "the holder's row has changed")
		return
	}
	var unresolved []*change
	for _, ch := range tx.changes {
		if !c.resolveChange(now, ch, result.Written, conflicts) {
			unresolved = append(unresolved, ch)
		}
	}
	tx.removals = slices.DeleteFunc(tx.removals, func(op table.Op) bool {
		_, conflict := conflicts[op.Key]
		return result.Written.Committed || conflict
	})
	if len(unresolved) > 0 || len(tx.removals) > 0 {
		tx.changes, tx.mayHaveApplied, tx.backoff = unresolved, false, minWriteBackoff
		c.send(now, tx)
	}
	c.schedulePass()
}

// handleWriteFailure schedules another attempt of a write that was not answered or was
// refused. If no attempt can have taken effect, the jobs that it was to insert are refused
// instead.
func (c *Cell) handleWriteFailure(now time.Time, tx *transaction, notApplied bool) {
	if c.writer.failingSince.IsZero() {
		c.writer.failingSince = now
		c.log("event", "store", "state", "failing", "not", notApplied, "took", now.Sub(tx.sent), "changes", len(tx.changes))
	}
	tx.mayHaveApplied = tx.mayHaveApplied || !notApplied
	if !tx.mayHaveApplied {
		tx.changes = slices.DeleteFunc(tx.changes, func(ch *change) bool { return c.refuseUnstored(ch, ReasonStore) })
	}
	if len(tx.changes) == 0 && len(tx.removals) == 0 {
		delete(c.writer.transactions, tx.number)
		return
	}
	tx.retryAt = now.Add(tx.backoff)
	tx.backoff = min(2*tx.backoff, maxWriteBackoff)
}

// setApart handles a write that the store refuses as malformed and would refuse again: it is
// divided until the change at fault is found. The job of that change gets an answer: one that is
// not stored yet is refused, and one whose progress cannot be stored fails.
func (c *Cell) setApart(now time.Time, tx *transaction) {
	delete(c.writer.transactions, tx.number)
	c.schedulePass()
	if n := len(tx.changes); n > 1 || (n == 1 && len(tx.removals) > 0) {
		c.send(now, &transaction{changes: tx.changes[:n/2], removals: tx.removals, backoff: minWriteBackoff, mayHaveApplied: tx.mayHaveApplied})
		c.send(now, &transaction{changes: tx.changes[n/2:], backoff: minWriteBackoff, mayHaveApplied: tx.mayHaveApplied})
		return
	}
	if len(tx.changes) == 0 {
		c.log("event", "badwrite", "removals", len(tx.removals))
		return
	}
	ch := tx.changes[0]
	size, entries := sizeOf(ch.ops)
	c.Metrics.Count("badwrite", 1)
	c.log("event", "badwrite", "job", ch.job.ID, "stored", ch.job.row.stored, "final", ch.endsJob, "bytes", size, "entries", entries)
	switch {
	case c.refuseUnstored(ch, ReasonTooLarge):
	case ch.endsJob:
		tx.malformed, tx.retryAt = true, now.Add(malformedRetry)
		c.writer.transactions[tx.number] = tx
	default:
		ch.job.row.inFlight = false
		c.finish(now, ch.job, work.Failed)
	}
}

// malformedRetry is the time between two attempts to write the end of a job that the store refuses.
const malformedRetry = 5 * time.Second

// refuseUnstored refuses the job of a change whose insert certainly did not take effect, for the
// reason given. It returns false if the change is not the insert of a job.
func (c *Cell) refuseUnstored(ch *change, reason string) bool {
	j := ch.job
	if j.row.stored || ch.endsJob {
		return false
	}
	delete(c.jobs, j.ID)
	c.Metrics.Count("refused_"+reason, 1)
	c.log("event", "refuse", "job", j.ID, "queue", j.Queue.Name, "reason", reason)
	j.notifyWaiters(Outcome{Verdict: Refused, Reason: reason, RetryAfter: time.Second})
	j.answerCancels(work.Unknown, true)
	return true
}

// resolveChange applies the result of a write to one of its changes. It returns false if
// the change must be sent again.
func (c *Cell) resolveChange(now time.Time, ch *change, w table.Written, conflicts map[string]table.Row) bool {
	j := ch.job
	version := w.Version
	if !w.Committed {
		conflicted, applied, appliedVersion := ch.outcome(conflicts)
		if !conflicted {
			return false
		}
		if !applied {
			c.resolveConflict(now, ch, conflicts)
			return true
		}
		version = appliedVersion
	}
	j.row.inFlight = false
	switch {
	case ch.endsJob:
		c.closeJob(now, j, version)
	case ch.dropsJob:
		c.dropJob(now, j, version)
	case !j.row.stored:
		ch.setVersions(version)
		j.row.jobVersion = version
		c.acceptStored(now, j)
	case ch.placesJob:
		ch.setVersions(version)
		j.row.jobVersion = version
		c.placeStored(now, j)
	default:
		ch.setVersions(version)
		j.ackStored()
	}
	return true
}

// setVersions records the version of the rows of the parts in ch, which are stored.
func (ch *change) setVersions(version int64) {
	for _, p := range ch.parts {
		part := &ch.job.row.parts[p]
		part.version, part.storedThrough = version, ch.through
	}
}

// dropJob forgets a job that is at its home again.
func (c *Cell) dropJob(now time.Time, j *job, version int64) {
	c.log("event", "returned", "job", j.ID, "number", j.place.Number)
	c.endedJobs.add(j.ID, jobEnd{at: now, version: version, number: j.place.Number})
	c.removeReady(j)
	delete(c.jobs, j.ID)
	for _, reply := range j.taken {
		reply(true)
	}
	j.answerCancels(work.Unknown, false)
	j.answerQueries(work.Unknown)
}

// outcome determines from the conflicting rows whether the change is among the causes of
// the conflict, and whether that is because an earlier attempt has applied it. Version is
// then the highest version of the rows written.
func (ch *change) outcome(conflicts map[string]table.Row) (conflicted, applied bool, version int64) {
	applied = true
	for _, op := range ch.ops {
		r, ok := conflicts[op.Key]
		conflicted = conflicted || ok
		switch {
		case op.CheckOnly:
			applied = applied && !ok
		case op.Delete:
			applied = applied && ok && r.Version == 0
		default:
			applied = applied && ok && bytes.Equal(r.Value, op.Value)
			version = max(version, r.Version)
		}
	}
	return conflicted, applied && conflicted, version
}

// resolveConflict adopts the versions of rows that another writer has changed. Since this
// instance is the holder, its next write replaces them. The end of a job that is already
// stored is final.
func (c *Cell) resolveConflict(now time.Time, ch *change, conflicts map[string]table.Row) {
	j := ch.job
	j.row.inFlight = false
	c.log("event", "conflict", "job", j.ID, "stored", j.row.stored, "final", ch.endsJob, "rows", len(conflicts))
	if r, ok := conflicts[c.Key(TableEnds, j.ID)]; ok && r.Version != 0 {
		var e EndRow
		if json.Unmarshal(r.Value, &e) == nil && e.returned() && e.Number < j.place.Number {
			j.row.endVersion = r.Version
			c.markDirty(j)
			return
		}
		if e.returned() { // it was passed on once more before it did
			c.dropJob(now, j, r.Version)
			return
		}
		if e.State.Ended() {
			j.state = e.State
		}
		c.closeJob(now, j, r.Version)
		return
	}
	if r, ok := conflicts[c.Key(TableJobs, j.ID)]; ok {
		j.row.jobVersion = r.Version
		if !j.row.stored && r.Version != 0 {
			if _, place, err := DecodeJob(r); err == nil {
				j.place = place
			}
			c.acceptStored(now, j)
		}
	}
	for p := range j.row.parts {
		if r, ok := conflicts[c.partKey(j, p)]; ok {
			j.row.parts[p].version = r.Version
		}
	}
	j.markPartsDue(ch.parts)
	if len(ch.parts) == 0 && !ch.endsJob && j.row.stored {
		for p := range j.row.parts { // rows of progress may be there too
			j.row.parts[p].due = true
		}
	}
	c.markDirty(j)
}
