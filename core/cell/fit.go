package cell

import (
	"slices"
	"time"

	"gypsumward/core/work"
)

// suits reports whether r may run tasks of a step of a job of the given service, whatever room is
// left on it: it is a runner of the service with the label that the step requires. Admission and
// placement both depend on it.
func (r *runner) suits(s *work.Step, service string) bool {
	return r.Service == service && (s.RequiredLabel == "" || slices.Contains(r.Labels, s.RequiredLabel))
}

// places returns how many tasks of a step r may run beside what leaves the given room.
func (r *runner) places(s *work.Step, room Resources) int {
	n := room.capacityFor(requirements(s))
	if s.MaxPerRunner > 0 {
		n = min(n, s.MaxPerRunner)
	}
	return n
}

// tasksAtOnce returns how many tasks of a step have to run at the same time, at the least.
func tasksAtOnce(s *work.Step) int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// fits reports whether the runners would hold the tasks of a step that have to run at the same time
// if they were idle. Runners that get no new work do not count, nor do those that are silent at now for
// longer than a limit, if that is not zero.
func (c *Cell) fits(now time.Time, s *work.Step, service string, silence time.Duration) bool {
	return c.fitsOn(now, s, service, silence, (*runner).receivesWork)
}

// fitsOn is like fits for the runners for which counts returns true.
func (c *Cell) fitsOn(now time.Time, s *work.Step, service string, silence time.Duration, counts func(*runner) bool) bool {
	wanted := tasksAtOnce(s)
	for _, r := range c.sorted {
		if wanted <= 0 {
			break
		}
		if r.suits(s, service) && r.isListed(now) && counts(r) && (silence == 0 || !r.isSilent(now, silence)) {
			wanted -= r.places(s, r.Capacity)
		}
	}
	return wanted <= 0
}

// fitsIdleRunners reports whether each step of j would fit if all runners were idle: one
// task on a single runner, a gang on all runners together.
func (c *Cell) fitsIdleRunners(now time.Time, j *job) bool {
	for s := range j.Steps {
		if !c.fits(now, &j.Steps[s], j.Queue.Service, 0) {
			return false
		}
	}
	return true
}
