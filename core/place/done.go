package place

import (
	"time"

	"gypsumward/core/demand"
	"gypsumward/core/target"
)

// Outcome is the result of a placed task.
type Outcome int

// The outcomes of a task.
const (
	Succeeded Outcome = iota // the task succeeded
	Failed                   // the task ran and failed
	Refused                  // the worker did not start the task
	Lost                     // the worker no longer knows the task or is unreachable
	Stopped                  // the task was stopped on request
)

// Done records the outcome of a task that Pick placed on the worker with the
// given id, and frees its capacity. The argument runTime is its run time, zero if
// unknown. Done has no effect if the worker is unknown.
func (p *Placer) Done(now time.Time, id string, d Task, runTime time.Duration, o Outcome) {
	w := p.byID[id]
	if w == nil {
		return
	}
	k := p.demand.Kind(d.Team, d.Kind)
	expected := k.RunTime(d.RunTime)
	if w.remove(now, k, p.declared(k, &d)) {
		p.spread.remove(d.Job, w.rack)
	}
	switch o {
	case Succeeded:
		k.ObserveRunTime(runTime)
		w.observeRunTime(runTime, expected)
		p.recordSuccess(now, w, k)
	case Failed:
		weight := 1.0
		if runTime > 0 && float64(runTime) < earlyFailurePart*float64(expected) {
			weight = earlyFailureWeight
		}
		p.recordFailure(now, w, k, weight)
	case Lost:
		p.recordFailure(now, w, k, 1)
	case Refused:
		p.backOff(now, w)
	case Stopped:
	}
	p.updateCapacity(w)
}

// RecordUsage updates the estimates with a usage report of the worker with the given
// id. It has no effect if the worker is unknown.
func (p *Placer) RecordUsage(now time.Time, id string, u target.Usage) {
	w := p.byID[id]
	if w == nil {
		return
	}
	w.reportedLeaving = u.Leaving
	p.mix = w.history.rewind(now.Add(-u.Age.Duration()), append(p.mix[:0], w.held...))
	p.demand.ObserveUsage(p.mix, reportedUse(w, p.mix, u))
	w.ownNeeds = sumNeeds(w.held)
	p.utilization += (u.Cores/w.Cores - p.utilization) / float64(utilizationReports*len(p.workers))
	needsThen := sumNeeds(p.mix)
	w.updateOthers(now, resources{
		cores:  max(u.Cores-needsThen.cores, 0),
		memory: max(float64(u.Memory)-needsThen.memory, 0),
	})
	p.updateCapacity(w)
}

// fullUtilization is the utilization of a worker's cores above which all of
// them count as in use.
const fullUtilization = 0.97

// reportedUse converts a report to the form used by package demand. The
// argument mix holds the tasks of this instance that ran when the report was
// made.
func reportedUse(w *workerState, mix []demand.KindLoad, u target.Usage) demand.Usage {
	own := 0
	for i := range mix {
		own += mix[i].Count
	}
	return demand.Usage{
		Cores:     u.Cores,
		Memory:    float64(u.Memory),
		CoresFull: u.Cores >= fullUtilization*w.Cores,
		Others:    max(u.Running-own, 0),
	}
}
