package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/table"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Zones holds the evacuated data centres. Its exported fields must be set before use.
type Zones struct {
	Clock Clock
	Log   log.Logger
	// Decode returns the data centre that the row with a key evacuates. Ok is false if the row concerns
	// no evacuation; the error is that of a malformed key.
	Decode func(key string) (zone string, ok bool, err error)
	// Count adds n to the counter of a kind of decision. It must not block.
	Count func(kind string, n int)

	mu        sync.Mutex
	rows      map[string]evacuated // by key
	malformed map[string]bool      // keys that have been logged
	state     State
	changed   chan struct{} // closed at the next change of state
	readAt    time.Time     // time of the last successful read; zero if there was none
	startedAt time.Time     // of the first check
	overdue   bool          // that the rows have not been read for too long has been reported
}

// evacuated is the row of an evacuated data centre.
type evacuated struct {
	zone    string
	version int64
}

// State is the set of the evacuated data centres at a time.
type State struct {
	Known     bool      // the operator's rows have been read
	Zones     []string  // sorted; must not be changed
	ChangedAt time.Time // when the set was last read to have changed; zero if it never has
}

// Current returns the current state, and a channel that is closed once it has changed.
func (z *Zones) Current() (s State, changed <-chan struct{}) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.changed == nil {
		z.changed = make(chan struct{})
	}
	return z.state, z.changed
}

// Follow calls post with the evacuated data centres, before it returns if they are known, and from then
// on with each change of them, until done is closed. Changes in quick succession may be joined.
func (z *Zones) Follow(done <-chan struct{}, post func(zones []string)) {
	s, changed := z.Current()
	if s.Known {
		post(s.Zones)
	}
	go func() {
		for {
			select {
			case <-changed:
			case <-done:
				return
			}
			s, changed = z.Current()
			post(s.Zones)
		}
	}()
}

// Apply processes a successful read of the operator's rows: all of them if whole is true, otherwise
// those that have changed, of which one with version zero was removed.
func (z *Zones) Apply(rows []table.Row, whole bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.Clock.Now()
	next := maps.Clone(z.rows)
	if whole || next == nil {
		next = map[string]evacuated{}
	}
	for _, r := range rows {
		zone, ok, err := z.Decode(r.Key)
		switch {
		case r.Version == 0:
			delete(next, r.Key)
			delete(z.malformed, r.Key)
		case err != nil:
			z.logMalformed(r, err)
		case ok:
			next[r.Key] = evacuated{zone, r.Version}
		}
	}
	z.replace(now, next)
	z.readAt = now
}

// replace replaces the rows and, if the set of data centres differs, the state.
func (z *Zones) replace(now time.Time, next map[string]evacuated) {
	former := z.rows
	z.rows = next
	begun, ended := missingFrom(former, next), missingFrom(next, former)
	if z.state.Known && len(begun)+len(ended) == 0 {
		return
	}
	age := time.Duration(-1)
	if !z.readAt.IsZero() {
		age = now.Sub(z.readAt)
	}
	for _, key := range begun {
		z.logChange(next[key], true, age)
	}
	for _, key := range ended {
		z.logChange(former[key], false, age)
	}
	z.state.Known = true
	if len(begun)+len(ended) > 0 {
		z.state.ChangedAt = now
	}
	z.state.Zones = nil
	for _, key := range slices.Sorted(maps.Keys(next)) {
		z.state.Zones = append(z.state.Zones, next[key].zone)
	}
	slices.Sort(z.state.Zones)
	if z.changed != nil {
		close(z.changed)
		z.changed = nil
	}
}

// missingFrom returns the keys of other, sorted, that rows do not have.
func missingFrom(rows, other map[string]evacuated) []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(other)) {
		if _, found := rows[key]; !found {
			keys = append(keys, key)
		}
	}
	return keys
}

// logChange logs that the evacuation of a data centre begins or ends. Age is the time since the rows
// were last read without the change, so its row is not older; -1 if they were not read before.
func (z *Zones) logChange(e evacuated, begins bool, age time.Duration) {
	_ = z.Log.Log("event", "evacuate", "zone", e.zone, "begins", begins, "version", e.version, "age", age)
}

// maxMalformed bounds the number of malformed keys that are remembered.
const maxMalformed = 100

// logMalformed logs a row whose key is malformed, once for each key.
func (z *Zones) logMalformed(r table.Row, err error) {
	if z.malformed[r.Key] || len(z.malformed) >= maxMalformed {
		return
	}
	if z.malformed == nil {
		z.malformed = map[string]bool{}
	}
	z.malformed[r.Key] = true
	_ = z.Log.Log("event", "badrow", "key", r.Key, "version", r.Version, "err", err)
}

// Check reports, once each time, that the operator's rows have not been read for longer than limit
// although this process holds a cell, and that they have been read again. It is to be called
// periodically.
func (z *Zones) Check(limit time.Duration, holds bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.Clock.Now()
	if z.startedAt.IsZero() {
		z.startedAt = now
	}
	last := z.readAt
	if last.IsZero() {
		last = z.startedAt
	}
	overdue := holds && now.Sub(last) > limit
	if overdue == z.overdue {
		return
	}
	z.overdue = overdue
	if overdue {
		z.Count("operator_rows_overdue", 1)
	}
	_ = z.Log.Log("event", "evacuate", "overdue", overdue, "age", now.Sub(last), "limit", limit, "known", z.state.Known, "zones", len(z.state.Zones))
}

// Overdue reports whether the last check has found that the rows have not been read for too long.
func (z *Zones) Overdue() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.overdue
}
