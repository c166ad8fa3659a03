package cell

import (
	"encoding/json"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// jobEnd is the recorded end of a job.
type jobEnd struct {
	state   work.State
	at      time.Time
	version int64 // version of its row; zero if it has none
	lastRun int   // highest number of its runs; zero if it is not known
	left    bool  // the job is transient and was cancelled since nobody waited for it
}

// endedJobs holds the ends of jobs for as long as they are reported.
type endedJobs struct {
	jobs      map[string]jobEnd
	byEndTime []string // identifiers in order of the end
}

// add records the end of a job. Its time must not be before those already recorded.
func (e *endedJobs) add(id string, end jobEnd) {
	e.jobs[id] = end
	e.byEndTime = append(e.byEndTime, id)
}

// setLeft records whether a transient job was cancelled only since nobody waited for it. The job
// must have ended.
func (e *endedJobs) setLeft(id string, left bool) {
	end := e.jobs[id]
	end.left = left
	e.jobs[id] = end
}

// sweep removes the ends that are older than keep, and calls removeRow for those that have
// a row.
func (e *endedJobs) sweep(now time.Time, keep time.Duration, removeRow func(id string, version int64)) {
	n := 0
	for n < len(e.byEndTime) && now.Sub(e.jobs[e.byEndTime[n]].at) > keep {
		id := e.byEndTime[n]
		if version := e.jobs[id].version; version != 0 {
			removeRow(id, version)
		}
		delete(e.jobs, id)
		n++
	}
	if n > 0 {
		e.byEndTime = append([]string(nil), e.byEndTime[n:]...)
	}
}

// LoadEnds loads the rows of job ends that previous holders wrote. They are reported and
// removed as if the jobs had ended at now. Rows that can't be decoded are logged and left
// unchanged.
func (c *Cell) LoadEnds(now time.Time, rows []table.Row) {
	for _, row := range rows {
		id := nameFromKey(row.Key)
		var e EndRow
		if err := json.Unmarshal(row.Value, &e); err != nil || !e.State.Ended() {
			c.log("event", "badrow", "key", row.Key, "err", err)
			continue
		}
		if _, known := c.endedJobs.jobs[id]; !known && c.jobs[id] == nil {
			c.endedJobs.add(id, jobEnd{state: e.State, at: now, version: row.Version})
		}
	}
}

// queueRemoval schedules the removal of the row of an end.
func (c *Cell) queueRemoval(id string, version int64) {
	c.writer.removals = append(c.writer.removals, table.Op{Key: c.Key(TableEnds, id), IfVersion: version, Delete: true})
}

// maxRemovals is the maximum number of rows of ends that one transaction removes.
const maxRemovals = maxEntries / 2

// nextRemovals returns a transaction that removes rows of ends, or nil if none is due.
func (c *Cell) nextRemovals() *transaction {
	n := min(len(c.writer.removals), maxRemovals)
	if n == 0 {
		return nil
	}
	tx := &transaction{backoff: minWriteBackoff, removals: append([]table.Op(nil), c.writer.removals[:n]...)}
	c.writer.removals = c.writer.removals[n:]
	return tx
}
