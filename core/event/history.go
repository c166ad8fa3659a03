package event

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// taskHistory summarizes the events of one task.
type taskHistory struct {
	task      string
	queuedAt  time.Time // when the task was first queued; time of the job's claim if not known
	startedAt time.Time // time of the last start
	endedAt   time.Time
	target    string
	process   string // process that started the task last
	starts    int
	lastEvent time.Time
}

// queueTime returns the time from queuing to the last start, or to the last event if
// the task was not started.
func (h *taskHistory) queueTime() time.Duration {
	if h.startedAt.IsZero() {
		return h.lastEvent.Sub(h.queuedAt)
	}
	return h.startedAt.Sub(h.queuedAt)
}

// runTime returns the time from the last start to the outcome, or zero if the task was
// not started or has not ended.
func (h *taskHistory) runTime() time.Duration {
	if h.startedAt.IsZero() || h.endedAt.IsZero() {
		return 0
	}
	return h.endedAt.Sub(h.startedAt)
}

// taskHistories returns the histories of all tasks, that with the latest event first.
func taskHistories(w *writer) []*taskHistory {
	byTask := map[string]*taskHistory{}
	claimed := w.origin
	var histories []*taskHistory
	for i := range w.events {
		e := &w.events[i]
		if e.Kind == Claimed || e.Kind == Received && claimed.Equal(w.origin) {
			claimed = w.times[i]
		}
		if e.Task == "" {
			continue
		}
		h := byTask[e.Task]
		if h == nil {
			h = &taskHistory{task: e.Task, queuedAt: claimed}
			byTask[e.Task] = h
			histories = append(histories, h)
		}
		h.add(e, w.times[i])
	}
	slices.SortStableFunc(histories, func(a, b *taskHistory) int {
		return cmp.Or(b.lastEvent.Compare(a.lastEvent), strings.Compare(a.task, b.task))
	})
	return histories
}

// add updates h by an event of its task at time t.
func (h *taskHistory) add(e *Event, t time.Time) {
	if t.After(h.lastEvent) {
		h.lastEvent = t
	}
	switch e.Kind {
	case Queued:
		if h.starts == 0 {
			h.queuedAt = t
		}
	case Started:
		h.startedAt, h.target, h.process = t, e.Target, e.Process
		h.starts++
	case Done, Failed, Stopped, Unknown:
		h.endedAt = t
	default:
	}
}
