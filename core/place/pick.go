package place

import (
	"math"
	"time"

	"gypsumward/core/demand"
)

// Task describes a task to be placed with its declared needs.
type Task struct {
	Team, Kind, Job string
	Cores           float64       // declared cores; zero means unknown
	Memory          int64         // declared memory in bytes; zero means unknown
	RunTime         time.Duration // expected run time; zero means unknown
}

// Result is the result of a Pick.
type Result int

// The results of a Pick.
const (
	Placed     Result = iota // capacity is reserved on the worker until Done
	NoCapacity               // no worker has enough free capacity now
	TooLarge                 // no worker is large enough, even when idle
)

// Pick chooses a worker for a task, reserves capacity on it and returns its id.
// The id is empty unless the result is Placed. Each placed task must be passed to
// Done once, whatever its outcome.
func (p *Placer) Pick(now time.Time, d Task) (string, Result) {
	p.updateTimers(now)
	k := p.demand.Kind(d.Team, d.Kind)
	declared := p.declared(k, &d)
	need, fits := p.need(k, declared)
	if !fits {
		return "", TooLarge
	}
	w := p.chooseWorker(now, k, need, d.Job)
	if w == nil {
		w = p.useReservation(now, need)
	}
	if w == nil {
		return "", NoCapacity
	}
	p.addTask(now, w, k, declared, d.Job)
	return w.ID, Placed
}

// IsTooLarge reports whether the task is too large for every worker, so that Pick
// would return the result TooLarge.
func (p *Placer) IsTooLarge(d Task) bool {
	k := p.demand.Kind(d.Team, d.Kind)
	_, fits := p.need(k, p.declared(k, &d))
	return !fits
}

// Adopt reserves capacity for a task that already runs on the worker with the
// given id. It has no effect if the worker is unknown.
func (p *Placer) Adopt(now time.Time, id string, d Task) {
	w := p.byID[id]
	if w == nil {
		return
	}
	k := p.demand.Kind(d.Team, d.Kind)
	p.addTask(now, w, k, p.declared(k, &d), d.Job)
}

// addTask records the start of a task on a worker.
func (p *Placer) addTask(now time.Time, w *workerState, k *demand.Kind, declared resources, job string) {
	w.add(now, k, declared)
	p.spread.add(job, w.rack)
	p.updateCapacity(w)
}

// declared returns the declared need of a task, with defaults for what it does
// not declare.
func (p *Placer) declared(k *demand.Kind, d *Task) resources {
	cores, memory := k.Declared(d.Cores, d.Memory)
	return resources{cores: cores, memory: memory}
}

// need returns the capacity to reserve for a task. It reports false if no
// worker is large enough for the declared need, unless the need of the kind is
// known well enough to overrule it.
func (p *Placer) need(k *demand.Kind, declared resources) (resources, bool) {
	if len(p.workers) == 0 || p.largest.cores == 0 {
		return declared, true
	}
	if !k.Known() && !p.fitsIdle(declared) {
		return resources{}, false
	}
	var need resources
	need.cores, need.memory = k.Need(declared.cores, declared.memory)
	size := resources{cores: need.cores / p.settings.Cores, memory: need.memory / p.settings.Memory}
	if !p.fitsIdle(size) { // the task needs a worker of its own
		need.cores = min(need.cores, p.largest.cores*p.settings.Cores)
		need.memory = min(need.memory, p.largest.memory*p.settings.Memory)
	}
	return need, true
}

// fitsIdle reports whether any worker is large enough when idle.
func (p *Placer) fitsIdle(size resources) bool {
	return p.largest.covers(size) || p.sizes.find(0, size) >= 0
}

// chooseWorker returns the best of a few random workers with enough free
// capacity, or nil if there is none.
func (p *Placer) chooseWorker(now time.Time, k *demand.Kind, need resources, job string) *workerState {
	if len(p.workers) == 0 {
		return nil
	}
	tasks := p.spread.jobs[job]
	var best *workerState
	score := math.Inf(1)
	for range p.settings.Choices {
		i := p.capacities.find(p.rng.IntN(len(p.workers)), need)
		if i < 0 {
			return best
		}
		w := p.workers[i]
		if w == best || w.health.isBlocked(now, k) {
			continue
		}
		if s := p.score(w, need, tasks); s < score {
			best, score = w, s
		}
	}
	return best
}

// slownessWeight is the weight of slowness relative to utilization in the score.
const slownessWeight = 0.5

// score rates a worker for a task that needs the given capacity and whose job has
// the given tasks; lower is better.
func (p *Placer) score(w *workerState, need resources, tasks *rackCounts) float64 {
	s := w.utilization(need) + p.settings.Spread*tasks.fraction(w.rack)
	if w.slowness > 1 {
		s += slownessWeight * (w.slowness - 1)
	}
	return s
}
