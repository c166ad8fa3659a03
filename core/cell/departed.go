package cell

import "time"

// Bounds of departedCallers.
const (
	departedRetention = 10 * time.Second
	maxDeparted       = 8192 // callers, about 1 MB
)

// departed identifies a caller that no longer waits for a job.
type departed struct {
	job    string
	caller string // without the attempt
}

// departedCallers holds the callers that have lately left. The notice that a caller has left may
// overtake its submission, which is then not accepted. The zero value is empty.
type departedCallers struct {
	at    map[departed]time.Time
	order []departed // from the oldest on
}

// add adds a caller that has left by now. It removes those that left long ago, and the oldest if
// there are too many.
func (d *departedCallers) add(now time.Time, who departed) {
	if d.at == nil {
		d.at = map[departed]time.Time{}
	}
	if _, known := d.at[who]; known {
		return
	}
	n := 0
	for n < len(d.order) && (len(d.order)-n >= maxDeparted || now.Sub(d.at[d.order[n]]) > departedRetention) {
		delete(d.at, d.order[n])
		n++
	}
	d.order = append(d.order[n:], who)
	d.at[who] = now
}

// contains reports whether a caller is known to have left.
func (d *departedCallers) contains(who departed) bool {
	_, found := d.at[who]
	return found
}
