package choose

import (
	"math/rand/v2"
	"time"

	"gypsumward/core/estimate"
	"gypsumward/core/outlier"
)

// transferRuns is the delay before a slot that belonged to another instance is
// used, in mean run times.
const transferRuns = 2

// Runner describes one runner of the list given to Chooser.SetRunners.
type Runner struct {
	ID      string
	Slots   int  // number of concurrent calls
	Conns   int  // number of connections accepted from all instances together
	Leaving bool // whether the runner is shutting down and gets no new calls
}

// Chooser picks runners for requests. It is not safe for concurrent use.
type Chooser struct {
	settings    Settings
	rnd         *rand.Rand
	runners     []*runner // by number; nil if the number is unused
	byID        map[string]*runner
	freeNumbers []int // unused runner numbers
	lower       float64
	upper       float64
	weight      float64 // own part of the runners if its bounds are unknown, else zero
	runTimes    estimate.Estimator
	detector    *outlier.Detector
	kinds       kinds
	index       index
	rechecks    recheckQueue
	baseRunTime float64   // mean run time of calls at speed factor one, in seconds; zero if unknown
	queued      int       // queue length as set by SetQueueLength
	deferred    int       // requests that Pick made wait at the time of the last Pick
	lastPick    time.Time // time of the last Pick
}

// New returns a Chooser without runners that owns all slots of the runners it is
// given.
func New(s Settings) *Chooser {
	if s.WaitTolerance == 0 {
		s.WaitTolerance = DefaultWaitTolerance
	}
	return &Chooser{
		settings: s,
		rnd:      rand.New(rand.NewPCG(s.Seed, s.Seed)),
		byID:     map[string]*runner{},
		upper:    1,
		detector: outlier.New(s.Detection),
		kinds:    kinds{byName: map[string]int{}},
	}
}

// SetRunners replaces the list of runners. The statistics of runners that stay in the
// list are kept. A runner that refused a call because it is leaving gets no calls
// for a time even if the list, which lags, does not show that yet.
func (c *Chooser) SetRunners(now time.Time, runners []Runner) {
	for _, r := range c.byID {
		r.listed = false
	}
	for _, given := range runners {
		r := c.byID[given.ID]
		if r == nil {
			r = c.add(given.ID)
		}
		r.listed = true
		r.Runner = given
	}
	for _, r := range c.runners {
		if r != nil && !r.listed {
			c.remove(r)
		}
	}
	c.assignSlots(now)
}

// SetInstances sets the number of instances that share the runners and the part of the
// runners that belongs to this instance, between 0 and 1; any other weight means
// an even part. As the bounds of the parts are unknown, some slots belong to two
// instances and some to none; instances that know of each other use SetBounds
// instead. The instances need different seeds.
func (c *Chooser) SetInstances(instances int, weight float64) {
	if weight <= 0 || weight >= 1 {
		weight = 1 / float64(max(instances, 1))
	}
	c.weight = weight
	c.assignSlots(c.lastPick)
}

// SetBounds sets the bounds of the part of the runners that belongs to this
// instance. The parts of all instances are adjacent intervals that cover 0 to 1;
// Bounds computes them.
func (c *Chooser) SetBounds(lower, upper float64) {
	c.lower, c.upper, c.weight = lower, upper, 0
	c.assignSlots(c.lastPick)
}

// SetQueueLength sets the number of requests that wait for a slot. While it is zero,
// Pick never makes a request wait if a runner is idle; the longer the queue, the
// fewer requests Pick makes wait for a faster runner.
func (c *Chooser) SetQueueLength(n int) {
	c.queued = n
}

// ExpectedRunTime returns the expected run time of the kind on a runner of mean speed, or
// zero if it is unknown.
func (c *Chooser) ExpectedRunTime(kind string) time.Duration {
	kindNo, ok := c.kinds.byName[kind]
	if !ok {
		return 0
	}
	return c.runTimes.MeanRunTime(kindNo)
}

// ExpectedRunTimeOn returns the expected run time of the kind on the runner with the given
// id, or zero if the run time or the runner is unknown.
func (c *Chooser) ExpectedRunTimeOn(id, kind string) time.Duration {
	r, kindNo := c.byID[id], c.kinds.number(kind)
	if r == nil {
		return 0
	}
	return c.runTimes.RunTime(r.number, kindNo)
}

// KindFails reports whether requests of the kind fail on most runners, so that a
// retry is of no use.
func (c *Chooser) KindFails(kind string) bool {
	kindNo, ok := c.kinds.byName[kind]
	return ok && c.detector.KindFails(kindNo)
}

// add creates the state of a new runner, under the first unused number.
func (c *Chooser) add(id string) *runner {
	number := len(c.runners)
	if last := len(c.freeNumbers) - 1; last >= 0 {
		number = c.freeNumbers[last]
		c.freeNumbers = c.freeNumbers[:last]
	} else {
		c.runners = append(c.runners, nil)
	}
	r := newRunner(id, number)
	c.runners[number] = r
	c.byID[id] = r
	c.detector.Track(number)
	return r
}

// remove deletes the state of a runner. Done ignores its outstanding calls.
func (c *Chooser) remove(r *runner) {
	c.index.remove(r)
	c.runners[r.number] = nil
	delete(c.byID, r.ID)
	c.freeNumbers = append(c.freeNumbers, r.number)
	c.runTimes.Reset(r.number)
	c.detector.Untrack(r.number)
}

// assignSlots recomputes the number of own slots on every runner.
func (c *Chooser) assignSlots(now time.Time) {
	own := 0
	for _, r := range c.runners {
		if r != nil {
			r.ownSlots = r.slotsBetween(c.lower, c.upper)
			if c.weight > 0 {
				r.ownSlots = r.slotsByWeight(c.weight, c.settings.Seed)
			}
			own += r.ownSlots
		}
	}
	if own == 0 {
		c.borrowSlot()
	}
	for _, r := range c.runners {
		if r != nil {
			c.updateLimit(now, r)
			c.reindex(now, r)
		}
	}
}

// updateLimit adapts the limit of a runner to its number of own slots. Slots that
// belonged to another instance are used only after a delay in which the calls
// that run there are likely to end.
func (c *Chooser) updateLimit(now time.Time, r *runner) {
	switch {
	case r.ownSlots <= r.limit || !r.limitSet || c.baseRunTime == 0:
		r.limit, r.limitSet, r.growsAt = r.ownSlots, true, time.Time{}
	case r.growsAt.IsZero():
		r.growsAt = now.Add(transferRuns * time.Duration(max(r.Slots, 1)) * c.slotWait(r))
	}
}

// borrowSlot assigns one slot to an instance whose part is smaller than a slot,
// so that every instance has at least one.
func (c *Chooser) borrowSlot() {
	var best *runner
	for _, r := range c.runners {
		if r != nil && !r.Leaving && (best == nil || r.offset < best.offset) {
			best = r
		}
	}
	if best != nil {
		best.ownSlots = 1
	}
}
