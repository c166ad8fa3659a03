package member

import (
	"time"

	"gypsumward/core/table"
)

// trackedTarget is the knowledge of a runner or worker.
type trackedTarget struct {
	member    table.Member // entry in the latest list
	listTime  time.Time    // when this list was made
	refused   time.Time    // when the target refused work as leaving; zero if it did not
	fails     int          // consecutive failed connections
	downUntil time.Time    // end of the back-off after failed connections
}

// applyListed applies the entry of a target in a list made at the given time, and
// returns whether the entry changes what is known. A target that refused work as
// leaving stays leaving until a list made more than LeavingHold later shows it as
// not leaving, which means that the target has restarted.
func (s *State) applyListed(m table.Member, listTime time.Time) bool {
	t := s.targets[m.ID]
	if t == nil || t.member.Addr != m.Addr {
		if t != nil {
			s.dropTarget(t)
		}
		s.targets[m.ID] = &trackedTarget{member: m, listTime: listTime}
		s.addrs[m.Addr] = m.ID
		return true
	}
	if listTime.Before(t.listTime) {
		return false
	}
	changed := t.member.Leaving != m.Leaving
	t.member, t.listTime = m, listTime
	if !m.Leaving && listTime.Sub(t.refused) > s.settings.LeavingHold {
		t.refused = time.Time{}
	}
	return changed
}

// dropTarget removes a target.
func (s *State) dropTarget(t *trackedTarget) {
	delete(s.targets, t.member.ID)
	if s.addrs[t.member.Addr] == t.member.ID {
		delete(s.addrs, t.member.Addr)
	}
}

// TargetAt returns the id of the target at an address, or "" if there is none.
func (s *State) TargetAt(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.addrs[addr]
	if t := s.targets[id]; t == nil || t.member.Addr != addr {
		return ""
	}
	return id
}

// RecordRefusal records that the target refused work because it is leaving. Unknown
// targets are ignored.
func (s *State) RecordRefusal(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return
	}
	if t.refused.IsZero() {
		s.report(Report{Member: t.member, Leaving: true}, now)
	}
	t.refused = now
}

// RecordConnection records whether a connection to the target could be made. After
// downAfter consecutive failures the target is down for minBackoff; each further
// failure doubles this time up to maxBackoff. Unknown targets are ignored.
func (s *State) RecordConnection(id string, ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return
	}
	if ok {
		t.fails, t.downUntil = 0, time.Time{}
		return
	}
	if now.Before(t.downUntil) {
		return // one of several concurrent calls with the same failure
	}
	t.fails++
	if t.fails < downAfter {
		return
	}
	backoff := minBackoff
	for n := downAfter; n < t.fails && backoff < maxBackoff; n++ {
		backoff *= 2
	}
	t.downUntil = now.Add(min(backoff, maxBackoff))
}
