package cell

import (
	"slices"
	"strings"
	"time"
)

// occur releases the occurrences of scheduled jobs whose time has come. The due time
// of the job becomes that of the latest one.
func (c *Cell) occur(now time.Time) {
	var come []*job
	wall := int64(0)
	for _, j := range c.jobs {
		if j.occurring >= j.Occurrences() || !j.row.stored || j.state.Ended() {
			continue
		}
		if wall == 0 {
			wall = c.Wall()
		}
		if j.Due(j.occurring) <= wall {
			come = append(come, j)
		}
	}
	slices.SortFunc(come, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range come {
		c.begin(now, j, wall)
	}
}

// begin releases the occurrences of j that are due.
func (c *Cell) begin(now time.Time, j *job, wall int64) {
	for j.occurring < j.Occurrences() && j.Due(j.occurring) <= wall {
		j.occurring++
	}
	c.log("event", "occur", "job", j.ID, "occurrence", j.occurring-1, "late", wall-j.Due(j.occurring-1))
	c.unlist(j)
	j.due = now.Add(c.allowed(j))
	j.refresh()
	c.enlist(j)
	c.wake()
}

// allowed returns the time from when a job may begin until its answer is late.
func (c *Cell) allowed(j *job) time.Duration {
	chain := j.Chain(func(step int) float64 { return c.expected(j, step) })
	return span(j.Queue.Stretch*chain + float64(j.Queue.Target))
}
