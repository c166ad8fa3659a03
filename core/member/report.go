package member

import (
	"cmp"
	"slices"
	"time"

	"gypsumward/core/span"
	"gypsumward/core/table"
)

const (
	maxReports     = 600              // bytes of reports in one message
	reportOverhead = 170              // bytes of a report in JSON without the contents of its strings
	reportLifetime = 30 * time.Second // age up to which a report is kept
)

// Report is a change of one target, seen in the platform's list or reported by the
// target itself. Instances pass reports on to each other because they take turns
// in polling the list.
type Report struct {
	Member  table.Member `json:"is"`
	Removed bool         `json:"gone,omitempty"` // no longer in the list
	Leaving bool         `json:"left,omitempty"` // the target refused work because it is leaving
	Age     span.Span    `json:"age"`            // time since the list was made or the target refused
}

// report is a Report that is being passed on.
type report struct {
	Report
	observed time.Time // when the list was made or the target refused
	sends    int       // messages that carried the report
}

// size returns the approximate size of r in JSON, in bytes.
func (r *Report) size() int {
	m := &r.Member
	return reportOverhead + len(m.ID) + len(m.Kind) + len(m.Addr) + len(m.Centre) + len(m.Rack)
}

// report starts to pass on a change of a target that was observed at the given
// time. It replaces any earlier report on this target.
func (s *State) report(r Report, observed time.Time) {
	s.reports[r.Member.ID] = &report{Report: r, observed: observed}
}

// mergeReport applies a report of another instance and passes it on if it is new
// here. Invalid reports are ignored.
func (s *State) mergeReport(r *Report, now time.Time) {
	if !r.valid() {
		return
	}
	observed := now.Add(-r.Age.Duration())
	if r.Leaving {
		if s.mergeLeaving(r, observed, now) {
			s.report(*r, observed)
		}
		return
	}
	prior := s.reports[r.Member.ID]
	if prior != nil && !observed.After(prior.observed) {
		return
	}
	if s.mergeListed(r, observed) {
		s.report(*r, observed)
	}
}

// valid reports whether the fields of r are within their limits.
func (r *Report) valid() bool {
	return r.Age >= 0 && r.Member.ID != "" && len(r.Member.ID) <= MaxName && len(r.Member.Addr) <= MaxName
}

// mergeLeaving applies a report that a target refused work as leaving, and returns
// whether it is new. A refusal older than LeavingHold is ignored.
func (s *State) mergeLeaving(r *Report, observed, now time.Time) bool {
	t := s.targets[r.Member.ID]
	if t == nil || !t.refused.IsZero() || t.member.Addr != r.Member.Addr || now.Sub(observed) > s.settings.LeavingHold {
		return false
	}
	t.refused = observed
	return true
}

// mergeListed applies the entry of a target, or its absence, in a list made at the
// given time, and returns whether it is new.
func (s *State) mergeListed(r *Report, observed time.Time) bool {
	t := s.targets[r.Member.ID]
	if !r.Removed {
		return (t != nil || !observed.Before(s.listTime)) && s.applyListed(r.Member, observed)
	}
	if t == nil || !observed.After(t.listTime) {
		return false
	}
	s.dropTarget(t)
	return true
}

// takeReports returns the reports for one message, those sent the fewest times
// first, and counts them as sent.
func (s *State) takeReports(now time.Time) []Report {
	queue := make([]*report, 0, len(s.reports))
	for _, r := range s.reports {
		if r.sends < changeSends {
			queue = append(queue, r)
		}
	}
	slices.SortFunc(queue, func(a, b *report) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	var taken []Report
	remaining := maxReports
	for _, r := range queue {
		if remaining -= r.size(); remaining < 0 {
			break
		}
		r.sends++
		r.Age = span.Of(max(now.Sub(r.observed), 0))
		taken = append(taken, r.Report)
	}
	return taken
}

// removeOldReports removes reports older than reportLifetime. Until then a report
// that is no longer passed on still makes mergeReport ignore older reports on the
// same target.
func (s *State) removeOldReports(now time.Time) {
	for id, r := range s.reports {
		if now.Sub(r.observed) > reportLifetime {
			delete(s.reports, id)
		}
	}
}
