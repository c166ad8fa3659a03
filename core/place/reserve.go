package place

import "time"

// largeFraction is the part of the capacity of the largest worker from which on
// a task counts as large.
const largeFraction = 0.5

// reservation keeps one worker free for a large task that finds no capacity
// while many small tasks run.
type reservation struct {
	need        resources    // need for which the worker is reserved, else that of the last rejected attempt
	since       time.Time    // time at which the first of the recent attempts was rejected; zero if there is none
	lastAttempt time.Time    // time of the last rejected attempt
	worker      *workerState // reserved worker; nil if there is none
}

// useReservation returns the reserved worker if it has enough free capacity
// now. Otherwise it records the attempt and reserves a worker once attempts
// have been rejected for Settings.ReserveAfter. It returns nil for tasks that
// are not large.
func (p *Placer) useReservation(now time.Time, need resources) *workerState {
	if need.cores < largeFraction*p.largest.cores && need.memory < largeFraction*p.largest.memory {
		return nil
	}
	r := &p.reservation
	if r.worker != nil {
		w := r.worker
		if need.cores < r.need.cores || need.memory < r.need.memory {
			return nil
		}
		r.lastAttempt = now
		if !w.isOpen() || w.health.phase != serving {
			p.releaseReservation()
			return nil
		}
		if !p.freeCapacity(w).covers(need) {
			return nil
		}
		p.releaseReservation()
		return w
	}
	if r.since.IsZero() || now.Sub(r.lastAttempt) > p.settings.ReserveAfter {
		r.since = now
	}
	r.lastAttempt, r.need = now, need
	if now.Sub(r.since) >= p.settings.ReserveAfter {
		p.reserve(need)
	}
	return nil
}

// reserve reserves the worker with the most free cores among those that are large
// enough. It has no effect if there is none.
func (p *Placer) reserve(need resources) {
	var best *workerState
	for _, w := range p.workers {
		usable := p.usable(&w.Worker)
		if !w.isOpen() || w.health.phase != serving || !usable.covers(need) {
			continue
		}
		if best == nil || p.freeCapacity(w).cores > p.freeCapacity(best).cores {
			best = w
		}
	}
	if best != nil {
		p.reservation.worker = best
		p.updateCapacity(best)
	}
}

// releaseReservation ends the reservation and makes the worker available to all
// tasks.
func (p *Placer) releaseReservation() {
	w := p.reservation.worker
	p.reservation = reservation{}
	if w != nil {
		p.updateCapacity(w)
	}
}
