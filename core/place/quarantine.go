package place

import (
	"time"

	"gypsumward/core/demand"
)

// recordSuccess records a success of a task on a worker.
func (p *Placer) recordSuccess(now time.Time, w *workerState, k *demand.Kind) {
	p.records.of(k).observe(w.slot, false)
	w.health.recordSuccess(k)
	if w.health.phase == probing && w.health.recordProbe(now) {
		p.removeUnhealthy(w)
	}
}

// recordFailure records a failure of a task on a worker. Its weight depends on
// the success of the kind elsewhere: failures of a kind that fails everywhere
// do not count against workers.
func (p *Placer) recordFailure(now time.Time, w *workerState, k *demand.Kind, weight float64) {
	r := p.records.of(k)
	weight *= r.failureWeight(w.slot)
	r.observe(w.slot, true)
	h := &w.health
	if h.phase == probing {
		if weight >= probeFailureWeight {
			h.quarantine(now, p.settings.Quarantine)
		}
		return
	}
	h.failureScore += weight
	b := h.ofKind(k)
	b.failureScore += weight
	switch {
	case h.phase != serving:
	case h.failureScore >= quarantineScore && p.canQuarantine():
		h.quarantine(now, p.settings.Quarantine)
		p.unhealthy = append(p.unhealthy, w)
	case b.failureScore >= quarantineScore:
		b.failureScore = 0
		b.blockedUntil = now.Add(p.settings.Quarantine)
	}
}

// probeFailureWeight is the least weight with which a failed probe renews the
// quarantine.
const probeFailureWeight = 0.3

// canQuarantine reports whether one more worker may be quarantined: always one,
// unless it is the only worker, and otherwise up to a part of all.
func (p *Placer) canQuarantine() bool {
	return float64(len(p.unhealthy)+1) <= max(1, p.settings.MaxQuarantined*float64(len(p.workers))) &&
		len(p.unhealthy)+1 < len(p.workers)
}

// backOff starts the back-off of a worker that refused a task. One successful
// probe ends it.
func (p *Placer) backOff(now time.Time, w *workerState) {
	if w.health.phase != serving || !p.canQuarantine() {
		return
	}
	w.health.phase = quarantined
	w.health.quarantinedUntil = now.Add(refusalBackoff)
	w.health.probesPassed = requiredProbes - 1
	p.unhealthy = append(p.unhealthy, w)
}

// updateTimers starts the probing of workers whose quarantine has ended, and
// ends the reservation if no large task has been rejected for
// Settings.ReserveAfter.
func (p *Placer) updateTimers(now time.Time) {
	for _, w := range p.unhealthy {
		if w.health.phase == quarantined && !now.Before(w.health.quarantinedUntil) {
			w.health.phase = probing
			p.updateCapacity(w)
		}
	}
	if p.reservation.worker != nil && now.Sub(p.reservation.lastAttempt) > p.settings.ReserveAfter {
		p.releaseReservation()
	}
}

// removeUnhealthy removes a worker from those that are quarantined or probed.
func (p *Placer) removeUnhealthy(w *workerState) {
	for i := range p.unhealthy {
		if p.unhealthy[i] == w {
			last := len(p.unhealthy) - 1
			p.unhealthy[i] = p.unhealthy[last]
			p.unhealthy[last] = nil
			p.unhealthy = p.unhealthy[:last]
			return
		}
	}
}
