package cell

import (
	"slices"
	"time"

	"gypsumward/core/fingerprint"
)

// maxRunnerSets is the number of the latest sets of runners whose reports are recognized.
const maxRunnerSets = 16

// runnerSets holds the latest of the sets of runners that may have runs. They are numbered from
// 1 in the order in which they came up.
type runnerSets struct {
	latest   []fingerprint.Set // at most maxRunnerSets
	number   int               // of the last of latest
	reported int               // highest number of a set that is known to be in the row of the heartbeat
}

// add adds the next set.
func (s *runnerSets) add(set fingerprint.Set) {
	if len(s.latest) == maxRunnerSets {
		s.latest = slices.Delete(s.latest, 0, 1)
	}
	s.latest = append(s.latest, set)
	s.number++
}

// report records that a set is in the row of the heartbeat.
func (s *runnerSets) report(set fingerprint.Set) {
	for i, other := range slices.Backward(s.latest) {
		if other == set {
			s.reported = max(s.reported, s.number-len(s.latest)+1+i)
			return
		}
	}
}

// RunnerSet returns the fingerprint of the ids of the runners that may have runs, or get some
// without becoming listed first. It is zero while there may be runs of previous holders on
// others.
func (c *Cell) RunnerSet(now time.Time) fingerprint.Set {
	if !c.accounted() {
		return 0
	}
	c.updateRunnerSet(now)
	return c.sets.latest[len(c.sets.latest)-1]
}

// updateRunnerSet adds the next set if runners have come or gone.
func (c *Cell) updateRunnerSet(now time.Time) {
	changed := c.sets.number == 0
	for _, r := range c.sorted {
		if member := r.inDirectory || r.inGrace(now) || len(r.runs) > 0; !member {
			changed = changed || r.memberSince > 0
			r.memberSince = 0
		} else if r.memberSince == 0 {
			changed = true
			r.memberSince = c.sets.number + 1
		}
	}
	if changed {
		c.sets.add(fingerprint.Of(func(yield func(string) bool) {
			for _, r := range c.sorted {
				if r.memberSince > 0 && !yield(r.ID) {
					return
				}
			}
		}))
	}
}

// Reported records that a heartbeat with a set returned by RunnerSet has been written. Runners
// get work once they are in such a set, so that the next holder looks for their runs.
func (c *Cell) Reported(set fingerprint.Set) {
	c.sets.report(set)
	c.schedulePass()
}

// isReported reports whether the next holder will look for runs on r, since it has read no
// heartbeat with a set of runners or one with r.
func (c *Cell) isReported(r *runner) bool {
	return !c.accounted() || (r.memberSince > 0 && r.memberSince <= max(c.sets.reported, 1))
}
