package fleet

import (
	"fmt"
	"math"
	"time"

	"gypsumward/core/choose"
)

// MessageDelay is the duration of a message between an instance and a target, or between
// two instances.
const MessageDelay = 500 * time.Microsecond

// failureTime is the duration of an attempt that fails because of a fault of the target.
const failureTime = 5 * time.Millisecond

// Fault is a fault of a target. The zero value means none.
type Fault struct {
	Slowdown    float64 // factor by which run times are longer; zero means 1
	FailsAll    bool    // every call fails after failureTime
	FailingKind string  // calls of this kind fail after failureTime
	Hangs       bool    // calls occupy a slot for their run time and are never answered
	Dead        bool    // connections are refused
	Leaving     bool    // new calls are refused as leaving
}

// Target simulates a runner with a number of slots and a speed.
type Target struct {
	ID         string
	Slots      int
	TimeFactor float64 // run time relative to the fastest target
	Fault      Fault
	Received   int // number of calls that arrived
	busy       int // number of occupied slots
}

// Targets returns n targets whose time factors form a geometric progression from 1 to
// slowest.
func Targets(n, slots int, slowest float64) []*Target {
	targets := make([]*Target, n)
	for i := range targets {
		factor := 1.0
		if n > 1 {
			factor = math.Pow(slowest, float64(i)/float64(n-1))
		}
		targets[i] = &Target{ID: fmt.Sprintf("runner-%02d", i), Slots: slots, TimeFactor: factor}
	}
	return targets
}

// ServiceRate returns the number of calls a second that targets can serve in the long run,
// for a mix of kinds.
func ServiceRate(targets []*Target, kinds []Kind) float64 {
	var rate float64
	for _, t := range targets {
		rate += float64(t.Slots) / (t.TimeFactor * MeanRunTime(kinds).Seconds())
	}
	return rate
}

// RunTime returns the run time of an attempt of c under the current fault, without the
// straggle factor.
func (t *Target) RunTime(c *Call) time.Duration {
	d := float64(c.RunTime) * t.TimeFactor
	if t.Fault.Slowdown > 0 {
		d *= t.Fault.Slowdown
	}
	return time.Duration(d)
}

// run processes the arrival of a call, and calls reply with the outcome unless the target
// hangs or dies in the meantime.
func (t *Target) run(l *Loop, c *Call, reply func(choose.Outcome)) {
	t.Received++
	switch {
	case t.Fault.Dead:
		reply(choose.Broken)
		return
	case t.Fault.Leaving:
		reply(choose.Leaving)
		return
	case t.busy >= t.Slots:
		reply(choose.Refused)
		return
	}
	t.busy++
	elapsed, outcome := t.RunTime(c), choose.Succeeded
	if c.Attempts == 1 && c.StraggleFactor > 0 {
		elapsed = time.Duration(float64(elapsed) * c.StraggleFactor)
	}
	if t.Fault.FailsAll || t.Fault.FailingKind == c.Kind {
		elapsed, outcome = failureTime, choose.Failed
	}
	hangs := t.Fault.Hangs
	l.After(elapsed, func() {
		t.busy--
		if !hangs && !t.Fault.Dead {
			reply(outcome)
		}
	})
}

// Busy returns the number of occupied slots.
func (t *Target) Busy() int {
	return t.busy
}
