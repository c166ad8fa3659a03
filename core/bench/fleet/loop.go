package fleet

import (
	"container/heap"
	"time"
)

// Loop is an event loop with a virtual clock. It runs events in order of time, and events
// of the same time in the order in which they were scheduled. The clock of the zero value
// starts at the zero time.
type Loop struct {
	now       time.Time
	scheduled int // number of events scheduled so far
	events    events
}

// NewLoop returns a Loop whose clock starts at 1970-01-01 00:00 UTC.
func NewLoop() *Loop {
	return &Loop{now: time.Unix(0, 0).UTC()}
}

// Now returns the current time of the virtual clock.
func (l *Loop) Now() time.Time {
	return l.now
}

// After schedules do to run once d has passed. A negative d counts as zero.
func (l *Loop) After(d time.Duration, do func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: l.now.Add(max(d, 0)), seq: l.scheduled, do: do})
}

// Every schedules do to run at intervals of d, first after d.
func (l *Loop) Every(d time.Duration, do func()) {
	l.After(d, func() {
		do()
		l.Every(d, do)
	})
}

// Run runs the events of the next d and advances the clock by d.
func (l *Loop) Run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = end
}

// event is a function to run at a time. Events of the same time run in order of seq.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events ordered by time.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
