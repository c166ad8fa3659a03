//go:build bench

package bench_test

import (
	"time"
)

func init() {
	register("place-2-fault", measurePlacementFaults)
}

// Stated targets, load and times of the experiments on failing and leaving workers.
const (
	maxBlackHoleShare = 0.01            // of the tasks started in the minute after a worker turns bad
	placeLeavingLimit = 3 * time.Second // after which a leaving worker must get no new tasks
	placeFaultLoad    = 0.5
	placeFlapInterval = 10 * time.Second
)

// placeFault is a scenario in which a fault occurs at faultStart.
type placeFault struct {
	name           string
	inject         func(w *placeWorld)
	badWorkers     int     // number of workers that turn bad
	maxFailedShare float64 // target for the fraction of the tasks of the next minute that fail there; zero means none
}

// measurePlacementFaults measures the effect of bad workers and of a kind of task that
// always fails.
func measurePlacementFaults(r *report, set uint64) {
	for _, f := range []placeFault{
		{name: "place-black-hole", badWorkers: 1, maxFailedShare: maxBlackHoleShare, inject: func(w *placeWorld) { w.setBlackHoles(1, true) }},
		{name: "place-black-rack", badWorkers: rackSize, inject: func(w *placeWorld) { w.setBlackHoles(rackSize, true) }},
		{name: "place-flapping", badWorkers: 1, maxFailedShare: maxBlackHoleShare, inject: func(w *placeWorld) { w.flap() }},
		{name: "place-one-kind", badWorkers: 1, maxFailedShare: maxBlackHoleShare, inject: func(w *placeWorld) { w.workers[0].failingKind = "price" }},
		{name: "place-poison", inject: func(w *placeWorld) { w.kinds[2].poison = true }},
	} {
		for _, p := range []placePolicy{byRandom, byFirstFit, byPlacer} {
			w := newPlaceWorld(p, set)
			start := faultStart()
			w.loop.After(start, func() { f.inject(w) })
			failed, started := w.countFailures(f.badWorkers, start, start+time.Minute)
			w.run(placeFaultLoad, set)
			r.Rows = append(r.Rows, w.row(f.name, p.name, set))
			if p.name == byPlacer.name && f.maxFailedShare > 0 {
				r.atMost(f.name+"-part-of-minute", float64(*failed)/float64(max(*started, 1)), f.maxFailedShare)
			}
		}
	}
	measurePlacementLeaving(r, set)
}

// faultStart returns the time of the fault from the start of the simulation: after a sixth
// of the time measured.
func faultStart() time.Duration {
	first, last, _ := placeTimes()
	return first + (last-first)/6
}

// setBlackHoles sets whether the first n workers fail all tasks.
func (w *placeWorld) setBlackHoles(n int, on bool) {
	for _, f := range w.workers[:n] {
		f.blackHole = on
	}
}

// flap lets the first worker fail all tasks and work again in turns.
func (w *placeWorld) flap() {
	on := true
	w.setBlackHoles(1, on)
	w.loop.Every(placeFlapInterval, func() {
		on = !on
		w.setBlackHoles(1, on)
	})
}

// countFailures counts the tasks that are started between two times from the start of the
// simulation, and those of them that fail on the first n workers. The counts are complete
// once the simulation has ended.
func (w *placeWorld) countFailures(n int, from, to time.Duration) (failed, started *int) {
	failed, started = new(int), new(int)
	begin := w.loop.Now()
	w.onStart = func(f *fakeWorker, t *task) {
		if at := w.loop.Now().Sub(begin); at < from || at >= to {
			return
		}
		*started++
		for _, bad := range w.workers[:n] {
			if bad == f && (f.blackHole || f.failingKind == t.kind.name) {
				*failed++
			}
		}
	}
	return failed, started
}

// measurePlacementLeaving measures how many tasks are started on leaving workers after the
// time allowed. One worker announces it only in its reports, the other only in the
// directory.
func measurePlacementLeaving(r *report, set uint64) {
	w := newPlaceWorld(byPlacer, set)
	faultTime, lateStarts := faultStart(), 0
	start := w.loop.Now()
	w.loop.After(faultTime, func() { w.workers[0].reportsLeaving = true })
	w.loop.After(faultTime, func() { w.workers[1].Leaving = true })
	w.loop.Every(time.Second, w.updateDirectory)
	w.onStart = func(f *fakeWorker, _ *task) {
		leaving := f == w.workers[0] || f == w.workers[1]
		if leaving && w.loop.Now().Sub(start) > faultTime+placeLeavingLimit {
			lateStarts++
		}
	}
	w.run(placeFaultLoad, set)
	r.Rows = append(r.Rows, w.row("place-leaving", byPlacer.name, set))
	r.atMost("place-leaving-started-after-3s", float64(lateStarts), 0)
}
