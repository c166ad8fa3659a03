//go:build bench

package bench_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/place"
	"gypsumward/core/span"
	wire "gypsumward/core/target"
)

// Sizes and times of the simulated workers.
const (
	workerCores    = 32
	workerMemory   = 128 << 30 // bytes
	rackSize       = 8
	reportInterval = 250 * time.Millisecond
	reportLag      = time.Second
	failureTime    = 2 * time.Millisecond // duration of a task that fails because of a fault or for lack of memory
)

// placeKind is a kind of task with its actual and its declared requirements.
type placeKind struct {
	name          string
	cores         float64 // actual
	memory        float64 // actual, bytes
	runTime       time.Duration
	declaredRatio float64 // ratio of declared to actual cores and memory
	poison        bool    // fails on every worker
}

// task is a task of a job.
type task struct {
	kind      *placeKind
	job       string
	arrivedAt time.Time
	instance  int
	runTime   time.Duration // run time on an idle worker
}

// demand returns the requirements of t as declared by its caller.
func (t *task) demand() place.Task {
	return place.Task{
		Team: "team", Kind: t.kind.name, Job: t.job,
		Cores: t.kind.cores * t.kind.declaredRatio, Memory: int64(t.kind.memory * t.kind.declaredRatio),
	}
}

// fakeWorker simulates a worker that starts all tasks that it gets. Running tasks share its
// cores: the run time of a task that is started while the tasks need more cores than there
// are grows in proportion. A task that is started without enough free memory fails.
type fakeWorker struct {
	place.Worker
	loop            *fleet.Loop
	used            wire.Usage
	blackHole       bool   // fails all tasks after failureTime
	failingKind     string // kind whose tasks it fails after failureTime
	reportsLeaving  bool   // its reports say that it is leaving
	started         int
	inFlightCores   float64   // cores of tasks placed but not yet started, for the oracle
	overloadedSince time.Time // start of the current overload; zero if there is none
	longestOverload time.Duration
}

// start runs a task and calls done with its run time and outcome.
func (w *fakeWorker) start(t *task, done func(elapsed time.Duration, o place.Outcome)) {
	w.started++
	w.inFlightCores = max(w.inFlightCores-t.kind.cores, 0)
	if w.blackHole || t.kind.poison || w.failingKind == t.kind.name {
		w.loop.After(failureTime, func() { done(failureTime, place.Failed) })
		return
	}
	w.updateUsage(1, t.kind)
	o := place.Succeeded
	elapsed := time.Duration(float64(t.runTime) * math.Max(1, w.used.Cores/w.Cores))
	if w.used.Memory > w.Memory {
		elapsed, o = failureTime, place.Failed
	}
	w.loop.After(elapsed, func() {
		w.updateUsage(-1, t.kind)
		done(elapsed, o)
	})
}

// overloadRatio is the ratio of cores needed to cores above which a worker counts as
// overloaded.
const overloadRatio = 1.1

// updateUsage adds a task of kind k for n = 1, or removes one for n = -1, and updates the
// longest overload.
func (w *fakeWorker) updateUsage(n int, k *placeKind) {
	w.used.Cores += float64(n) * k.cores
	w.used.Memory += int64(n) * int64(k.memory)
	w.used.Running += n
	over := w.used.Cores > overloadRatio*w.Cores
	switch {
	case over && w.overloadedSince.IsZero():
		w.overloadedSince = w.loop.Now()
	case !over && !w.overloadedSince.IsZero():
		w.longestOverload = max(w.longestOverload, w.loop.Now().Sub(w.overloadedSince))
		w.overloadedSince = time.Time{}
	}
}

// newWorkers returns n idle workers in racks of rackSize.
func newWorkers(loop *fleet.Loop, n int) []*fakeWorker {
	all := make([]*fakeWorker, n)
	for i := range all {
		all[i] = &fakeWorker{loop: loop, Worker: place.Worker{
			ID: fmt.Sprintf("worker-%02d", i), Rack: fmt.Sprintf("rack-%d", i/rackSize),
			Cores: workerCores, Memory: workerMemory,
		}}
	}
	return all
}

// placePicker chooses workers for tasks. *place.Placer implements it.
type placePicker interface {
	SetWorkers(now time.Time, workers []place.Worker)
	SetInstances(instances int, weight float64)
	Pick(now time.Time, d place.Task) (string, place.Result)
	Done(now time.Time, id string, d place.Task, took time.Duration, o place.Outcome)
	RecordUsage(now time.Time, id string, u wire.Usage)
}

// report sends the current usage of w to all pickers, which receive it after reportLag.
func (w *fakeWorker) report(pickers []placePicker) {
	u := w.used
	u.Leaving = w.reportsLeaving
	u.Cores = min(u.Cores, w.Cores)
	u.Age = span.Of(reportLag)
	w.loop.After(reportLag, func() {
		for _, p := range pickers {
			p.RecordUsage(w.loop.Now(), w.ID, u)
		}
	})
}

// randomPlacer is a placePicker that draws a worker that is not leaving according to the
// directory.
type randomPlacer struct {
	rng     *rand.Rand
	workers []place.Worker
}

func (r *randomPlacer) SetWorkers(_ time.Time, workers []place.Worker) {
	r.workers = r.workers[:0]
	for _, w := range workers {
		if !w.Leaving {
			r.workers = append(r.workers, w)
		}
	}
}

func (r *randomPlacer) Pick(time.Time, place.Task) (string, place.Result) {
	return r.workers[r.rng.IntN(len(r.workers))].ID, place.Placed
}

func (r *randomPlacer) SetInstances(int, float64)                                        {}
func (r *randomPlacer) Done(time.Time, string, place.Task, time.Duration, place.Outcome) {}
func (r *randomPlacer) RecordUsage(time.Time, string, wire.Usage)                        {}

// firstFit is a placePicker that places a task on the first worker of which the instance's
// fraction has capacity for the declared requirements.
type firstFit struct {
	randomPlacer
	fraction float64               // of each worker that this instance may use
	used     map[string]place.Task // sums of the declared requirements by worker
}

func (f *firstFit) SetInstances(instances int, _ float64) { f.fraction = 1 / float64(instances) }

func (f *firstFit) Pick(_ time.Time, d place.Task) (string, place.Result) {
	for _, w := range f.workers {
		u := f.used[w.ID]
		empty := u.Cores == 0 // a task that exceeds the fraction needs an unused one
		if empty || u.Cores+d.Cores <= f.fraction*w.Cores && u.Memory+d.Memory <= int64(f.fraction*float64(w.Memory)) {
			f.used[w.ID] = place.Task{Cores: u.Cores + d.Cores, Memory: u.Memory + d.Memory}
			return w.ID, place.Placed
		}
	}
	return "", place.NoCapacity
}

func (f *firstFit) Done(_ time.Time, id string, d place.Task, _ time.Duration, _ place.Outcome) {
	u := f.used[id]
	remaining := place.Task{Cores: u.Cores - d.Cores, Memory: u.Memory - d.Memory}
	if remaining.Memory == 0 {
		remaining.Cores = 0 // removes the rounding error
	}
	f.used[id] = remaining
}
