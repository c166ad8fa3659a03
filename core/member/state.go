package member

import (
	"sync"
	"time"

	"gypsumward/core/table"
)

// Defaults of Settings.
const (
	DefaultInterval    = time.Second
	DefaultLeavingHold = 10 * time.Second
	DefaultRemoveAfter = time.Minute
)

const (
	startupWindow     = 10 * time.Second // time after the start in which the own start time is moved past a later one of the same name
	changeSends       = 4                // messages that carry a change ahead of other records
	tombstoneLifetime = 6 * time.Hour    // time without news after which an expired record is deleted
	isolatedRounds    = 3                // rounds without a message after which an instance polls the list in each round
	minSilentRounds   = 8                // rounds without a new version after which an instance is silent, before missedVersions are added
	membersPerRound   = 5                // instances that lengthen the version interval by one round
	missedVersions    = 3                // version intervals that an instance may miss, in addition to minSilentRounds, until it is silent
	downAfter         = 2                // consecutive failed connections after which a target is down
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 10 * time.Second
)

// Settings are the times by which a State works. Zero values mean the defaults.
type Settings struct {
	Interval    time.Duration // time between two gossip rounds
	LeavingHold time.Duration // how much newer than a target's refusal as leaving a list must be to override it
	RemoveAfter time.Duration // time without news after which an instance that is not in the list is no longer shown
}

// State is the knowledge that one instance has of all instances and targets. It
// neither communicates nor reads a clock: callers pass in what was received and the
// current time. It must be created by New. It is safe for concurrent use.
type State struct {
	settings    Settings
	mu          sync.Mutex
	started     time.Time
	own         Record
	superseded  bool // a later incarnation of this instance is known
	members     map[string]*knownMember
	targets     map[string]*trackedTarget
	addrs       map[string]string // ids of targets by address; may be outdated
	reports     map[string]*report
	wants       map[string]bool         // ids of which only a brief record of an unknown incarnation was received
	listed      map[string]table.Member // instances in the last list
	listTime    time.Time               // when the last list was made; zero if there was none
	lastMessage time.Time               // when the last message was received
	messageSeq  int64                   // number of messages composed
	rounds      int64                   // number of gossip rounds since the start
	present     int                     // number of other instances that are not expired
}

// knownMember is the knowledge of another instance.
type knownMember struct {
	record        Record
	dataVersion   int64     // version that came with record.Data
	updated       time.Time // when the version of the record last advanced
	prioritySends int       // remaining messages that carry the record ahead of others
	sends         int       // messages that carried the current version
	lastSent      int64     // number of the last message that carried the record
	lastContact   time.Time // when a call from here last succeeded
	lastFailure   time.Time // when a call from here last failed
}

// New returns the state of the instance that own describes and that starts now. It
// sets own.StartTime to now unless it is later. New panics if own has no ID,
// Incarnation or Peer, or exceeds a limit.
func New(s Settings, own Record, now time.Time) *State {
	if !own.valid() || own.Peer == "" {
		panic(invalidRecord)
	}
	if s.Interval == 0 {
		s.Interval = DefaultInterval
	}
	if s.LeavingHold == 0 {
		s.LeavingHold = DefaultLeavingHold
	}
	if s.RemoveAfter == 0 {
		s.RemoveAfter = DefaultRemoveAfter
	}
	own.StartTime = max(own.StartTime, now.UnixNano())
	return &State{
		settings: s,
		started:  now,
		own:      own,
		members:  map[string]*knownMember{},
		targets:  map[string]*trackedTarget{},
		addrs:    map[string]string{},
		reports:  map[string]*report{},
		wants:    map[string]bool{},
		listed:   map[string]table.Member{},
	}
}

const invalidRecord = "member: own record is not valid"

// Leave marks the own record as leaving. This cannot be undone.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Leaving = true
	s.own.Version = max(s.own.Version+1, s.rounds)
}

