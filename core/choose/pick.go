package choose

import (
	"math"
	"time"
)

// maxExamined bounds the runners that one Pick examines by speed class.
const maxExamined = 12

// maxSamples bounds the runners that one Pick samples at random if the examined
// ones do not accept the request.
const maxSamples = 32

// maxPerClass bounds the runners of one class that one Pick examines.
const maxPerClass = 3

// One request in stalePeriod may go to a runner that had no calls for staleAfter.
const (
	stalePeriod = 32
	staleAfter  = 30 * time.Second
)

// One request in failingPeriod of a kind that fails on most runners goes to a
// random runner, since possibly only the runners that are preferred fail it.
const failingPeriod = 4

// newRunnerBonus is the advantage in speed over the mean that is assumed for a
// runner without calls so far, as a logarithm, so that it gets calls.
const newRunnerBonus = 0.5

// classTolerance is the excess of the run time of a kind on a runner over that
// expected for the runner's class, as a logarithm, up to which the search stops
// at the runner.
const classTolerance = 0.3

// Pick reserves a slot for a request of the kind and returns the id of its
// runner, which differs from avoid unless that is the only runner. It reports
// false if the request should wait: either no own slot is free, or the idle
// runners are so slow that the request would end sooner by waiting for a faster
// one, even if that took Settings.WaitTolerance longer than expected. Requests that
// have to wait should be offered again, in their order, after each Done and SetRunners,
// and at intervals of some ten milliseconds; those behind them in the queue may
// be offered at the same time.
func (c *Chooser) Pick(now time.Time, kind, avoid string) (id string, ok bool) {
	c.recheckDue(now)
	if len(c.byID) == 1 {
		avoid = ""
	}
	kindNo := c.kinds.number(kind)
	best := c.explore(now, kindNo, avoid)
	if best == nil {
		var cost float64
		best, cost = c.search(now, kindNo, avoid)
		if best == nil || (!best.probeDue && c.shouldWait(kindNo, cost)) {
			c.deferred++
			return "", false
		}
	}
	if best.probeDue {
		c.detector.StartProbe(now, best.number)
		best.probeDue = false
	}
	c.detector.RecordSent(best.number, kindNo)
	best.busy++
	best.lastUsed = now
	c.reindex(now, best)
	return best.ID, true
}

// recheckDue updates the runners whose recheck time has come and resets the
// count of deferred requests if now differs from the time of the last Pick.
func (c *Chooser) recheckDue(now time.Time) {
	if !now.Equal(c.lastPick) {
		c.lastPick, c.deferred = now, 0
	}
	for r := c.rechecks.popDue(now); r != nil; r = c.rechecks.popDue(now) {
		if c.runners[r.number] == r {
			c.reindex(now, r)
		}
	}
}

// explore returns, for a part of the requests, a runner that would not be the
// first choice, in order to update the statistics of it. Otherwise it returns
// nil.
func (c *Chooser) explore(now time.Time, kindNo int, avoid string) *runner {
	if c.detector.KindFails(kindNo) && c.rnd.IntN(failingPeriod) == 0 {
		return c.pickRandom(now, kindNo, avoid)
	}
	return c.pickStale(now, kindNo, avoid)
}

// pickStale returns, for one request in stalePeriod, an available runner that
// had no calls for so long that its estimate may be out of date. Otherwise it
// returns nil.
func (c *Chooser) pickStale(now time.Time, kindNo int, avoid string) *runner {
	if len(c.runners) == 0 || c.rnd.IntN(stalePeriod) != 0 {
		return nil
	}
	r := c.runners[c.rnd.IntN(len(c.runners))]
	if r == nil || r.position < 0 || r.ID == avoid || now.Sub(r.lastUsed) < staleAfter || !c.detector.Accepts(now, r.number, kindNo) {
		return nil
	}
	return r
}

