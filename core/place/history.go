package place

import (
	"time"

	"gypsumward/core/demand"
)

// pastCount is the number of starts and ends kept for one worker: several
// seconds of work.
const pastCount = 128

// event is one task that started or ended.
type event struct {
	at   time.Time
	kind *demand.Kind
	task room // declared need
	sign int  // 1 for a start, -1 for an end
}

// past keeps recent events, so that a report that lags is compared with what ran
// when it was made.
type past struct {
	events []event // a ring, allocated once
	next   int
}

// keep adds an event.
func (p *past) keep(e event) {
	if p.events == nil {
		p.events = make([]event, pastCount)
	}
	p.events[p.next] = e
	p.next = (p.next + 1) % pastCount
}

// undo takes the events after a time off a mix, newest first, and so makes it
// what it was at that time. Events too old to be kept count as before it.
func (p *past) undo(t time.Time, mix []demand.Held) []demand.Held {
	for i := range p.events {
		e := &p.events[(p.next+2*pastCount-1-i)%pastCount]
		if e.kind == nil || !e.at.After(t) {
			break
		}
		mix = change(mix, e.kind, e.task, -e.sign)
	}
	return mix
}

// change adds a task of a kind to a mix or takes one off. Taking off the last one
// of a kind removes the kind; taking off what is not there changes nothing.
func change(mix []demand.Held, k *demand.Kind, task room, sign int) []demand.Held {
	for i := range mix {
		h := &mix[i]
		if h.Kind != k {
			continue
		}
		h.Count += sign
		h.Cores += float64(sign) * task.cores
		h.Memory += float64(sign) * task.memory
		if h.Count > 0 {
			return mix
		}
		last := len(mix) - 1
		mix[i] = mix[last]
		mix[last] = demand.Held{}
		return mix[:last]
	}
	if sign < 0 {
		return mix
	}
	return append(mix, demand.Held{Kind: k, Count: 1, Cores: task.cores, Memory: task.memory})
}
