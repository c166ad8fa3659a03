package choose

import (
	"math"
	"time"

	"gypsumward/core/outlier"
)

// leavingBackoff is the time for which a runner that refused a call because it is
// leaving gets no calls, whatever the list shows.
const leavingBackoff = 30 * time.Second

// maxDoublings bounds the back-off of a runner that refuses repeatedly: each
// consecutive refusal doubles it.
const maxDoublings = 5

// hungRunTimes is the number of expected run times after which a call without a
// response counts as a failure of its runner.
const hungRunTimes = 3

// runTimeWeight is the weight of a new run time in the mean run time.
const runTimeWeight = 0.02

// Done frees the slot that Pick reserved on the runner with the given id and
// updates the statistics with the outcome of the call. The elapsed time is used
// for Succeeded and TimedOut only. Done has no effect if the runner is no longer listed.
func (c *Chooser) Done(now time.Time, id, kind string, elapsed time.Duration, o Outcome) {
	r := c.byID[id]
	if r == nil {
		return
	}
	kindNo := c.kinds.number(kind)
	r.busy = max(r.busy-1, 0)
	switch o {
	case Succeeded:
		r.refusals = 0
		c.runTimes.Observe(r.number, kindNo, elapsed)
		c.detector.Observe(now, r.number, kindNo, outlier.Good)
		c.updateBaseRunTime(r, elapsed)
	case Failed:
		c.detector.Observe(now, r.number, kindNo, outlier.Failed)
	case TimedOut:
		c.recordHung(now, r, kindNo, elapsed)
	case Broken:
		c.detector.Observe(now, r.number, kindNo, outlier.Broken)
	case Leaving:
		c.detector.CancelProbe(r.number, kindNo)
		r.leavingUntil = now.Add(leavingBackoff)
	case Refused:
		c.detector.CancelProbe(r.number, kindNo)
		r.fullUntil = now.Add(c.slotWait(r) << min(r.refusals, maxDoublings))
		r.refusals++
	}
	c.reindex(now, r)
}

// recordHung records a failure of the runner for a call without a response,
// unless the call was abandoned before it could be expected to end, such as at
// its deadline.
func (c *Chooser) recordHung(now time.Time, r *runner, kindNo int, elapsed time.Duration) {
	if elapsed < hungRunTimes*c.runTimes.RunTime(r.number, kindNo) {
		c.detector.CancelProbe(r.number, kindNo)
		return
	}
	c.detector.Observe(now, r.number, kindNo, outlier.Broken)
}

// updateBaseRunTime updates the mean run time of calls at speed factor one.
func (c *Chooser) updateBaseRunTime(r *runner, elapsed time.Duration) {
	runTime := elapsed.Seconds() / math.Exp(c.runTimes.LogFactor(r.number))
	if c.baseRunTime == 0 {
		c.baseRunTime = runTime
	}
	c.baseRunTime += runTimeWeight * (runTime - c.baseRunTime)
}

// slotWait returns the expected time until one of the slots of a full runner
// becomes free, or zero if no run time is known.
func (c *Chooser) slotWait(r *runner) time.Duration {
	seconds := c.baseRunTime * math.Exp(c.runTimes.LogFactor(r.number)) / float64(max(r.Slots, 1))
	return time.Duration(seconds * float64(time.Second))
}
