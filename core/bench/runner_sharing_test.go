//go:build bench

package bench_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
	"gypsumward/core/spill"
)

// loadInterval is the interval at which instances with home runners send their load to each
// other instance.
const loadInterval = 500 * time.Millisecond

// addChoosers adds n instances that share the slots of all runners evenly, and returns their
// choosers.
func (w *world) addChoosers(n int, s choose.Settings, seed uint64) []*choose.Chooser {
	choosers := make([]*choose.Chooser, n)
	for i := range choosers {
		s.Seed = seed*100 + uint64(i)
		choosers[i] = choose.New(s)
		choosers[i].SetBounds(float64(i)/float64(n), float64(i+1)/float64(n))
		choosers[i].SetRunners(w.loop.Now(), w.runnerList())
	}
	w.addInstances(n, func(i int) fleet.Picker { return choosers[i] })
	return choosers
}

// runnerList returns all runners as the directory lists them.
func (w *world) runnerList() []choose.Runner {
	list := make([]choose.Runner, len(w.targets))
	for i, t := range w.targets {
		list[i] = choose.Runner{ID: t.ID, Slots: t.Slots}
	}
	return list
}

// shareByDemand makes the instances report their demand to each other once a second, and
// divide the slots in proportion to it.
func (w *world) shareByDemand(choosers []*choose.Chooser) {
	n := len(choosers)
	demands := make([]choose.Demand, n)
	w.onArrival = func(i int, c *fleet.Call) { demands[i].Add(choosers[i].ExpectedRunTime(c.Kind)) }
	known := make([][]choose.InstanceDemand, n)
	for i := range known {
		for j := range n {
			known[i] = append(known[i], choose.InstanceDemand{Instance: fmt.Sprint(j)})
		}
	}
	for i := range choosers {
		w.loop.After(time.Second*time.Duration(i)/time.Duration(n), func() {
			w.loop.Every(time.Second, func() {
				waitingTime := time.Duration(w.instances[i].Queue.Len()) * choosers[i].ExpectedRunTime(kinds[1].Name)
				value, changed := demands[i].Update(w.loop.Now(), waitingTime)
				if !changed {
					return
				}
				w.extraMessages += n - 1
				w.loop.After(fleet.MessageDelay, func() {
					for j := range n {
						known[j][i].Demand = value
						choosers[j].SetBounds(choose.Bounds(known[j], fmt.Sprint(j)))
					}
				})
			})
		})
	}
}

// routeByLoad routes each call to the less loaded of the instance at which it arrived and a
// random one. A call is transferred at most once. The messages of a transfer are useful and
// not counted as wasted; those that report loads are.
func (w *world) routeByLoad(homes [][]choose.Runner, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	loads := make([]float64, len(homes))
	w.loop.Every(loadInterval, func() {
		for i, x := range w.instances {
			loads[i] = float64(x.Sent-x.Completed+x.Queue.Len()) / float64(max(1, 8*len(homes[i])))
		}
		w.extraMessages += len(homes) * (len(homes) - 1)
	})
	w.route = func(c *fleet.Call) int {
		own, other := c.Instance, rnd.IntN(len(homes))
		if loads[other] < loads[own] && len(homes[other]) > 0 {
			return other
		}
		return own
	}
}

// spareSpillSettings are the settings for transfers between instances of one data centre.
// Calls are transferred sooner than between data centres, and no slots are kept for an
// instance's own calls.
var spareSpillSettings = spill.Settings{MaxWait: 100 * time.Millisecond, AskInterval: 300 * time.Millisecond, ReservedPart: -1}

// transferToSpare makes instances whose calls wait too long transfer some of them to another
// instance of the same data centre that has free slots.
func (w *world) transferToSpare(choosers []*choose.Chooser, seed uint64) {
	s := &centreWorld{w: w, choosers: choosers, hops: map[*fleet.Call]int{}}
	for range choosers {
		s.spills = append(s.spills, spill.New(spareSpillSettings))
	}
	rnd, n := rand.New(rand.NewPCG(seed, 11)), len(choosers)
	w.loop.Every(spillInterval, func() {
		for i := range n {
			s.reportWaiting(i)
			if s.spills[i].ShouldAsk(w.loop.Now()) {
				s.requestCapacityFrom(i, (i+1+rnd.IntN(n-1))%n)
			}
			w.instances[i].Queue.Next(w.loop.Now(), func(c *fleet.Call) bool { return s.transfer(i, c) })
		}
	})
}
