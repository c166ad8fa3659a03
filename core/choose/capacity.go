package choose

import (
	"math"
	"time"
)

// Capacity is the capacity of an instance for further requests.
type Capacity struct {
	Slots        int           // own slots of the runners that get calls
	Free         int           // free slots among those
	ExpectedWait time.Duration // expected wait until a slot is free for the next request; zero if one is free
}

// Capacity returns the capacity for requests behind those counted by SetQueueLength. It
// examines all runners, so it is meant for reports and for use once per tick, not
// for each request.
func (c *Chooser) Capacity(now time.Time) Capacity {
	var capacity Capacity
	rate := 0.0 // calls that end per second with all slots in use
	for _, r := range c.runners {
		if r == nil || r.Leaving || now.Before(r.leavingUntil) {
			continue
		}
		if _, closed := c.detector.Quarantined(r.number); closed {
			continue
		}
		capacity.Slots += r.limit
		capacity.Free += max(r.limit-r.busy, 0)
		if c.baseRunTime > 0 {
			rate += float64(r.limit) / (c.baseRunTime * math.Exp(c.runTimes.LogFactor(r.number)))
		}
	}
	if capacity.Free <= c.queued && rate > 0 {
		capacity.ExpectedWait = time.Duration(float64(c.queued-capacity.Free+1) / rate * float64(time.Second))
	}
	return capacity
}
