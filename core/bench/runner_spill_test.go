//go:build bench

package bench_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
	"gypsumward/core/retry"
	"gypsumward/core/spill"
)

func init() {
	register("runner-7-spill", measureSpill)
}

// Sizes, poll interval and load of the experiment on spilling between data centres.
const (
	centreCount     = 3
	centreInstances = 3
	centreRunners   = 17
	spillInterval   = 100 * time.Millisecond
	spillLoad       = 0.5
)

// measureSpill measures service when all runners of one data centre are leaving for half of
// the time measured, and when one data centre is overloaded, both without and with spilling.
func measureSpill(r *report, set uint64) {
	for _, withSpill := range []bool{false, true} {
		name := "no-spill"
		if withSpill {
			name = "spill"
		}
		s := newCentreWorld(evenParts(centreCount*centreInstances), set)
		s.w.loop.After(warmUp, func() { s.setLeaving(true) })
		s.w.loop.After(warmUp+measured/2, func() { s.setLeaving(false) })
		if withSpill {
			s.enableSpill(set)
		}
		s.w.run()
		x := s.w.row("own-targets-gone", name, set)
		r.Rows = append(r.Rows, x)
		if withSpill {
			r.atMost("own-targets-gone-wasted", x.Wasted, 0.10)
		}
		parts := []float64{.2, .2, .2, .07, .06, .07, .07, .06, .07}
		s = newCentreWorld(parts, set)
		if withSpill {
			s.enableSpill(set)
		}
		s.w.run()
		r.Rows = append(r.Rows, s.w.row("centre-overloaded", name, set))
	}
}

// centreWorld is a world of several data centres. Instances use only the runners of their
// own data centre.
type centreWorld struct {
	w        *world
	choosers []*choose.Chooser
	spills   []*spill.Decider
	hops     map[*fleet.Call]int // number of transfers of each call
}

// newCentreWorld returns a world in which each data centre has centreInstances instances and
// every third runner, so that their runners are about equally fast. Each instance gets its
// part of the calls.
func newCentreWorld(parts []float64, seed uint64) *centreWorld {
	s := &centreWorld{w: newWorldWithRunners(centreCount*centreRunners, spillLoad, parts, seed), hops: map[*fleet.Call]int{}}
	s.choosers = s.w.addChoosers(len(parts), choose.Settings{}, seed)
	for i, c := range s.choosers {
		own := float64(i % centreInstances)
		c.SetBounds(own/centreInstances, (own+1)/centreInstances)
		c.SetRunners(s.w.loop.Now(), s.runnerList(i/centreInstances))
		s.spills = append(s.spills, spill.New(spill.Settings{}))
	}
	s.w.enableRetries(retry.Settings{}, s.choosers, seed)
	return s
}

// runnerList returns the runners of one data centre, which are every third one.
func (s *centreWorld) runnerList(centre int) (list []choose.Runner) {
	for n, t := range s.w.targets {
		if n%centreCount == centre {
			list = append(list, choose.Runner{ID: t.ID, Slots: t.Slots, Leaving: t.Fault.Leaving})
		}
	}
	return list
}

// setLeaving sets whether all runners of the first data centre are leaving. The directory
// follows after directoryLag.
func (s *centreWorld) setLeaving(leaving bool) {
	for n, t := range s.w.targets {
		if n%centreCount == 0 {
			t.Fault.Leaving = leaving
		}
	}
	s.w.loop.After(directoryLag, func() {
		for _, c := range s.choosers[:centreInstances] {
			c.SetRunners(s.w.loop.Now(), s.runnerList(0))
		}
	})
}

// ownState returns the state of the runners and the queue of instance i.
func (s *centreWorld) ownState(i int) spill.OwnState {
	capacity := s.choosers[i].Capacity(s.w.loop.Now())
	return spill.OwnState{Slots: capacity.Slots, Free: capacity.Free, ExpectedWait: capacity.ExpectedWait, Waiting: s.w.instances[i].Queue.Len()}
}

// enableSpill makes instances request capacity of other data centres and transfer calls to
// them.
func (s *centreWorld) enableSpill(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 10))
	s.w.loop.Every(spillInterval, func() {
		for i := range s.spills {
			if s.spills[i].ShouldAsk(s.w.loop.Now()) {
				s.requestCapacity(i, rnd)
			}
			s.w.instances[i].Queue.Next(s.w.loop.Now(), func(c *fleet.Call) bool { return s.transfer(i, c) })
		}
	})
	s.w.onArrival = func(i int, c *fleet.Call) { s.reportWaiting(i) }
	s.w.route = func(c *fleet.Call) int {
		if to, send := s.decide(c.Instance, c); send {
			return to
		}
		return c.Instance
	}
}

// requestCapacity requests capacity of a random instance of each other data centre.
func (s *centreWorld) requestCapacity(i int, rnd *rand.Rand) {
	for centre := range centreCount {
		if centre == i/centreInstances {
			continue
		}
		s.requestCapacityFrom(i, centre*centreInstances+rnd.IntN(centreInstances))
	}
}

// requestCapacityFrom requests capacity of instance j for calls of instance i.
func (s *centreWorld) requestCapacityFrom(i, j int) {
	s.w.extraMessages += messagesPerAttempt
	s.w.loop.After(2*fleet.MessageDelay, func() {
		s.reportWaiting(j)
		capacity := s.spills[j].GrantCapacity(s.w.loop.Now(), fmt.Sprint(i), s.ownState(j))
		s.spills[i].AddReport(s.w.loop.Now(), spill.Report{Instance: fmt.Sprint(j), Capacity: capacity})
	})
}

// reportWaiting passes the queue length of instance i to its chooser.
func (s *centreWorld) reportWaiting(i int) {
	s.choosers[i].SetQueueLength(s.w.instances[i].Queue.Len())
}

// decide returns the instance to which instance i is to transfer c, and false if c stays.
func (s *centreWorld) decide(i int, c *fleet.Call) (int, bool) {
	to, send := s.spills[i].Decide(s.w.loop.Now(), spill.Request{Hops: s.hops[c]}, s.ownState(i))
	if !send {
		return 0, false
	}
	s.hops[c]++
	other, _ := strconv.Atoi(to)
	return other, true
}

// transfer sends a queued call to another instance if that is decided. It returns false if
// the call stays.
func (s *centreWorld) transfer(i int, c *fleet.Call) bool {
	s.reportWaiting(i)
	to, send := s.decide(i, c)
	if send {
		s.w.loop.After(2*fleet.MessageDelay, func() { s.w.instances[to].Submit(c) })
	}
	return send
}
