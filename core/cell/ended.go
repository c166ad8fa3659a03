package cell

import (
	"encoding/json"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// jobEnd is the recorded end of a job.
type jobEnd struct {
	state   work.State // work.Unknown if the job has returned to its home
	at      time.Time
	version int64 // version of its row; zero if it has none
	lastRun int   // highest number of its runs; zero if it is not known
	left    bool  // the job is transient and was cancelled since nobody waited for it

	home   string // cell to which the job belongs, if it is another one and has not taken note of the end
	number int    // of the move by which this cell had got the job
}

// endedJobs holds the ends of jobs for as long as they are reported.
type endedJobs struct {
	jobs      map[string]jobEnd
	byEndTime []string        // identifiers in order of the end
	unnoted   map[string]bool // identifiers of those with a home
}

// add records the end of a job. Its time must not be before those already recorded.
func (e *endedJobs) add(id string, end jobEnd) {
	e.jobs[id] = end
	e.byEndTime = append(e.byEndTime, id)
	if end.home != "" {
		if e.unnoted == nil {
			e.unnoted = map[string]bool{}
		}
		e.unnoted[id] = true
	}
}

// setNoted records that the home of a job has taken note of its end.
func (e *endedJobs) setNoted(id string) {
	if !e.unnoted[id] {
		return
	}
	delete(e.unnoted, id)
	end := e.jobs[id]
	end.home = ""
	e.jobs[id] = end
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
		if end := e.jobs[id]; end.home != "" { // its home would take the job for one that goes on
			end.at = now
			e.jobs[id] = end
			e.byEndTime = append(e.byEndTime, id)
			n++
			continue
		}
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
		if err := json.Unmarshal(row.Value, &e); err != nil || (!e.State.Ended() && !e.returned()) {
			c.log("event", "badrow", "key", row.Key, "err", err)
			continue
		}
		if _, known := c.endedJobs.jobs[id]; !known && c.jobs[id] == nil {
			c.endedJobs.add(id, e.end(now, row.Version))
		}
	}
}

// returned reports whether the row says that the job has returned to its home.
func (e EndRow) returned() bool { return e.State == work.Unknown && e.Number > 0 }

// end returns the end that a row of the given version holds. The home of a job that has returned to it
// need not take note of that.
func (e EndRow) end(now time.Time, version int64) jobEnd {
	end := jobEnd{state: e.State, at: now, version: version, number: e.Number}
	if !e.returned() {
		end.home = e.Home
	}
	return end
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
