package member

import (
	"cmp"
	"slices"
	"time"
)

// BeginRound begins a new gossip round. The version of the own record advances once
// every version interval, and in every round shortly after the start.
func (s *State) BeginRound(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rounds++
	s.removeExpired(now)
	if s.rounds%int64(s.versionInterval()) == 0 || s.rounds < startupRounds {
		s.own.Version = max(s.own.Version+1, s.rounds)
	}
}

// Message returns the next message to a partner in the given data centre; centre is
// empty if it is not known. Records in got, which the partner has just sent, are left
// out unless the version known here is newer.
//
// Data is sent only within the own data centre and only in every other message, so
// that the messages in between have space for the records of other instances.
// Records are brief, except for changes, for records that the partner wants, and
// for all records if the partner has just started.
func (s *State) Message(centre string, got Message, now time.Time) Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messageSeq++
	own := s.own
	dataLeft := maxDataRecords
	if centre != own.Centre || s.messageSeq%dataEvery != 0 {
		own.Data, dataLeft = nil, 0
	}
	m := Message{Records: []Record{own}, Reports: s.takeReports(now), Wants: s.takeWants()}
	remaining := MaxMessage - own.size()
	newPartner := len(got.Records) > 0 && got.Records[0].Version < startupRounds
	partnerVersions := make(map[string]int64, len(got.Records))
	for i := range got.Records {
		partnerVersions[got.Records[i].ID+"@"+got.Records[i].Incarnation] = got.Records[i].Version
	}
	s.prioritize(got.Wants)
	for _, k := range s.sendQueue(now) {
		r := k.record
		if ver, found := partnerVersions[r.ID+"@"+r.Incarnation]; found && ver >= r.Version {
			continue
		}
		if dataLeft == 0 || k.dataVersion != r.Version {
			r.Data = nil
		}
		if k.prioritySends == 0 && !newPartner {
			r = r.brief()
		}
		if remaining -= r.size(); remaining < 0 {
			break
		}
		if r.Data != nil {
			dataLeft--
		}
		k.markSent(s.messageSeq)
		m.Records = append(m.Records, r)
	}
	return m
}

const (
	maxSends      = 8  // messages that carry the same version of a record
	dataEvery     = 2  // messages of which one carries data
	startupRounds = 30 // rounds for which an instance counts as just started
)

// takeWants returns and clears the ids for which only brief records of an unknown
// incarnation were received, sorted.
func (s *State) takeWants() []string {
	var wants []string
	for id := range s.wants {
		wants = append(wants, id)
	}
	clear(s.wants)
	slices.Sort(wants)
	return wants
}

// prioritize moves the records that a partner wants ahead of others.
func (s *State) prioritize(wants []string) {
	for _, id := range wants[:min(len(wants), maxWants)] {
		if k := s.members[id]; k != nil {
			k.prioritySends = max(k.prioritySends, 1)
		}
	}
}

// markSent records that message number seq carried the record.
func (k *knownMember) markSent(seq int64) {
	k.prioritySends = max(k.prioritySends-1, 0)
	k.sends++
	k.lastSent = seq
}

// sendQueue returns the other instances in the order in which their records are
// passed on: changes first, then versions sent the fewest times, then records not
// sent for the longest. Silent instances and versions sent maxSends times are left
// out.
func (s *State) sendQueue(now time.Time) []*knownMember {
	queue := make([]*knownMember, 0, len(s.members))
	for _, k := range s.members {
		if now.Sub(k.updated) <= s.silenceTimeout() && (k.prioritySends > 0 || k.sends < maxSends) {
			queue = append(queue, k)
		}
	}
	slices.SortFunc(queue, func(a, b *knownMember) int {
		return cmp.Or(cmp.Compare(b.prioritySends, a.prioritySends), cmp.Compare(a.sends, b.sends),
			cmp.Compare(a.lastSent, b.lastSent), cmp.Compare(a.record.ID, b.record.ID))
	})
	return queue
}

// Partner identifies an instance to exchange messages with.
type Partner struct {
	ID     string
	Peer   string // IP number and port
	Centre string
}

// Partners returns all instances that messages can be exchanged with, sorted by
// id: those in the platform's list and those known from gossip.
func (s *State) Partners(now time.Time) []Partner {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := map[string]Partner{}
	for id, m := range s.listed {
		if id != s.own.ID && m.Peer != "" {
			byID[id] = Partner{ID: id, Peer: m.Peer, Centre: m.Centre}
		}
	}
	for id, k := range s.members {
		if !s.isExpired(id, k, now) {
			byID[id] = Partner{ID: id, Peer: k.record.Peer, Centre: k.record.Centre}
		}
	}
	partners := make([]Partner, 0, len(byID))
	for _, p := range byID {
		partners = append(partners, p)
	}
	slices.SortFunc(partners, func(a, b Partner) int { return cmp.Compare(a.ID, b.ID) })
	return partners
}
