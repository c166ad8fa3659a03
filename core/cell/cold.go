package cell

import (
	"math"
	"time"
)

// A runner is cold for a time after an evacuation of its data centre has ended, as its entry in the
// directory says. It is slower then, gets tasks after warm runners that would finish them in time, and its
// runs say nothing about how fast it is once it is warm.

// Bounds of the speed of a cold runner, as a factor of its warm one.
const (
	initialColdFactor = 0.5 // until a cold runner of the kind has finished a run
	minColdFactor     = 1.0 / 32
	maxColdFactor     = 1.0
	coldWindow        = 50.0 // runs in the moving average of a kind
)

// coldSpeed is the speed of the cold runners of a kind as a factor of their warm one. The zero value is
// that of a kind of which no cold runner has finished a run.
type coldSpeed struct {
	meanLog float64
	samples float64
}

// factor returns the estimated factor.
func (s *coldSpeed) factor() float64 {
	if s.samples == 0 {
		return initialColdFactor
	}
	return math.Exp(s.meanLog)
}

// update adds the factor that one run has shown.
func (s *coldSpeed) update(factor float64) {
	log := math.Log(min(max(factor, minColdFactor), maxColdFactor))
	s.samples = min(s.samples+1, coldWindow)
	s.meanLog += (log - s.meanLog) / s.samples
}

// readCold notes for how long r stays cold by its entry in the directory, which replaces the present one.
// The time counts from the first read of an entry: it is read again unchanged until it is rewritten.
func (r *runner) readCold(now time.Time, entry RunnerInfo) {
	if r.coldRead && entry.Version == r.Version && entry.ColdFor == r.ColdFor && entry.Incarnation == r.Incarnation {
		return
	}
	r.coldRead = true
	if entry.ColdFor > 0 || r.isCold(now) {
		r.coldUntil = now.Add(max(entry.ColdFor, 0))
	}
}

// isCold reports whether r is cold at now.
func (r *runner) isCold(now time.Time) bool { return now.Before(r.coldUntil) }

// ColdRunners returns the number of runners in the directory that are cold at now.
func (c *Cell) ColdRunners(now time.Time) int {
	n := 0
	for _, r := range c.sorted {
		if r.isCold(now) && r.isListed(now) {
			n++
		}
	}
	return n
}

// coldRate returns the estimated speed of r while it is cold.
func (r *runner) coldRate() float64 {
	if r.speed.kind == nil {
		return r.speed.rate() * initialColdFactor
	}
	return r.speed.rate() * r.speed.kind.cold.factor()
}

// rate returns the estimated speed of r for tasks that are started at now.
func (r *runner) rate(now time.Time) float64 {
	if r.isCold(now) {
		return r.coldRate()
	}
	return r.speed.rate()
}

// wasCold reports whether the runner of x was cold at some time since x was started.
func (x *run) wasCold() bool { return x.startedCold || x.startAnswered.Before(x.runner.coldUntil) }

// rate returns the estimated speed of the runner of x for x.
func (x *run) rate() float64 {
	if x.wasCold() {
		return x.runner.coldRate()
	}
	return x.runner.speed.rate()
}

// recordColdRun records the speed, as a factor of the expected one, of a run on a runner that was cold at
// some time. If it was cold all the time, that is how fast cold runners of its kind are.
func (c *Cell) recordColdRun(now time.Time, x *run, ratio float64) {
	c.Metrics.Count("cold_runs", 1)
	if r := x.runner; x.startedCold && r.isCold(now) && r.speed.kind != nil {
		r.speed.kind.cold.update(ratio / r.speed.rate())
	}
}

// speedScore rates a runner by whether it would finish a task in time. All else equal that is the slowest
// warm runner that would, then the fastest cold one that would, else the fastest.
func speedScore(rate float64, inTime, cold bool) float64 {
	switch {
	case inTime && !cold:
		return 10 - rate
	case inTime:
		return 1 + rate // above that of a warm runner that would not, which is slower
	default:
		return rate
	}
}