// SetOwn sets the revision of the settings in force and the data of the own record.
// The revision never decreases. SetOwn panics if data is longer than MaxData.
func (s *State) SetOwn(rev int64, data []byte) {
	if len(data) > MaxData {
		panic(dataTooLong)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Revision = max(s.own.Revision, rev)
	s.own.Data = data
}

const dataTooLong = "member: data is longer than MaxData"

// Merge applies the records and reports of a message received now. Those that
// exceed a limit are ignored.
func (s *State) Merge(m Message, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastMessage = now
	for i := range m.Records {
		r := &m.Records[i]
		if !r.valid() {
			continue
		}
		if r.ID == s.own.ID {
			s.mergeOwn(r, now)
			continue
		}
		s.merge(*r, now)
	}
	for i := range m.Reports {
		s.mergeReport(&m.Reports[i], now)
	}
}

// mergeOwn applies a record that bears the name of this instance. Within
// startupWindow a later start time means that the clock of this instance is behind,
// and the own start time is moved past it. After startupWindow it means that a later
// incarnation has replaced this one.
func (s *State) mergeOwn(r *Record, now time.Time) {
	if r.Peer == "" || r.Incarnation == s.own.Incarnation || !r.later(&s.own) {
		return
	}
	if now.Sub(s.started) < startupWindow {
		s.own.StartTime = r.StartTime + 1
		return
	}
	s.superseded = true
}

// merge applies the record of another instance. A brief record of an unknown
// incarnation is ignored, and the full record is requested.
func (s *State) merge(r Record, now time.Time) {
	k := s.members[r.ID]
	if r.Peer == "" {
		if k == nil || k.record.Incarnation != r.Incarnation {
			if len(s.wants) < maxWants {
				s.wants[r.ID] = true
			}
			return
		}
		r.StartTime, r.Addr, r.Peer, r.Centre = k.record.StartTime, k.record.Addr, k.record.Peer, k.record.Centre
	}
	if k == nil || r.later(&k.record) {
		s.members[r.ID] = &knownMember{record: r, dataVersion: r.Version, updated: now, prioritySends: changeSends}
		return
	}
	if k.record.later(&r) {
		return
	}
	if r.Data != nil && r.Version >= k.dataVersion {
		k.record.Data, k.dataVersion = r.Data, r.Version
	}
	leaving, rev, data := k.record.Leaving || r.Leaving, max(k.record.Revision, r.Revision), k.record.Data
	if leaving != k.record.Leaving || rev != k.record.Revision {
		k.prioritySends = changeSends
	}
	if r.Version > k.record.Version {
		k.record, k.updated, k.sends = r, now, 0
	}
	k.record.Leaving, k.record.Revision, k.record.Data = leaving, rev, data
}

// RecordContact records whether a call from here reached the instance. Unknown
// instances are ignored.
func (s *State) RecordContact(id string, ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.members[id]
	switch {
	case k == nil:
	case ok:
		k.lastContact = now
	default:
		k.lastFailure = now
	}
}

// ApplyList applies the platform's list, received now, and starts to pass on the
// changes of targets since the last list. A list older than the last one is ignored.
func (s *State) ApplyList(live table.LiveList, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listTime := now.Add(-live.Age.Duration())
	if listTime.Before(s.listTime) {
		return // arrived after a newer list
	}
	first := s.listTime.IsZero()
	s.listTime = listTime
	s.listed = map[string]table.Member{}
	inList := map[string]bool{}
	for _, m := range live.Members {
		if m.Kind == table.KindEntry {
			s.listed[m.ID] = m
			continue
		}
		inList[m.ID] = true
		if s.applyListed(m, listTime) && !first {
			s.report(Report{Member: m}, listTime)
		}
	}
	for id, t := range s.targets {
		if !inList[id] && !t.listTime.After(listTime) {
			s.dropTarget(t)
			s.report(Report{Member: t.member, Removed: true}, listTime)
		}
	}
	s.removeExpired(now)
}

// ListDue reports whether it is this instance's turn to poll the platform's list.
// The instances take turns of one interval each and report changes to each other,
// so that the cost of the list does not grow with their number. An instance that
// receives no messages polls in every round.
func (s *State) ListDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listTime.IsZero() || now.Sub(s.lastMessage) > isolatedRounds*s.settings.Interval {
		return true
	}
	rank := 0
	for id, k := range s.members {
		if id < s.own.ID && !s.isExpired(id, k, now) {
			rank++
		}
	}
	round := now.UnixNano() / int64(s.settings.Interval)
	return round%int64(s.present+1) == int64(rank)
}

// removeExpired counts the instances that are not expired and deletes those
// whose records have not advanced for tombstoneLifetime.
func (s *State) removeExpired(now time.Time) {
	s.present = 0
	for id, k := range s.members {
		switch {
		case !s.isExpired(id, k, now):
			s.present++
		case now.Sub(k.updated) > tombstoneLifetime:
			delete(s.members, id)
		}
	}
	s.removeOldReports(now)
}

// isExpired reports whether an instance is neither in the list nor known from recent
// gossip. Its record is kept until tombstoneLifetime so that older records still in
// circulation do not bring it back.
func (s *State) isExpired(id string, k *knownMember, now time.Time) bool {
	_, listed := s.listed[id]
	return !listed && now.Sub(k.updated) > max(s.settings.RemoveAfter, 2*s.silenceTimeout())
}

// versionInterval returns the number of rounds between two versions of an unchanged
// record. It grows with the number of instances because a message carries only a
// limited number of records.
func (s *State) versionInterval() int {
	return 1 + s.present/membersPerRound
}

// silenceTimeout returns the time without a new version after which an instance is
// silent.
func (s *State) silenceTimeout() time.Duration {
	return s.settings.Interval * time.Duration(minSilentRounds+missedVersions*s.versionInterval())
}