// search returns the available runner on which the kind is expected to end first,
// and the expected run time as a logarithm of seconds. It examines the classes
// from the fastest and stops at the first runner that is about as fast as its
// class. A runner that is due for a probe is returned at once. The result is nil
// if no runner accepts the request.
func (c *Chooser) search(now time.Time, kindNo int, avoid string) (best *runner, cost float64) {
	examined := 0
	for class := c.index.nextClass(0); class < numClasses && examined < maxExamined; class = c.index.nextClass(class + 1) {
		list := c.index.available[class]
		first := c.rnd.IntN(len(list))
		for i := range min(len(list), maxPerClass) {
			r := list[(first+i)%len(list)]
			examined++
			if r.ID == avoid || !c.detector.Accepts(now, r.number, kindNo) {
				continue
			}
			if r.probeDue {
				return r, 0
			}
			if x := c.runTimes.LogRunTime(r.number, kindNo); best == nil || x < cost {
				best, cost = r, x
			}
		}
		if best != nil && cost <= c.runTimes.LogKind(kindNo)+logFactorOf(class)+classTolerance {
			return best, cost
		}
	}
	if best == nil && c.index.mask != 0 {
		best = c.pickRandom(now, kindNo, avoid)
		if best != nil {
			cost = c.runTimes.LogRunTime(best.number, kindNo)
		}
	}
	return best, cost
}

// pickRandom returns a random available runner that accepts the kind, or nil if a
// bounded number of samples finds none. It serves kinds that are quarantined on
// all fast runners.
func (c *Chooser) pickRandom(now time.Time, kindNo int, avoid string) *runner {
	for range min(maxSamples, len(c.runners)) {
		r := c.runners[c.rnd.IntN(len(c.runners))]
		if r != nil && r.position >= 0 && r.ID != avoid && c.detector.Accepts(now, r.number, kindNo) {
			return r
		}
	}
	return nil
}

// shouldWait reports whether a call with the expected run time cost, a logarithm
// of seconds, would end sooner on a faster runner that is busy now.
func (c *Chooser) shouldWait(kindNo int, cost float64) bool {
	if c.queued == 0 || c.settings.WaitTolerance < 0 || c.baseRunTime == 0 || !c.runTimes.HasKind(kindNo) {
		return false
	}
	limit := math.Exp(cost) / (1 + c.settings.WaitTolerance)
	kindRunTime := math.Exp(c.runTimes.LogKind(kindNo))
	ahead := float64(max(c.deferred+1, c.queued))
	rate := 0.0 // calls that end per second on the classes considered so far
	for class := range numClasses {
		if c.index.busy[class] == 0 {
			continue
		}
		runTime := kindRunTime * classFactors[class]
		if runTime >= limit {
			return false
		}
		rate += float64(c.index.busy[class]) / (c.baseRunTime * classFactors[class])
		if ahead/rate+runTime < limit {
			return true
		}
	}
	return false
}

// classFactors holds the speed factor of each class: the ratio of its run times
// to those at factor one.
var classFactors = func() (f [numClasses]float64) {
	for class := range f {
		f[class] = math.Exp(logFactorOf(class))
	}
	return f
}()

// reindex updates the index after a change of the runner, and schedules a recheck
// if the runner is to become available, or its limit to grow, at a known time.
func (c *Chooser) reindex(now time.Time, r *runner) {
	if !r.growsAt.IsZero() {
		if now.Before(r.growsAt) {
			c.rechecks.add(r, r.growsAt)
		} else {
			r.limit, r.growsAt = r.ownSlots, time.Time{}
		}
	}
	usable := !r.Leaving && r.busy < r.limit
	r.probeDue = false
	if until := later(r.leavingUntil, r.fullUntil); now.Before(until) {
		usable = false
		c.rechecks.add(r, until)
	}
	if next, closed := c.detector.Quarantined(r.number); closed && usable {
		r.probeDue = !next.IsZero() && !now.Before(next)
		usable = r.probeDue
		if !usable && !next.IsZero() {
			c.rechecks.add(r, next)
		}
	}
	class := classOf(c.runTimes.LogFactor(r.number))
	switch {
	case r.probeDue:
		class = 0
	case !c.runTimes.HasTarget(r.number):
		class = classOf(c.runTimes.LogFactor(r.number) - newRunnerBonus)
	}
	c.index.update(r, class, usable)
}

// later returns the later of a and b.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
