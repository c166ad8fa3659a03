//go:build bench

package bench_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/fair"
	"gypsumward/core/place"
)

// Sizes of the experiments on placement.
const (
	workerCount    = 50
	pumpInterval   = 20 * time.Millisecond
	meanJobSize    = 40.0 // mean number of tasks of a job
	maxJobSize     = 1200 // tasks
	straggleFactor = 20   // by which stragglers run longer
)

// placeTimes returns the times from the start of a run at which measuring starts, arrivals
// end, and the run ends.
func placeTimes() (first, last, end time.Duration) {
	first = warmUp / 2
	last = first + measured*5/8
	return first, last, last + drain/2
}

// placeKinds returns kinds whose declared requirements are up to ten times too high or too
// low.
func placeKinds() []*placeKind {
	const mega = float64(1 << 20)
	return []*placeKind{
		{name: "clearance", cores: 0.5, memory: 200 * mega, runTime: 60 * time.Millisecond, declaredRatio: 10},
		{name: "check", cores: 1, memory: 400 * mega, runTime: 120 * time.Millisecond, declaredRatio: 1},
		{name: "price", cores: 2, memory: 800 * mega, runTime: 200 * time.Millisecond, declaredRatio: 0.1},
		{name: "quote", cores: 1, memory: 3000 * mega, runTime: 350 * time.Millisecond, declaredRatio: 0.3},
		{name: "bath", cores: 3, memory: 2000 * mega, runTime: 500 * time.Millisecond, declaredRatio: 3},
		{name: "stamp", cores: 0.25, memory: 100 * mega, runTime: 900 * time.Millisecond, declaredRatio: 0.1},
		{name: "season", cores: 4, memory: 6000 * mega, runTime: 4 * time.Second, declaredRatio: 0.5},
	}
}

// kindShares are the fractions of the kinds among tasks.
var kindShares = []float64{0.2, 0.25, 0.2, 0.15, 0.1, 0.08, 0.02}

// placeWorld is a run of a scenario with one policy.
type placeWorld struct {
	loop    *fleet.Loop
	workers []*fakeWorker
	byID    map[string]*fakeWorker
	pickers []placePicker
	queues  []*fair.Queue[*task]
	kinds   []*placeKind

	stragglerShare float64 // fraction of the tasks that run straggleFactor times longer
	arrivals       int     // number of tasks measured
	good           int
	started        int
	failed         int
	responses      []float64 // relative to the run time on an idle worker
	onStart        func(w *fakeWorker, t *task)
}

// placePolicy is a placement policy.
type placePolicy struct {
	name      string
	newPicker func(seed uint64) placePicker
}

// The placement policies measured; byPlacer is the one in use.
var (
	byPlacer   = placePolicy{"placer", func(seed uint64) placePicker { return place.New(place.Settings{Seed: seed}) }}
	byRandom   = placePolicy{"random", func(seed uint64) placePicker { return newRandomPlacer(seed) }}
	byFirstFit = placePolicy{"first-fit-declared", func(seed uint64) placePicker {
		return &firstFit{randomPlacer: *newRandomPlacer(seed), used: map[string]place.Task{}}
	}}
	byOracle      = placePolicy{"oracle", func(uint64) placePicker { return &placeOracle{} }}
	placePolicies = []placePolicy{byRandom, byFirstFit, byOracle, byPlacer}
)

func newRandomPlacer(seed uint64) *randomPlacer {
	return &randomPlacer{rng: rand.New(rand.NewPCG(seed, 3))}
}

// newPlaceWorld returns a world of idle workers, and instances that know them.
func newPlaceWorld(p placePolicy, seed uint64) *placeWorld {
	w := &placeWorld{loop: fleet.NewLoop(), kinds: placeKinds(), byID: map[string]*fakeWorker{}}
	w.workers = newWorkers(w.loop, workerCount)
	for _, f := range w.workers {
		w.byID[f.ID] = f
	}
	for i := range instanceCount {
		w.pickers = append(w.pickers, p.newPicker(seed*100+uint64(i)))
		if o, ok := w.pickers[i].(*placeOracle); ok {
			o.setWorld(w)
		}
		w.queues = append(w.queues, fair.New[*task](fair.Settings{MaxItems: 1 << 20, MaxTeamFraction: 1}))
		w.pickers[i].SetInstances(instanceCount, 0)
	}
	w.updateDirectory()
	return w
}

// updateDirectory sends the directory of workers to all instances.
func (w *placeWorld) updateDirectory() {
	var listed []place.Worker
	for _, f := range w.workers {
		listed = append(listed, f.Worker)
	}
	for _, p := range w.pickers {
		p.SetWorkers(w.loop.Now(), listed)
	}
}

