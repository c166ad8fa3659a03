package fleet

import (
	"sort"
	"time"
)

// Oracle returns the response times of calls under a scheduler with a single queue that
// knows all run times: in order of arrival, each call is assigned to the slot on which it
// finishes earliest. It assumes that targets have their current faults for the whole time.
// The response time of a call that no target can serve is zero.
func Oracle(calls []*Call, targets []*Target) []time.Duration {
	free := make([][]time.Time, len(targets)) // times at which the slots of each target become free, sorted
	for i, t := range targets {
		free[i] = make([]time.Time, t.Slots)
	}
	responses := make([]time.Duration, len(calls))
	for n, c := range calls {
		best, earliest := -1, time.Time{}
		for i, t := range targets {
			f := t.Fault
			if f.Dead || f.Leaving || f.Hangs || f.FailsAll || f.FailingKind == c.Kind {
				continue
			}
			if finish := later(c.ArrivedAt, free[i][0]).Add(t.RunTime(c)); best < 0 || finish.Before(earliest) {
				best, earliest = i, finish
			}
		}
		if best < 0 {
			continue
		}
		slots := free[best]
		at := sort.Search(len(slots)-1, func(i int) bool { return slots[i+1].After(earliest) })
		copy(slots[:at], slots[1:at+1])
		slots[at] = earliest
		responses[n] = earliest.Sub(c.ArrivedAt) + 2*MessageDelay
	}
	return responses
}

// later returns the later of a and b.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Quantile returns the q-quantile of times, or zero if there are none. It sorts times.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
