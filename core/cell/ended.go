package cell

import (
	"encoding/json"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// final is the end of a job.
type final struct {
	state   work.State
	at      time.Time
	version int64 // of its row; zero if it has none
}

// ended keeps the ends of jobs for as long as they are told.
type ended struct {
	jobs  map[string]final
	order []string // by the time of the end
}

func (e *ended) add(id string, f final) {
	e.jobs[id] = f
	e.order = append(e.order, id)
}

// sweep forgets ends that are older than keep, and calls drop with those that have a
// row.
func (e *ended) sweep(now time.Time, keep time.Duration, drop func(id string, version int64)) {
	n := 0
	for n < len(e.order) && now.Sub(e.jobs[e.order[n]].at) > keep {
		id := e.order[n]
		if version := e.jobs[id].version; version != 0 {
			drop(id, version)
		}
		delete(e.jobs, id)
		n++
	}
	if n > 0 {
		e.order = append([]string(nil), e.order[n:]...)
	}
}

// LoadEnds takes rows of the ends of jobs that a former holder wrote. They are told,
// and removed, as if the jobs had ended now.
func (c *Cell) LoadEnds(now time.Time, rows []table.Row) {
	for _, row := range rows {
		id := name(row.Key)
		var e Ended
		if err := json.Unmarshal(row.Value, &e); err != nil || !e.State.Ended() {
			c.log("event", "badrow", "key", row.Key, "err", err)
			continue
		}
		if _, known := c.ended.jobs[id]; !known && c.jobs[id] == nil {
			c.ended.add(id, final{state: e.State, at: now, version: row.Version})
		}
	}
}

// expire marks the row of an end as to be removed.
func (c *Cell) expire(id string, version int64) {
	c.ledger.expired = append(c.ledger.expired, table.Op{Key: c.Key(TableEnds, id), If: version, Delete: true})
}

// sweepSize is how many rows of ends one transaction removes.
const sweepSize = maxEntries / 2

// gatherExpired takes rows of ends that are to be removed into a flight, or returns
// nil if there are none.
func (c *Cell) gatherExpired() *flight {
	n := min(len(c.ledger.expired), sweepSize)
	if n == 0 {
		return nil
	}
	f := &flight{pause: firstPause, drops: append([]table.Op(nil), c.ledger.expired[:n]...)}
	c.ledger.expired = c.ledger.expired[n:]
	return f
}