// run simulates jobs that need on average the fraction load of the cores of all workers.
func (w *placeWorld) run(load float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	_, last, end := placeTimes()
	need := 0.0 // mean core seconds of a task
	for i, k := range w.kinds {
		need += kindShares[i] * k.cores * k.runTime.Seconds()
	}
	rate := load * workerCores * workerCount / need / meanJobSize
	for at, n := 0.0, 0; ; n++ {
		at += rng.ExpFloat64() / rate
		if at > last.Seconds() {
			break
		}
		w.addJob(rng, time.Duration(at*float64(time.Second)), fmt.Sprint("job-", n))
	}
	for _, f := range w.workers {
		w.loop.Every(reportInterval, func() { f.report(w.pickers) })
	}
	for i := range w.queues {
		w.loop.Every(pumpInterval, func() { w.pump(i) })
	}
	w.loop.Run(end)
}

// addJob schedules the arrival of a job at a random instance. The number of its tasks has a
// log-normal distribution.
func (w *placeWorld) addJob(rng *rand.Rand, at time.Duration, name string) {
	const spreadSize = 1.5
	size := meanJobSize * math.Exp(spreadSize*rng.NormFloat64()-spreadSize*spreadSize/2)
	instance := rng.IntN(instanceCount)
	for range min(max(int(size), 1), maxJobSize) {
		k := w.kinds[pickShare(rng, kindShares)]
		t := &task{kind: k, job: name, arrivedAt: w.loop.Now().Add(at), instance: instance}
		t.runTime = time.Duration(float64(k.runTime) * math.Exp(logStdDev*rng.NormFloat64()))
		if rng.Float64() < w.stragglerShare {
			t.runTime *= straggleFactor
		}
		w.loop.After(at, func() { w.arrive(t) })
	}
}

// pickShare draws an index of parts with these probabilities, which add up to 1.
func pickShare(rng *rand.Rand, parts []float64) int {
	x := rng.Float64()
	for i := range parts {
		if x -= parts[i]; x < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// isMeasured reports whether t arrived after measuring started.
func (w *placeWorld) isMeasured(t *task) bool {
	first, _, _ := placeTimes()
	return !t.arrivedAt.Before(fleet.NewLoop().Now().Add(first))
}

// arrive queues a task at its instance.
func (w *placeWorld) arrive(t *task) {
	if w.isMeasured(t) {
		w.arrivals++
	}
	w.queues[t.instance].Push(w.loop.Now(), fair.Item[*task]{Team: "team", Job: t.job, Cost: t.kind.runTime.Seconds(), Payload: t})
	w.pump(t.instance)
}

// pump starts queued tasks of instance i until none can be placed.
func (w *placeWorld) pump(i int) {
	for {
		var id string
		it, ok := w.queues[i].Pop(w.loop.Now(), func(it fair.Item[*task]) bool {
			var v place.Result
			id, v = w.pickers[i].Pick(w.loop.Now(), it.Payload.demand())
			return v == place.Placed
		})
		if !ok {
			return
		}
		w.start(w.byID[id], it.Payload)
	}
}

// start sends a task to a worker and its outcome back.
func (w *placeWorld) start(f *fakeWorker, t *task) {
	w.started++
	if w.onStart != nil {
		w.onStart(f, t)
	}
	w.loop.After(fleet.MessageDelay, func() {
		f.start(t, func(elapsed time.Duration, o place.Outcome) {
			w.loop.After(fleet.MessageDelay, func() { w.handleEnd(f, t, elapsed, o) })
		})
	})
}

// handleEnd processes the outcome of a task. A failed task is not retried.
func (w *placeWorld) handleEnd(f *fakeWorker, t *task, elapsed time.Duration, o place.Outcome) {
	w.pickers[t.instance].Done(w.loop.Now(), f.ID, t.demand(), elapsed, o)
	w.pump(t.instance)
	if !w.isMeasured(t) {
		return
	}
	if o != place.Succeeded {
		w.failed++
		return
	}
	w.good++
	ideal := t.runTime + 2*fleet.MessageDelay
	w.responses = append(w.responses, float64(w.loop.Now().Sub(t.arrivedAt))/float64(ideal))
}

// overload returns the longest time for which a worker was overloaded.
func (w *placeWorld) overload() time.Duration {
	var longest time.Duration
	for _, f := range w.workers {
		if !f.overloadedSince.IsZero() {
			f.longestOverload = max(f.longestOverload, w.loop.Now().Sub(f.overloadedSince))
		}
		longest = max(longest, f.longestOverload)
	}
	return longest
}

// row returns the results of a run. The messages of failed tasks count as wasted.
func (w *placeWorld) row(scenario, policy string, set uint64) row {
	r := row{Scenario: scenario, Set: set}
	r.Policy = fmt.Sprintf("%s over %.1fs", policy, w.overload().Seconds())
	for i, q := range []float64{0.5, 0.95, 0.99} {
		r.Fastest[i] = quantile(w.responses, q)
	}
	r.Goodput = float64(w.good) / float64(max(w.arrivals, 1))
	r.Wasted = float64(w.failed) / float64(max(w.good, 1))
	return r
}
