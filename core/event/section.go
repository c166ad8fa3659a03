package event

import (
	"cmp"
	"slices"
	"time"
)

// phaseRange is the time range and number of the events of one phase.
type phaseRange struct {
	phase       Kind
	first, last time.Time
	count       int
}

// phaseRanges returns the ranges of the phases that occur, in order.
func (w *writer) phaseRanges() []phaseRange {
	var found []phaseRange
	for _, phase := range Phases() {
		s := phaseRange{phase: phase}
		for i := range w.events {
			if w.events[i].Kind != phase {
				continue
			}
			at := w.times[i]
			if s.count == 0 || at.Before(s.first) {
				s.first = at
			}
			if at.After(s.last) {
				s.last = at
			}
			s.count++
		}
		if s.count > 0 {
			found = append(found, s)
		}
	}
	return found
}

// writePhases writes one line for each phase that occurs, with the time from the last
// event of the previous phase to its own last event.
func (w *writer) writePhases() {
	ranges := w.phaseRanges()
	if len(ranges) == 0 {
		return
	}
	longest, longestIndex := time.Duration(-1), 0
	for i := 1; i < len(ranges); i++ {
		if elapsed := ranges[i].last.Sub(ranges[i-1].last); elapsed > longest {
			longest, longestIndex = elapsed, i
		}
	}
	w.printf("\nphases\n")
	w.printf("  %-9s %9s %9s %7s %9s\n", "phase", "first", "last", "events", "took")
	for i, s := range ranges {
		elapsed, mark := time.Duration(0), ""
		if i > 0 {
			elapsed = s.last.Sub(ranges[i-1].last)
		}
		if i == longestIndex && i > 0 {
			mark = "  <- longest"
		}
		w.printf("  %-9s %9s %9s %7d %9s%s\n", s.phase, w.offset(s.first), w.offset(s.last), s.count, formatDuration(elapsed), mark)
	}
}

// writeSlowestTasks writes up to limit tasks, those that ended last first.
func (w *writer) writeSlowestTasks(histories []*taskHistory, limit int) {
	if len(histories) == 0 {
		return
	}
	w.printf("\nslowest tasks (%d of %d)\n", min(limit, len(histories)), len(histories))
	w.printf("  %-16s %9s %9s %9s  %-12s %s\n", "task", "ended", "waited", "ran", "on", "started by")
	for _, h := range histories[:min(limit, len(histories))] {
		process, runTime := h.process, formatDuration(h.runTime())
		if h.starts == 0 {
			process = "never started"
		}
		if h.starts > 0 && h.endedAt.IsZero() {
			runTime = "open"
		}
		w.printf("  %-16s %9s %9s %9s  %-12s %s\n", h.task, w.offset(h.lastEvent), formatDuration(h.queueTime()), runTime, cmp.Or(h.target, "-"), process)
		if h.starts > 1 {
			w.printf("  %-16s STARTED %d TIMES\n", "", h.starts)
		}
	}
}

const maxTargets = 10 // largest number of targets in a Timeline

// targetStats holds the statistics of one target.
type targetStats struct {
	target   string
	count    int
	runTimes []time.Duration
}

// writeTargets writes up to maxTargets targets, those with the longest median run time
// first.
func (w *writer) writeTargets(histories []*taskHistory) {
	byTarget := map[string]*targetStats{}
	var stats []*targetStats
	for _, h := range histories {
		if h.starts == 0 {
			continue
		}
		s := byTarget[h.target]
		if s == nil {
			s = &targetStats{target: h.target}
			byTarget[h.target] = s
			stats = append(stats, s)
		}
		s.count++
		if !h.endedAt.IsZero() {
			s.runTimes = append(s.runTimes, h.runTime())
		}
	}
	if len(stats) == 0 {
		return
	}
	for _, s := range stats {
		slices.Sort(s.runTimes)
	}
	slices.SortStableFunc(stats, func(a, b *targetStats) int {
		return cmp.Or(cmp.Compare(b.median(), a.median()), cmp.Compare(a.target, b.target))
	})
	w.printf("\nslowest targets (%d of %d)\n", min(maxTargets, len(stats)), len(stats))
	w.printf("  %-12s %7s %9s %9s\n", "target", "tasks", "median", "slowest")
	for _, s := range stats[:min(maxTargets, len(stats))] {
		w.printf("  %-12s %7d %9s %9s\n", s.target, s.count, formatDuration(s.median()), formatDuration(s.slowest()))
	}
}

func (s *targetStats) median() time.Duration {
	if len(s.runTimes) == 0 {
		return 0
	}
	return s.runTimes[len(s.runTimes)/2]
}

func (s *targetStats) slowest() time.Duration {
	if len(s.runTimes) == 0 {
		return 0
	}
	return s.runTimes[len(s.runTimes)-1]
}

// writeOther writes the numbers of events of all kinds that are not phases, and up to
// limit of these events. Sent events are only counted.
func (w *writer) writeOther(limit int) {
	counts := map[Kind]int{}
	var kinds []Kind
	var indexes []int
	phases := Phases()
	for i := range w.events {
		what := w.events[i].Kind
		if slices.Contains(phases, what) {
			continue
		}
		if counts[what] == 0 {
			kinds = append(kinds, what)
		}
		counts[what]++
		if what != Sent {
			indexes = append(indexes, i)
		}
	}
	if len(kinds) == 0 {
		return
	}
	w.printf("\nother events\n")
	for _, what := range kinds {
		w.printf("  %-9s %7d\n", what, counts[what])
	}
	for _, i := range indexes[:min(limit, len(indexes))] {
		w.writeEvent(i)
	}
	if len(indexes) > limit {
		w.printf("  and %d more\n", len(indexes)-limit)
	}
}
