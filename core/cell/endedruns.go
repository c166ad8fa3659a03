package cell

import "time"

// endedRetention is how long a runner is known to have ended a run.
const endedRetention = 2 * time.Second

// endedRuns holds the runs that have lately ended on a runner. A run never starts again, so a
// reply that lists one of them as running was overtaken by the one with its end. The zero
// value is empty.
type endedRuns struct {
	at    map[runKey]time.Time
	order []runKey // from the oldest on
}

// add adds a run that has ended by now and removes those that ended long ago.
func (e *endedRuns) add(now time.Time, key runKey) {
	if e.at == nil {
		e.at = map[runKey]time.Time{}
	}
	n := 0
	for n < len(e.order) && now.Sub(e.at[e.order[n]]) > endedRetention {
		delete(e.at, e.order[n])
		n++
	}
	e.order = append(e.order[n:], key)
	e.at[key] = now
}

// contains reports whether a run is known to have ended.
func (e *endedRuns) contains(key runKey) bool {
	_, found := e.at[key]
	return found
}
