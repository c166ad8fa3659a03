package cell

import (
	"math"
	"time"
)

// A run without any reported progress after hungFactor times the time that the runners of its kind
// take, and hungMargin more, is hung. Runners that are only slow report some progress by then.
const (
	hungFactor = 1.5
	hungMargin = 60 * time.Millisecond
)

// avoidTime is how long a task keeps off a runner on which a run of it was stopped for want of progress.
// In a full fleet the room of that run is often the only one that is free, so that the task would start
// there again.
const avoidTime = 2 * time.Second

// hungRestTime is the time since the last success of a runner after which a run that hangs there makes it back
// off. One that hangs only some of its runs still does work that a full fleet needs.
const hungRestTime = time.Second

// isHung reports whether x has made no progress for so long that it must be taken to hang. Members of a
// gang make none before all are present, and a resumed run none before it is restored.
func (c *Cell) isHung(x *run) bool {
	if !x.hasExpectedEnd() || x.resumed || x.percent > 0 || x.task.job.gang(x.task.step) != nil {
		return false
	}
	rate := 1.0
	if kind := x.runner.speed.kind; kind != nil {
		rate = math.Exp(kind.meanLog)
		if x.wasCold() {
			rate *= kind.cold.factor()
		}
	}
	expected := fromMilliseconds(c.expectedRunTime(x.task.job, x.task.step) / rate)
	return x.percentAt.Sub(x.startAnswered) >= time.Duration(hungFactor*float64(expected))+hungMargin
}

// stopIfHung stops a run that hangs, whether there is room elsewhere or not: it holds room that another
// task can use. It reports whether it did.
func (c *Cell) stopIfHung(now time.Time, x *run) bool {
	if c.draining || !c.isHung(x) {
		return false
	}
	if r := x.runner; now.Sub(r.health.successAt) > hungRestTime && !r.health.isBackingOff(now) {
		r.health.recordFailure(now)
	}
	x.task.triedRunners = append(x.task.triedRunners, x.runner.ID)
	x.task.avoid(now, x.runner)
	c.Metrics.Count("hung", 1)
	c.stop(now, x, "no progress")
	return true
}

// avoid keeps t off r for avoidTime.
func (t *task) avoid(now time.Time, r *runner) {
	t.avoided, t.avoidUntil = r.ID, now.Add(avoidTime)
}

// mustAvoid reports whether t is not started on r at now since a run of it was stopped there lately, and
// others will have the room for it.
func (c *Cell) mustAvoid(now time.Time, t *task, r *runner) bool {
	return t.avoided == r.ID && now.Before(t.avoidUntil) && c.willFitElsewhere(now, t)
}
