package cell

import (
	"math"
	"time"
)

// Times at which the progress of a run is asked for, in multiples of its expected run
// time, and their least distance. The reply to a long poll tells the same, but it may be
// lost, and a slow run is noticed before its end only by its progress.
const (
	earlyLook   = 0.5
	overdueLook = 1.25
	laterLooks  = 0.5 // of the time that has passed
	minLookTime = 30 * time.Millisecond
)

// soundTime is the time since the last success of a runner for which it needs no early
// looks.
const soundTime = 300 * time.Millisecond

// expectedOn returns the expected time of a run on its runner.
func (c *Cell) expectedOn(x *run) time.Duration {
	return fromMilliseconds(c.expectedRunTime(x.task.job, x.task.step) / x.rate())
}

// lookAtRuns asks r for the progress of its runs if that of one is due.
func (c *Cell) lookAtRuns(now time.Time, r *runner) {
	if r.probeTicket != 0 || !r.unansweredSince.IsZero() {
		return
	}
	due := false
	for _, x := range r.runs {
		if !x.hasExpectedEnd() {
			continue
		}
		if x.lookAt.IsZero() {
			x.lookAt = x.startAnswered.Add(c.firstLook(now, x))
		}
		if now.Before(x.lookAt) {
			continue
		}
		due = due || r.confirmedHold.Before(x.lookAt)
		elapsed := now.Sub(x.startAnswered)
		x.lookAt = now.Add(max(minLookTime, time.Duration(laterLooks*float64(elapsed))))
		if overdue := x.startAnswered.Add(time.Duration(overdueLook * float64(c.expectedOn(x)))); overdue.After(now) {
			x.lookAt = overdue
		}
	}
	if due {
		c.Metrics.Count("looks", 1)
		c.sendHold(now, r, 0)
	}
}

// firstLook returns how long after its start the progress of a run is first asked for.
func (c *Cell) firstLook(now time.Time, x *run) time.Duration {
	factor := earlyLook
	if now.Sub(x.runner.health.successAt) < soundTime {
		factor = overdueLook
	}
	return max(minLookTime, time.Duration(factor*float64(c.expectedOn(x))))
}

// hasExpectedEnd reports whether x runs a task of which the end can be expected.
func (x *run) hasExpectedEnd() bool {
	return x.task != nil && x.stopSent.IsZero() && !x.startAnswered.IsZero() && !x.task.spec().LongRunning && !x.task.spec().Opportunistic
}

// A run that by its progress takes slowFactor times as long as one elsewhere, and
// slowMargin more, is worth starting again.
const (
	slowFactor = 2.6
	slowMargin = 60 * time.Millisecond
	// leastPercent is the progress that a run without any is taken to have made.
	leastPercent = 5.0
)

// measuredTotal returns the run time of x by its last reported progress, given the
// expected time of a run elsewhere. Ok is false if it has reported none, or too early to
// tell.
func (x *run) measuredTotal(elsewhere time.Duration) (total time.Duration, ok bool) {
	reportedAfter := x.percentAt.Sub(x.startAnswered)
	if x.resumed || reportedAfter < max(minLookTime, elsewhere/4) {
		return 0, false
	}
	return time.Duration(float64(reportedAfter) * 100 / max(x.percent, leastPercent)), true
}

// moveSlowRuns applies stopIfHung and moveIfSlow to all runs of r.
func (c *Cell) moveSlowRuns(now time.Time, r *runner) {
	for _, x := range r.sortedRuns() {
		if !c.stopIfHung(now, x) {
			c.moveIfSlow(now, x)
		}
	}
}

// moveIfSlow stops a run that by its progress ends too late, and much later than a new one
// on another runner that has capacity now. A task is moved once only, since one that takes
// long everywhere looks the same.
func (c *Cell) moveIfSlow(now time.Time, x *run) {
	if c.draining || !x.hasExpectedEnd() || len(x.task.triedRunners) > 0 || x.task.job.gang(x.task.step) != nil {
		return
	}
	expected := c.expectedRunTime(x.task.job, x.task.step)
	total, ok := x.measuredTotal(fromMilliseconds(expected))
	left := total - now.Sub(x.startAnswered)
	slow := time.Duration(slowFactor*float64(fromMilliseconds(expected))) + slowMargin
	if !ok || left < slow || now.Add(left+c.endLatency(x.task.job)).Before(x.task.job.due) {
		return
	}
	required := requirements(x.task.spec())
	other := c.chooseRunner(now, x.task, c.usable(now, required.CPU))
	if other == nil || other == x.runner || float64(left) < slowFactor*float64(fromMilliseconds(expected))/other.rate(now) {
		return
	}
	x.task.triedRunners = append(x.task.triedRunners, x.runner.ID)
	x.task.avoid(now, x.runner)
	if !x.wasCold() {
		x.runner.speed.replace(math.Log(expected / milliseconds(total)))
	}
	c.Metrics.Count("moved_slow", 1)
	c.stop(now, x, "slower than elsewhere")
}
