package place

import (
	"time"

	"gypsumward/core/demand"
)

// historySize is the number of starts and ends kept for one worker, which covers
// several seconds of work.
const historySize = 128

// event is the start or end of one task.
type event struct {
	at       time.Time
	kind     *demand.Kind
	declared resources // declared need
	sign     int       // 1 for a start, -1 for an end
}

// history keeps the recent events of a worker, so that a report that lags is
// compared with the tasks that ran when it was made.
type history struct {
	events []event // ring buffer, allocated on first use
	next   int     // index of the oldest event
}

// add adds an event and overwrites the oldest one.
func (h *history) add(e event) {
	if h.events == nil {
		h.events = make([]event, historySize)
	}
	h.events[h.next] = e
	h.next = (h.next + 1) % historySize
}

// rewind reverts the events after t in a mix, newest first, and returns the mix
// as of that time. Events that are no longer kept count as earlier than t.
func (h *history) rewind(t time.Time, mix []demand.KindLoad) []demand.KindLoad {
	for i := range h.events {
		e := &h.events[(h.next+2*historySize-1-i)%historySize]
		if e.kind == nil || !e.at.After(t) {
			break
		}
		mix = changeMix(mix, e.kind, e.declared, -e.sign)
	}
	return mix
}

// changeMix adds a task of a kind to a mix if sign is 1, or removes one if sign
// is -1. Removal of the last task of a kind removes the kind; removal of a kind
// that is not in the mix has no effect.
func changeMix(mix []demand.KindLoad, k *demand.Kind, task resources, sign int) []demand.KindLoad {
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
		mix[last] = demand.KindLoad{}
		return mix[:last]
	}
	if sign < 0 {
		return mix
	}
	return append(mix, demand.KindLoad{Kind: k, Count: 1, Cores: task.cores, Memory: task.memory})
}
