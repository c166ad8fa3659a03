//go:build bench

package bench_test

import (
	"math"
	"math/rand/v2"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
	"gypsumward/core/outlier"
	"gypsumward/core/retry"
)

func init() {
	register("runner-3-fault", measureFaults)
	register("runner-4-leaving", measureLeaving)
}

// Load and times of the experiments with faults, which start at the end of the warm-up.
const (
	faultLoad    = 0.6
	callTimeout  = 20 * time.Second // after which a call without an answer counts as hung
	flapInterval = 3 * time.Second
	directoryLag = 2 * time.Second
	leavingLimit = 3 * time.Second
	maxAttempts  = 3
)

// fault is a scenario with bad runners. Its function starts the fault.
type fault struct {
	name   string
	inject func(w *world)
}

// faultOnFastest returns a scenario in which the fastest runner has a fault.
func faultOnFastest(name string, f fleet.Fault) fault {
	return fault{name, func(w *world) { w.targets[0].Fault = f }}
}

// faultOnSome returns a scenario in which the first n of each five runners have a fault.
func faultOnSome(name string, n int, f fleet.Fault) fault {
	return fault{name, func(w *world) {
		for i, t := range w.targets {
			if i%5 < n {
				t.Fault = f
			}
		}
	}}
}

// flapFastest makes the fastest runner die and recover in turns.
func flapFastest(w *world) {
	w.loop.Every(flapInterval, func() { w.targets[0].Fault.Dead = !w.targets[0].Fault.Dead })
}

// failKindOnHalf makes the faster half of the runners fail one kind.
func failKindOnHalf(w *world) {
	for _, t := range w.targets[:len(w.targets)/2] {
		t.Fault = fleet.Fault{FailingKind: "price"}
	}
}

// killAll makes all runners unavailable for a twelfth of the time measured.
func killAll(w *world) {
	faultOnSome("", 5, fleet.Fault{Dead: true}).inject(w)
	w.loop.After(measured/12, func() { faultOnSome("", 5, fleet.Fault{}).inject(w) })
}

// faultCases are the scenarios of measureFaults.
var faultCases = []fault{
	faultOnFastest("dead", fleet.Fault{Dead: true}),
	faultOnFastest("slow-10x", fleet.Fault{Slowdown: 10}),
	faultOnFastest("hanging", fleet.Fault{Hangs: true}),
	faultOnFastest("black-hole", fleet.Fault{FailsAll: true}),
	faultOnFastest("fails-one-kind", fleet.Fault{FailingKind: "price"}),
	{"half-fails-one-kind", failKindOnHalf},
	{"flapping", flapFastest},
	faultOnSome("fifth-dead", 1, fleet.Fault{Dead: true}),
	faultOnSome("fifth-black-hole", 1, fleet.Fault{FailsAll: true}),
	{"all-dead-10s", killAll},
	faultOnSome("bad-kind", 5, fleet.Fault{FailingKind: "stamp"}),
}

// measureFaults measures each fault with and without quarantine of runners.
func measureFaults(r *report, set uint64) {
	for _, f := range faultCases {
		for _, s := range []struct {
			name     string
			settings choose.Settings
		}{
			{"no-quarantine", choose.Settings{Detection: outlier.Settings{EvidenceThreshold: math.Inf(1)}}},
			{"quarantine", choose.Settings{}},
		} {
			w := newWorld(faultLoad, evenParts(instanceCount), set)
			choosers := w.addChoosers(instanceCount, s.settings, set)
			w.enableRetries(retry.Settings{}, choosers, set)
			var received, sent int
			w.loop.After(warmUp, func() {
				f.inject(w)
				received, sent = w.targets[0].Received, w.sentCalls()
			})
			w.loop.After(warmUp+time.Minute, func() {
				received, sent = w.targets[0].Received-received, w.sentCalls()-sent
			})
			w.run()
			x := w.row("fault-"+f.name, s.name, set)
			r.Rows = append(r.Rows, x)
			if s.name != "quarantine" {
				continue
			}
			r.atMost("fault-"+f.name+"-wasted", x.Wasted, 0.10)
			if f.name == "black-hole" {
				r.atMost("black-hole-part-of-minute", float64(received)/float64(sent), 0.01)
			}
		}
	}
}

// enableRetries makes each instance retry failed calls within a budget of its own.
func (w *world) enableRetries(s retry.Settings, choosers []*choose.Chooser, seed uint64) {
	for n, i := range w.instances {
		budget, rnd := retry.NewBudget(s), rand.New(rand.NewPCG(seed, uint64(n)))
		i.Timeout = callTimeout
		i.Retry = func(c *fleet.Call, _ choose.Outcome) (time.Duration, bool) {
			if c.Attempts >= maxAttempts || choosers[n].KindFails(c.Kind) || !budget.TryTake(w.loop.Now()) {
				return 0, false
			}
			return retry.Backoff(c.Attempts, s, rnd), true
		}
		i.OnFirstAttempt = func() { budget.RecordFirst(w.loop.Now()) }
	}
}

// sentCalls returns the number of attempts sent to runners so far.
func (w *world) sentCalls() (sent int) {
	for _, i := range w.instances {
		sent += i.Sent
	}
	return sent
}

// measureLeaving measures how many calls still arrive at a leaving runner after the time
// allowed, for the fastest runner and for the slowest, which rarely gets calls.
func measureLeaving(r *report, set uint64) {
	lateCalls, which := 0, []int{0, runnerCount - 1}
	for _, n := range which {
		w := newWorld(faultLoad, evenParts(instanceCount), set)
		choosers := w.addChoosers(instanceCount, choose.Settings{}, set)
		var received int
		w.loop.After(warmUp, func() { w.targets[n].Fault.Leaving = true })
		w.loop.After(warmUp+directoryLag, func() {
			list := w.runnerList()
			list[n].Leaving = true
			for _, c := range choosers {
				c.SetRunners(w.loop.Now(), list)
			}
		})
		w.loop.After(warmUp+leavingLimit, func() { received = w.targets[n].Received })
		w.run()
		lateCalls += w.targets[n].Received - received
		r.Rows = append(r.Rows, w.row("leaving-"+w.targets[n].ID, "quarantine", set))
	}
	r.atMost("leaving-calls-after-3s", float64(lateCalls), 0)
}
