package place

import (
	"math/rand/v2"
	"time"

	"gypsumward/core/demand"
)

// Placer picks workers for tasks. It is not safe for concurrent use.
type Placer struct {
	settings    Settings
	demand      *demand.Estimator
	rng         *rand.Rand
	share       float64 // part of each worker's cores that this instance may always use
	shared      bool    // whether other instances use the workers too
	utilization float64 // utilization of the cores of all workers, averaged
	workers     []*workerState
	byID        map[string]*workerState
	capacities  tree      // free capacities of the workers
	sizes       tree      // capacities of the workers when idle
	largest     resources // capacity of the worker with the most memory
	spread      rackSpread
	records     records
	unhealthy   []*workerState    // workers that are quarantined or probed
	mix         []demand.KindLoad // buffer reused by RecordUsage
	reservation reservation
}

// New returns a Placer without workers.
func New(s Settings) *Placer {
	s = s.withDefaults()
	return &Placer{
		settings: s,
		demand:   demand.New(s.Demand),
		rng:      rand.New(rand.NewPCG(s.Seed, 0)),
		share:    1,
		byID:     make(map[string]*workerState),
		spread:   newSpread(),
		records:  records{kinds: make(map[*demand.Kind]*record)},
	}
}

// SetInstances sets the number of instances that share the workers and the part of the
// workers that belongs to this instance, between 0 and 1; any other weight means
// an even part.
func (p *Placer) SetInstances(instances int, weight float64) {
	p.shared = instances > 1
	p.share = weight
	if weight <= 0 || weight >= 1 {
		p.share = 1 / float64(max(instances, 1))
	}
	for _, w := range p.workers {
		p.updateCapacity(w)
	}
}

// SetWorkers replaces the list of workers. The state of workers that stay listed is
// kept. That of other workers is kept for some minutes if they have tasks of
// this instance or are in quarantine, since the list lags and may miss a worker
// for a while.
func (p *Placer) SetWorkers(now time.Time, workers []Worker) {
	for _, w := range p.workers {
		if !w.unlisted {
			w.unlisted, w.unlistedSince = true, now
		}
	}
	for i := range workers {
		p.addListed(workers[i])
	}
	kept := p.workers[:0]
	for _, w := range p.workers {
		if w.isRemovable(now) {
			delete(p.byID, w.ID)
			p.removeUnhealthy(w)
			p.records.release(w.slot)
			continue
		}
		w.index = len(kept)
		kept = append(kept, w)
	}
	clear(p.workers[len(kept):])
	p.workers = kept
	p.rebuild()
	p.records.prune()
	p.updateTimers(now)
}

// addListed adds a listed worker or updates the state of a known one.
func (p *Placer) addListed(listed Worker) {
	w := p.byID[listed.ID]
	if w == nil {
		w = &workerState{slowness: 1, slot: p.records.newSlot()}
		p.byID[listed.ID] = w
		p.workers = append(p.workers, w)
	}
	w.Worker = listed
	w.unlisted = false
	w.rack = p.spread.rack(listed.Rack)
}

// rebuild recomputes both trees and the largest capacity.
func (p *Placer) rebuild() {
	p.capacities.resize(len(p.workers))
	p.sizes.resize(len(p.workers))
	p.largest = resources{}
	for _, w := range p.workers {
		p.updateCapacity(w)
		if !w.isOpen() {
			continue
		}
		size := resources{cores: w.Cores, memory: float64(w.Memory)}
		p.sizes.set(w.index, size)
		if size.memory > p.largest.memory || size.memory == p.largest.memory && size.cores > p.largest.cores {
			p.largest = size
		}
	}
}

// usable returns the part of a worker's capacity that tasks may use.
func (p *Placer) usable(w *Worker) resources {
	return resources{cores: w.Cores * p.coresLimit(), memory: float64(w.Memory) * p.settings.Memory}
}

// The limit for each worker's cores falls linearly while the utilization of the
// cores of all workers rises from lowUtilization to highUtilization.
const (
	lowUtilization     = 0.9
	highUtilization    = 0.97
	utilizationReports = 10 // reports of each worker over which the utilization of all workers is averaged
)

// coresLimit returns the part of a worker's cores that may be used. It exceeds
// one while the workers as a whole are not full: tasks on a worker whose cores
// are overcommitted for a moment lose less than tasks that wait because of
// reports that lag.
func (p *Placer) coresLimit() float64 {
	ease := min(max((highUtilization-p.utilization)/(highUtilization-lowUtilization), 0), 1)
	return p.settings.Cores + ease*(p.settings.Overcommit-p.settings.Cores)
}

// slownessLimit is the slowness above which a worker gets less work.
const slownessLimit = 2

// updateCapacity recomputes the free capacity of a worker in the tree.
func (p *Placer) updateCapacity(w *workerState) {
	p.capacities.set(w.index, p.availableCapacity(w))
}

// availableCapacity returns the capacity of a worker that is available to tasks
// of this instance now.
func (p *Placer) availableCapacity(w *workerState) resources {
	if !w.isOpen() || w.health.phase == quarantined || p.reservation.worker == w {
		return noCapacity
	}
	if w.health.phase == probing && w.count > 0 {
		return noCapacity
	}
	return p.freeCapacity(w)
}

// freeCapacity returns the free capacity of a worker without regard to its
// health: what is free by the last reports, and at least this instance's part
// of the cores. There is no such part of the memory, because a worker without
// free memory fails tasks.
func (p *Placer) freeCapacity(w *workerState) resources {
	usable := p.usable(&w.Worker)
	if w.slowness > slownessLimit {
		usable.cores /= w.slowness
	}
	free := resources{
		cores:  usable.cores - w.others.cores - w.ownNeeds.cores,
		memory: usable.memory - w.others.memory - w.ownNeeds.memory,
	}
	if p.shared {
		free.cores = max(free.cores, p.share*usable.cores-w.ownNeeds.cores)
	}
	return free
}
