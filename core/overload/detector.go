package overload

import (
	"sync"
	"time"
)

// Limits from which on a machine is too slow.
const (
	maxLag        = 40 * time.Millisecond // of the ticks of the loop, on average
	maxLatency    = 60 * time.Millisecond // of orders, whatever it was before
	minLatency    = 20 * time.Millisecond // of orders, if it has grown by latencyFactor
	latencyFactor = 4
)

// Averaging and the time for which a new holder is not judged.
const (
	tickWindow = 12 // ticks in the moving average
	settleTime = 5 * time.Second
)

// Detector judges the machine of a holder during one term by the delays of the loop's ticks
// and the latency of orders to runners. StartedAt must be set before the first call. It is
// safe for concurrent use.
type Detector struct {
	StartedAt time.Time

	mu      sync.Mutex
	lag     time.Duration // moving average
	latency time.Duration
	least   time.Duration // least latency of the term; zero if there was none
}

// RecordTick records by how much a tick of the loop was late.
func (d *Detector) RecordTick(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag += (max(late, 0) - d.lag) / tickWindow
}

// RecordLatency records the present mean latency of orders, from when they are sent until
// their replies are processed. Zero stands for none.
func (d *Detector) RecordLatency(mean time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = mean
	if mean > 0 && (d.least == 0 || mean < d.least) {
		d.least = mean
	}
}

// Lag returns by how much ticks are late on average.
func (d *Detector) Lag() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lag
}

// Latency returns the mean latency of orders that was recorded last.
func (d *Detector) Latency() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latency
}

// Overloaded reports whether the machine is too slow at now. In the first seconds of a term,
// when many orders are sent at once, it is not.
func (d *Detector) Overloaded(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.StartedAt) < settleTime {
		return false
	}
	return d.lag >= maxLag || d.latency >= maxLatency || (d.latency >= minLatency && d.latency >= latencyFactor*d.least)
}
