package member

import (
	"cmp"
	"slices"
	"time"

	"gypsumward/core/table"
)

// Entry is the view of another instance.
type Entry struct {
	table.Member
	Incarnation string    // empty if no record of it was received
	Revision    int64     // revision of its settings in force
	Data        []byte    // load and served cost, if in the same data centre
	Updated     time.Time // when its record last advanced, received directly or through others; zero if never
	Listed      bool      // in the platform's last list
	Silent      bool      // its record has not advanced for too long
	Unreachable bool      // the last call from here did not reach it; others may still reach it
}

// Target is the view of a runner or worker. Leaving is set if the platform's list
// shows the target as leaving or if the target refused work as leaving.
type Target struct {
	table.Member
	Down bool // backing off after failed connections
}

// View is a snapshot of a State. Its lists are sorted by id.
type View struct {
	Own        table.Member // the instance itself
	Entries    []Entry      // all other instances
	Runners    []Target
	Workers    []Target
	ListAge    time.Duration // age of the platform's list; zero if none was received
	Ready      bool          // a list or a record of another instance was received
	Superseded bool          // a later incarnation of this instance is known
	Revision   int64         // highest settings revision in force on any known instance
}

// View returns a snapshot of what is known now.
func (s *State) View(now time.Time) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{Own: s.own.member(), Superseded: s.superseded, Ready: !s.listTime.IsZero() || len(s.members) > 0, Revision: s.own.Revision}
	if !s.listTime.IsZero() {
		v.ListAge = now.Sub(s.listTime)
	}
	for id, k := range s.members {
		if s.isExpired(id, k, now) {
			continue
		}
		v.Entries = append(v.Entries, s.entry(id, k, now))
		v.Revision = max(v.Revision, k.record.Revision)
	}
	for id, m := range s.listed {
		if s.members[id] == nil && id != s.own.ID {
			v.Entries = append(v.Entries, Entry{Member: m, Listed: true, Silent: now.Sub(s.started) > s.silenceTimeout()})
		}
	}
	for _, t := range s.targets {
		seen := Target{Member: t.member, Down: now.Before(t.downUntil)}
		seen.Leaving = seen.Leaving || !t.refused.IsZero()
		if t.member.Kind == table.KindRunner {
			v.Runners = append(v.Runners, seen)
		} else {
			v.Workers = append(v.Workers, seen)
		}
	}
	slices.SortFunc(v.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Runners, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Workers, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// entry returns the view of another instance of which a record is known.
func (s *State) entry(id string, k *knownMember, now time.Time) Entry {
	r := &k.record
	listed, found := s.listed[id]
	e := Entry{
		Member:      r.member(),
		Incarnation: r.Incarnation,
		Revision:    r.Revision,
		Data:        r.Data,
		Updated:     k.updated,
		Listed:      found,
		Silent:      now.Sub(k.updated) > s.silenceTimeout(),
		Unreachable: k.lastFailure.After(k.lastContact),
	}
	e.Leaving = e.Leaving || listed.Leaving
	return e
}

// SharingInstances returns the number of instances of a data centre that share its targets,
// not counting the own one: those that are not leaving and are either in the list
// or not silent. A silent instance that is still in the list counts because it may
// only be unreachable from here.
func (v *View) SharingInstances(centre string) int {
	n := 0
	for i := range v.Entries {
		e := &v.Entries[i]
		if e.Centre == centre && !e.Leaving && (e.Listed || !e.Silent) {
			n++
		}
	}
	return n
}

// PeerAddr returns the peer address of the named instance. The result is false if
// the instance is not known.
func (v *View) PeerAddr(name string) (string, bool) {
	for i := range v.Entries {
		if v.Entries[i].ID == name {
			return v.Entries[i].Peer, true
		}
	}
	return "", false
}

// Neighbours returns the peer addresses of the instances of a data centre that are
// not leaving: reachable ones first, then those that the last call did not reach,
// silent ones last.
func (v *View) Neighbours(centre string) []string {
	var ranks [3][]string
	for i := range v.Entries {
		e := &v.Entries[i]
		if e.Centre != centre || e.Leaving || e.Peer == "" {
			continue
		}
		rank := 0
		if e.Unreachable {
			rank = 1
		}
		if e.Silent {
			rank = 2
		}
		ranks[rank] = append(ranks[rank], e.Peer)
	}
	return slices.Concat(ranks[:]...)
}

// Members returns the instances, the own one first, and the targets as entries of
// the platform's list. Leaving is also set for targets that are down. Silent
// instances that are not in the list are left out.
func (v *View) Members() []table.Member {
	members := make([]table.Member, 0, 1+len(v.Entries)+len(v.Runners)+len(v.Workers))
	members = append(members, v.Own)
	for i := range v.Entries {
		if e := &v.Entries[i]; e.Listed || !e.Silent {
			members = append(members, e.Member)
		}
	}
	for _, targets := range [][]Target{v.Runners, v.Workers} {
		for _, t := range targets {
			m := t.Member
			m.Leaving = m.Leaving || t.Down
			members = append(members, m)
		}
	}
	return members
}
