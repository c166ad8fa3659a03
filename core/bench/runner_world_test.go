//go:build bench

package bench_test

import (
	"time"

	"gypsumward/core/bench/fleet"
)

// kinds is the mix of requests: most take 50 ms to 1 s, a few take 3 s.
var kinds = []fleet.Kind{
	{Name: "clearance", RunTime: 50 * time.Millisecond, Share: 0.25},
	{Name: "price", RunTime: 150 * time.Millisecond, Share: 0.40},
	{Name: "slot", RunTime: 400 * time.Millisecond, Share: 0.23},
	{Name: "stamp", RunTime: time.Second, Share: 0.10},
	{Name: "season", RunTime: 3 * time.Second, Share: 0.02},
}

// Sizes of the experiments on runners.
const (
	runnerCount   = 50
	runnerSlots   = 8
	runnerSlowest = 5.0 // run time of the slowest runner relative to the fastest
	instanceCount = 8
	logStdDev     = 0.15 // standard deviation of the logarithm of run times
)

// Durations of the phases of a run. TestBench shortens them if isShortRun.
var (
	warmUp   = 30 * time.Second // not measured
	measured = 120 * time.Second
	drain    = 60 * time.Second // without arrivals, for the last calls to end
)

// messagesPerAttempt counts the call and the answer.
const messagesPerAttempt = 2

// world is a run of a scenario with one policy.
type world struct {
	loop          *fleet.Loop
	targets       []*fleet.Target
	instances     []*fleet.Instance
	calls         []*fleet.Call
	extraMessages int           // number of messages between instances
	measureFrom   time.Duration // time from the start of the run to the start of measuring
	tallyBefore   tally         // tally at that time

	onArrival func(i int, c *fleet.Call) // called with each arriving call; may be nil
	route     func(c *fleet.Call) int    // returns the instance that queues the call; nil means the one at which it arrives
}

// newWorld returns a world with the calls of one stream, at the fraction load of the rate
// that the targets can serve. Each instance gets its part of the calls.
func newWorld(load float64, parts []float64, seed uint64) *world {
	return newWorldWithRunners(runnerCount, load, parts, seed)
}

// newWorldWithRunners returns a world like newWorld with n runners.
func newWorldWithRunners(n int, load float64, parts []float64, seed uint64) *world {
	w := &world{loop: fleet.NewLoop(), measureFrom: warmUp, targets: fleet.Targets(n, runnerSlots, runnerSlowest)}
	w.calls = fleet.Stream{
		Team: "a", Kinds: kinds, Rate: load * fleet.ServiceRate(w.targets, kinds), Stop: warmUp + measured,
		LogStdDev: logStdDev, Instances: parts, Seed: seed,
	}.Calls(w.loop.Now())
	return w
}

// evenParts returns n equal parts that add up to 1.
func evenParts(n int) []float64 {
	parts := make([]float64, n)
	for i := range parts {
		parts[i] = 1 / float64(n)
	}
	return parts
}

// addInstances adds n instances with the pickers that picker returns.
func (w *world) addInstances(n int, picker func(i int) fleet.Picker) {
	byID := map[string]*fleet.Target{}
	for _, t := range w.targets {
		byID[t.ID] = t
	}
	for i := range n {
		w.instances = append(w.instances, &fleet.Instance{
			Loop: w.loop, Targets: byID, Picker: picker(i), Queue: &fleet.FIFO{Lookahead: 16},
		})
	}
}

// run simulates the arrival and the processing of all calls.
func (w *world) run() {
	for _, c := range w.calls {
		w.loop.After(c.ArrivedAt.Sub(w.loop.Now()), func() { w.arrive(c) })
	}
	for _, i := range w.instances {
		w.loop.Every(20*time.Millisecond, i.Pump)
	}
	w.loop.After(w.measureFrom, func() { w.tallyBefore = w.tally() })
	w.loop.Run(warmUp + measured + drain)
}

// arrive submits a call to its instance, or to the one to which it is routed.
func (w *world) arrive(c *fleet.Call) {
	if w.onArrival != nil {
		w.onArrival(c.Instance, c)
	}
	if w.route != nil {
		if to := w.route(c); to != c.Instance {
			w.loop.After(2*fleet.MessageDelay, func() { w.instances[to].Submit(c) })
			return
		}
	}
	w.instances[c.Instance].Submit(c)
}

// tally counts messages.
type tally struct {
	useful int // messages of attempts with a useful answer or none yet
	wasted int // messages of other attempts, and those between instances
}

// tally returns the messages so far.
func (w *world) tally() tally {
	t := tally{wasted: w.extraMessages}
	for _, i := range w.instances {
		t.useful += messagesPerAttempt * (i.Sent - i.Wasted)
		t.wasted += messagesPerAttempt * i.Wasted
	}
	return t
}

// row returns the results of a run for the calls that arrived after measuring started and
// that the oracle could serve.
func (w *world) row(scenario, policy string, set uint64) row {
	r := row{Scenario: scenario, Policy: policy, Set: set}
	start := fleet.NewLoop().Now().Add(w.measureFrom)
	all := fleet.Oracle(w.calls, w.targets)
	var oracle, responses, over []time.Duration
	for i, c := range w.calls {
		if c.ArrivedAt.Before(start) || all[i] == 0 {
			continue
		}
		oracle = append(oracle, all[i])
		if c.Good {
			responses = append(responses, c.ResponseTime)
			over = append(over, c.ResponseTime*time.Second/(c.RunTime+2*fleet.MessageDelay))
		}
	}
	for i, q := range []float64{0.5, 0.95, 0.99} {
		r.Oracle[i] = float64(fleet.Quantile(responses, q)) / float64(fleet.Quantile(oracle, q))
		r.Fastest[i] = fleet.Quantile(over, q).Seconds()
	}
	r.Goodput = float64(len(responses)) / float64(len(oracle))
	now := w.tally()
	r.Wasted = float64(now.wasted-w.tallyBefore.wasted) / float64(now.useful-w.tallyBefore.useful)
	return r
}
