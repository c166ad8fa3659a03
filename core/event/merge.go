package event

import (
	"cmp"
	"slices"
	"time"
)

// Merge combines the events of several processes in causal order: an event that may
// have caused another comes before it. Duplicate events are kept once.
func Merge(lists [][]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Process, b.Process))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Timestamp == b.Timestamp && a.Process == b.Process
	})
}

// minTimestampLead is the time by which the timestamp of an event exceeds Event.Time if a
// message from a process whose clock is ahead has advanced the timestamp.
const minTimestampLead = time.Millisecond

// alignClocks returns the times of merged events on one common clock. Durations
// between events of one process are preserved. The clock of a process is shifted
// forward by the least amount for which no event whose timestamp was advanced by a
// message comes before the preceding event. A duration between two processes is
// therefore exact if their clocks agree, and otherwise exact up to the latency of
// messages.
func alignClocks(events []Event) []time.Time {
	shifts := map[string]time.Duration{}
	for changed, round := true, 0; changed && round <= len(shifts); round++ {
		changed = false
		for i := 1; i < len(events); i++ {
			previous, e := &events[i-1], &events[i]
			gap := previous.Time.Add(shifts[previous.Process]).Sub(e.Time)
			if e.Timestamp.Time().Sub(e.Time) > minTimestampLead && gap > shifts[e.Process] {
				shifts[e.Process] = gap
				changed = true
			}
		}
	}
	times := make([]time.Time, len(events))
	for i := range events {
		times[i] = events[i].Time.Add(shifts[events[i].Process])
	}
	return times
}
