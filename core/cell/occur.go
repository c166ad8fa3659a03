package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// releaseOccurrences closes the occurrences that have ended and releases those whose time has come,
// the ones that are due first before the others. Where many are due at once, those that do not fit
// into the memory of the cell wait until others have ended.
func (c *Cell) releaseOccurrences(now time.Time) {
	var due []*job
	wall := int64(0)
	c.jobMemory, c.heldBack = 0, 0
	for _, j := range c.jobs {
		j.closeEnded()
		c.jobMemory += j.memory()
		if j.released >= j.Occurrences() || !j.row.stored || j.state.Ended() || !j.isHere() {
			continue
		}
		if wall == 0 {
			wall = c.WallClock()
		}
		if j.Due(j.released) <= wall {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Due(a.released), b.Due(b.released)), strings.Compare(a.ID, b.ID))
	})
	for _, j := range due {
		c.releaseDue(now, j, wall)
	}
}

// releaseDue releases the occurrences of j that are due at wall, a wall-clock time in
// milliseconds, as far as there is memory for them. The due time of the job becomes that of the
// latest one.
func (c *Cell) releaseDue(now time.Time, j *job, wall int64) {
	before := j.released
	for j.released < j.Occurrences() && j.Due(j.released) <= wall {
		if _, open := j.find(j.released); !open && !j.ended.contains(j.released) {
			if !c.mayOpen(j) {
				c.heldBack++
				break
			}
			used := j.memory()
			j.openOccurrence(j.released)
			c.jobMemory += j.memory() - used
		}
		j.released++
	}
	if j.released == before {
		return
	}
	c.log("event", "occur", "job", j.ID, "occurrence", j.released-1, "late", wall-j.Due(j.released-1), "open", len(j.open))
	c.removeReady(j)
	j.due = now.Add(c.allowedTime(j))
	j.updateReady()
	c.addReady(j)
	c.schedulePass()
}

// allowedTime returns the time from when a job may begin until its result is late: the
// target of its queue plus the stretched expected run time of its longest chain of steps.
func (c *Cell) allowedTime(j *job) time.Duration {
	chain := j.CriticalPath(func(step int) float64 { return c.expectedRunTime(j, step) })
	return fromMilliseconds(j.Queue.Stretch*chain + float64(j.Queue.TargetLatency))
}
