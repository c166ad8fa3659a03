package place

import (
	"time"

	"gypsumward/core/demand"
)

// good records a success on a worker.
func (p *Placer) good(now time.Time, w *state, k *demand.Kind) {
	p.records.of(k).note(w.slot, false)
	w.health.good(k)
	if w.health.phase == probing && w.health.probed(now) {
		p.cured(w)
	}
}

// bad records a failure on a worker. It weighs as much as the kind succeeds
// elsewhere: a kind that fails everywhere blames no worker.
func (p *Placer) bad(now time.Time, w *state, k *demand.Kind, weight float64) {
	r := p.records.of(k)
	weight *= r.blame(w.slot)
	r.note(w.slot, true)
	h := &w.health
	if h.phase == probing {
		if weight >= probeBlame {
			h.quarantine(now, p.settings.Pause)
		}
		return
	}
	h.blame += weight
	b := h.block(k)
	b.blame += weight
	switch {
	case h.phase != serving:
	case h.blame >= mostBlame && p.maySicken():
		h.quarantine(now, p.settings.Pause)
		p.sick = append(p.sick, w)
	case b.blame >= mostBlame:
		b.blame = 0
		b.until = now.Add(p.settings.Pause)
	}
}

// probeBlame is the weight from which a failed probe renews the quarantine.
const probeBlame = 0.3

// maySicken reports whether one more worker may be put in quarantine: always one,
// and otherwise up to a part of all.
func (p *Placer) maySicken() bool {
	return float64(len(p.sick)+1) <= max(1, p.settings.Most*float64(len(p.workers))) &&
		len(p.sick)+1 < len(p.workers)
}

// pause keeps a worker that refused a task from all tasks for a moment.
func (p *Placer) pause(now time.Time, w *state) {
	if w.health.phase != serving || !p.maySicken() {
		return
	}
	w.health.phase = quarantined
	w.health.until = now.Add(refusePause)
	w.health.goods = probeGoods - 1
	p.sick = append(p.sick, w)
}

// wake lets workers whose quarantine has ended be probed.
func (p *Placer) wake(now time.Time) {
	for _, w := range p.sick {
		if w.health.phase == quarantined && !now.Before(w.health.until) {
			w.health.phase = probing
			p.update(w)
		}
	}
	if p.keep.worker != nil && now.Sub(p.keep.asked) > p.settings.Patient {
		p.unreserve()
	}
}

// cured takes a worker off the list of those in quarantine.
func (p *Placer) cured(w *state) {
	for i := range p.sick {
		if p.sick[i] == w {
			last := len(p.sick) - 1
			p.sick[i] = p.sick[last]
			p.sick[last] = nil
			p.sick = p.sick[:last]
			return
		}
	}
}
