package fair

import "time"

const (
	wheelTick    = 10 * time.Millisecond
	wheelBuckets = 4096 // a revolution takes about 41 s
)

// wheel is a timing wheel that finds the items whose deadlines have passed.
// Deadlines more than one revolution ahead share buckets with earlier ones and stay
// there until they have passed.
type wheel struct {
	buckets  []chain
	lastTick int64 // last tick that was checked
}

// tick returns the number of the tick that contains t.
func tick(t time.Time) int64 {
	return t.UnixNano() / int64(wheelTick)
}

// bucket returns the chain of items for a deadline.
func (w *wheel) bucket(deadline time.Time) *chain {
	return w.at(tick(deadline))
}

// at returns the chain of items for a tick.
func (w *wheel) at(tick int64) *chain {
	n := int64(len(w.buckets))
	return &w.buckets[(tick%n+n)%n]
}

// pendingTicks returns the first and the last tick to check at the time now, and
// marks them as checked.
func (w *wheel) pendingTicks(now time.Time) (first, last int64) {
	last = tick(now)
	first = max(w.lastTick, last-int64(len(w.buckets))+1)
	w.lastTick = max(w.lastTick, last)
	return first, last
}
