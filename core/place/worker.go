package place

import (
	"math"
	"time"

	"gypsumward/core/demand"
)

// Worker describes one worker of the list given to Placer.SetWorkers.
type Worker struct {
	ID      string
	Rack    string
	Cores   float64
	Memory  int64 // bytes
	Leaving bool  // whether the worker is shutting down and gets no new tasks
}

// workerState is the state of one worker.
type workerState struct {
	Worker
	index           int       // position in Placer.workers
	rack            int       // number of the rack
	slot            int       // number in the records of kinds
	unlisted        bool      // whether it is no longer listed
	unlistedSince   time.Time // time at which it was first missing in the list
	reportedLeaving bool      // whether its last report said that it is leaving

	held     []demand.KindLoad // tasks of this instance by kind
	count    int               // number of tasks of this instance
	ownNeeds resources         // needs of held
	history  history

	others     resources // reported use beyond the needs of this instance at the time of the report, averaged
	lastReport time.Time // time of the last report

	slowness float64 // ratio of run times to the expected ones, averaged
	health   health
}

// isOpen reports whether the worker is listed and not leaving.
func (w *workerState) isOpen() bool {
	return !w.unlisted && !w.reportedLeaving && !w.Leaving
}

// isRemovable reports whether the state of the worker can be deleted: it is not
// listed, and has neither tasks nor a quarantine or has been missing for long.
func (w *workerState) isRemovable(now time.Time) bool {
	if !w.unlisted {
		return false
	}
	return w.count == 0 && w.health.phase == serving || now.Sub(w.unlistedSince) > relapseWindow
}

// add records the start of a task.
func (w *workerState) add(now time.Time, k *demand.Kind, task resources) {
	w.history.add(event{at: now, kind: k, declared: task, sign: 1})
	w.held = changeMix(w.held, k, task, 1)
	w.count++
	w.ownNeeds = sumNeeds(w.held)
}

// remove records the end of a task. It reports false if the worker has no task of
// the kind.
func (w *workerState) remove(now time.Time, k *demand.Kind, task resources) bool {
	k = w.heldKind(k)
	if k == nil {
		return false
	}
	w.history.add(event{at: now, kind: k, declared: task, sign: -1})
	w.held = changeMix(w.held, k, task, -1)
	w.count--
	w.ownNeeds = sumNeeds(w.held)
	return true
}

// heldKind returns the kind under which a task is recorded: its own, or one
// that the estimator has dropped since the task started. It returns nil if
// there is none.
func (w *workerState) heldKind(k *demand.Kind) *demand.Kind {
	var dropped *demand.Kind
	for i := range w.held {
		if w.held[i].Kind == k {
			return k
		}
		if w.held[i].Kind.Dropped() {
			dropped = w.held[i].Kind
		}
	}
	return dropped
}

// sumNeeds returns the sum of the estimated needs of the tasks of a mix.
func sumNeeds(mix []demand.KindLoad) resources {
	var sum resources
	for i := range mix {
		cores, memory := mix[i].Kind.Need(mix[i].Cores, mix[i].Memory)
		sum.cores += cores
		sum.memory += memory
	}
	return sum
}

// Parameters of the estimated slowness of a worker.
const (
	slownessGain     = 0.1  // weight of a new ratio in the average
	maxSlowness      = 20   // upper bound of a ratio
	minSlowness      = 0.05 // lower bound of a ratio
	earlyFailurePart = 0.25 // part of the expected run time below which a failure is early
)

// observeRunTime updates the slowness with the run time of a task. It has no
// effect if the run time or the expected one is unknown.
func (w *workerState) observeRunTime(runTime, expected time.Duration) {
	if runTime <= 0 || expected <= 0 {
		return
	}
	ratio := min(max(float64(runTime)/float64(expected), minSlowness), maxSlowness)
	w.slowness += slownessGain * (ratio - w.slowness)
}

// othersTimeConstant is the time constant of the average use by other
// instances. It is longer than the lag of reports: if all instances followed
// each report at once, they would all pick the workers that were idle a while
// ago.
const othersTimeConstant = 3 * time.Second

// updateOthers updates the average use by others with the one at the time of a
// report.
func (w *workerState) updateOthers(now time.Time, others resources) {
	elapsed := now.Sub(w.lastReport)
	weight := 1 - math.Exp(-elapsed.Seconds()/othersTimeConstant.Seconds())
	w.others.cores += weight * (others.cores - w.others.cores)
	w.others.memory += weight * (others.memory - w.others.memory)
	w.lastReport = now
}

// utilization returns the utilization of the cores or that of the memory,
// whichever is larger, with need added.
func (w *workerState) utilization(need resources) float64 {
	return max(
		(w.ownNeeds.cores+w.others.cores+need.cores)/w.Cores,
		(w.ownNeeds.memory+w.others.memory+need.memory)/math.Max(float64(w.Memory), 1),
	)
}
