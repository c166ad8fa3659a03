//go:build bench

package bench_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
)

func init() {
	register("runner-1-steady", measureSteady)
	register("runner-2-uneven", measureUneven)
	register("runner-2-centre", measureCentre)
}

// policy is a way to choose runners and to divide them between instances. Its function adds
// one instance for each part to the world.
type policy struct {
	name  string
	start func(w *world, parts []float64, seed uint64)
}

// The policies measured. policyDemand is the one in use.
var (
	policyRandom           = policy{"random", withBaseline(atRandom)}
	policyRoundRobin       = policy{"round-robin", withBaseline(roundRobin)}
	policyLeastOutstanding = policy{"least-outstanding", withBaseline(leastOutstanding)}
	policyTwoChoices       = policy{"two-choices-reported", startTwoChoices}
	policyHome             = policy{"home-instance", startHome}
	policyFixed            = policy{"fixed-slots", startFixed}
	policyFixedBlind       = policy{"fixed-slots-blind", startFixedBlind}
	policyDemandSpare      = policy{"demand-spare", startDemandSpare}
	policyFixedGreedy      = policy{"fixed-slots-greedy", startFixedGreedy}
	policyDemand           = policy{"demand", startDemand}
	policies               = []policy{policyRandom, policyRoundRobin, policyLeastOutstanding, policyTwoChoices, policyHome, policyFixed, policyFixedGreedy, policyDemand, policyDemandSpare}
)

// withBaseline returns a function that adds instances with a baseline.
func withBaseline(firstTarget func(*baseline) int) func(*world, []float64, uint64) {
	return func(w *world, parts []float64, seed uint64) {
		w.addInstances(len(parts), func(i int) fleet.Picker { return newBaseline(w, seed*100+uint64(i), firstTarget) })
	}
}

// startTwoChoices adds instances that choose the better of two random runners by reported
// load.
func startTwoChoices(w *world, parts []float64, seed uint64) {
	w.addInstances(len(parts), func(i int) fleet.Picker { return newSampledPicker(w, seed*100+uint64(i), 2) })
}

// startFixed divides the slots of each runner evenly and permanently.
func startFixed(w *world, parts []float64, seed uint64) {
	w.addChoosers(len(parts), choose.Settings{}, seed)
}

// startFixedBlind gives each instance approximately an even part of the slots of each
// runner, without knowledge of the parts of the others.
func startFixedBlind(w *world, parts []float64, seed uint64) {
	for _, c := range w.addChoosers(len(parts), choose.Settings{}, seed) {
		c.SetInstances(len(parts), 0)
	}
}

// startFixedGreedy divides the slots like startFixed, and never makes a call wait for a
// faster runner.
func startFixedGreedy(w *world, parts []float64, seed uint64) {
	w.addChoosers(len(parts), choose.Settings{WaitTolerance: -1}, seed)
}

// startDemand divides the slots in proportion to the demand that the instances report to
// each other.
func startDemand(w *world, parts []float64, seed uint64) {
	choosers := w.addChoosers(len(parts), choose.Settings{}, seed)
	w.shareByDemand(choosers)
}

// startDemandSpare divides the slots like startDemand, and makes instances whose calls wait
// transfer some to others that have free slots.
func startDemandSpare(w *world, parts []float64, seed uint64) {
	choosers := w.addChoosers(len(parts), choose.Settings{}, seed)
	w.shareByDemand(choosers)
	w.transferToSpare(choosers, seed)
}

// startHome assigns each runner to one instance by rendezvous hashing. A call goes to the
// less loaded of the instance at which it arrived and a random one, by loads that are
// reported at intervals of loadInterval.
func startHome(w *world, parts []float64, seed uint64) {
	choosers := w.addChoosers(len(parts), choose.Settings{}, seed)
	homes := make([][]choose.Runner, len(parts))
	for _, t := range w.targets {
		best, score := 0, uint64(0)
		for i := range parts {
			if x := xxhash.Sum64String(fmt.Sprint(t.ID, "/", i)); x > score {
				best, score = i, x
			}
		}
		homes[best] = append(homes[best], choose.Runner{ID: t.ID, Slots: t.Slots})
	}
	for i, c := range choosers {
		c.SetBounds(0, 1)
		c.SetRunners(w.loop.Now(), homes[i])
	}
	w.routeByLoad(homes, seed)
}

// measureSteady measures all policies at three loads behind a balancer that distributes
// calls evenly.
func measureSteady(r *report, set uint64) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		scenario := fmt.Sprintf("steady-%.0f", load*100)
		for _, p := range policies {
			w := newWorld(load, evenParts(instanceCount), set)
			p.start(w, evenParts(instanceCount), set)
			w.run()
			x := w.row(scenario, p.name, set)
			r.Rows = append(r.Rows, x)
			if p.name != policyDemand.name {
				continue
			}
			r.atMost(scenario+"-wasted", x.Wasted, 0.02)
			if load == 0.8 {
				r.atMost(scenario+"-p50-over-oracle", x.Oracle[0], 1.1)
				r.atMost(scenario+"-p99-over-oracle", x.Oracle[2], 1.3)
			}
		}
	}
}

// measureUneven measures policies behind a balancer that sends 30 % of the calls to one of
// eight instances.
func measureUneven(r *report, set uint64) {
	parts := []float64{0.30, 0.10, 0.10, 0.10, 0.10, 0.10, 0.10, 0.10}
	for _, p := range []policy{policyLeastOutstanding, policyTwoChoices, policyHome, policyFixed, policyDemand, policyDemandSpare} {
		w := newWorld(0.8, parts, set)
		p.start(w, parts, set)
		w.run()
		x := w.row("uneven-80", p.name, set)
		r.Rows = append(r.Rows, x)
		if p.name == policyDemand.name {
			r.atMost("uneven-80-p50-over-oracle", x.Oracle[0], 1.1)
			r.atMost("uneven-80-p99-over-oracle", x.Oracle[2], 1.3)
			r.atMost("uneven-80-wasted", x.Wasted, 0.02)
		}
	}
}

// measureCentre measures policies in a data centre of the size that one of Lustri's has: a
// third of the runners, and three instances among which the slots do not divide evenly.
func measureCentre(r *report, set uint64) {
	for _, p := range []policy{policyLeastOutstanding, policyTwoChoices, policyHome, policyFixedBlind, policyFixed, policyDemand} {
		w := newWorldWithRunners(runnerCount/3, 0.8, evenParts(3), set)
		p.start(w, evenParts(3), set)
		w.run()
		x := w.row("centre-80", p.name, set)
		r.Rows = append(r.Rows, x)
		if p.name == policyDemand.name {
			r.atMost("centre-80-p50-over-oracle", x.Oracle[0], 1.1)
			r.atMost("centre-80-p99-over-oracle", x.Oracle[2], 1.3)
			r.atMost("centre-80-wasted", x.Wasted, 0.02)
		}
	}
}

// TestRepeats checks that two runs with the same seed have exactly the same results.
func TestRepeats(t *testing.T) {
	t.Parallel()
	var rows [2]row
	for i := range rows {
		w := newWorld(0.8, evenParts(instanceCount), 3)
		policyDemand.start(w, evenParts(instanceCount), 3)
		w.run()
		rows[i] = w.row("repeat", policyDemand.name, 3)
	}
	require.Equal(t, rows[0], rows[1])
}
