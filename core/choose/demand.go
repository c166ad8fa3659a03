package choose

import (
	"math"
	"time"
)

// Parameters of the demand average.
const (
	demandInterval = 5 * time.Second // interval over which run time is summed
	demandWeight   = 0.2             // weight of a new sum in the mean
	demandChange   = 0.1             // relative change of the mean that is published
)

// normalWait is the amount of waiting run time, in seconds of demand, that is
// attributed to the fluctuation of a steady load.
const normalWait = 1.0

// Demand measures the demand of an instance: the expected run time of the
// requests that arrive, in seconds per second. It is smoothed so that it is
// published to other instances only after a significant change. The zero value
// is ready for use. Demand is not safe for concurrent use.
type Demand struct {
	sum       float64   // run time of the requests since the time since, in seconds
	since     time.Time // start of the current interval; zero before the first Update
	mean      float64   // smoothed demand
	published float64   // last published demand
}

// Add counts an arrived request with its expected run time.
func (d *Demand) Add(expected time.Duration) {
	d.sum += expected.Seconds()
}

// Update returns the last published demand, and whether it has just changed and
// should be published to the other instances now. The argument waiting is the
// summed expected run time of the waiting requests, which counts as demand of the
// next second as far as it exceeds the normal fluctuation. Update should be called
// about once a second.
func (d *Demand) Update(now time.Time, waiting time.Duration) (demand float64, changed bool) {
	if d.since.IsZero() {
		d.since = now
	}
	elapsed := now.Sub(d.since)
	if elapsed < demandInterval {
		return d.published, false
	}
	current := d.sum / elapsed.Seconds()
	current += max(waiting.Seconds()-normalWait*current, 0)
	if d.mean == 0 {
		d.mean = current
	}
	d.mean += demandWeight * (current - d.mean)
	d.sum, d.since = 0, now
	if math.Abs(d.mean-d.published) <= demandChange*d.published {
		return d.published, false
	}
	d.published = d.mean
	return d.published, true
}
