package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/election"
	"gypsumward/core/mirror"
	"gypsumward/core/monotonic"
	"gypsumward/core/table"
)

// Prefix is the common prefix of the keys of members, which end with the name of the node.
const Prefix = "members/members/"

// Limits of a write of a row.
const (
	writeTimeout = 700 * time.Millisecond
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = time.Second
)

// An instance writes its row again at least once per refreshInterval. A row that does not
// change for expiry is that of an instance that has ended without removing it.
const (
	refreshInterval = 10 * time.Minute
	expiry          = 3 * refreshInterval
	// maxReadGap is the time between two reads beyond which the time that rows have not
	// changed counts anew, since the store may have accepted no writes either.
	maxReadGap = time.Minute
)

// Store reads and writes rows.
type Store interface {
	mirror.Store
	Write(ctx context.Context, w table.Write) (table.Written, error)
}

// Bounds of the time between two reads of the members.
const (
	minReadInterval   = 5 * time.Second
	intervalPerMember = 100 * time.Millisecond
	standbyFactor     = 3 // for instances that hold no cell
)

// ReadInterval returns the time between two reads of the members by an instance that may
// have to choose standbys. It grows with their number, so that the bytes a second that one
// instance reads do not. One that holds no cell needs them only after it has become a holder.
func ReadInterval(members int, holds bool) time.Duration {
	d := max(minReadInterval, time.Duration(members)*intervalPerMember)
	if !holds {
		d *= standbyFactor
	}
	return d
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Roster holds the members as last read. Its exported fields must be set before use.
type Roster struct {
	Store Store
	Self  election.Member
	Clock Clock
	Log   log.Logger
	// Interval returns the time between two reads of the rows.
	Interval func() time.Duration
	// Refresh requests an immediate read by each value it delivers. It may be nil.
	Refresh <-chan struct{}
	// OnRead is called after each successful read. It may be nil.
	OnRead func()
	// OnError is called after each failed read. It may be nil.
	OnError func(f mirror.Failure)

	mu      sync.Mutex
	members []election.Member
	version int64 // of the row of this instance; zero if it is not known to be written
	seen    map[string]sighting
	readAt  time.Time // time of the last read
}

// sighting is when the version of a row was first read.
type sighting struct {
	version int64
	at      time.Time
}

// Run reads the members at intervals until ctx ends, and removes the rows of those that have
// ended long ago.
func (r *Roster) Run(ctx context.Context) {
	p := &mirror.Poller{
		Store: r.Store, Prefix: Prefix, Interval: r.Interval, Refresh: r.Refresh,
		OnRead:  r.OnRead,
		OnRows:  func(rows []table.Row, _ bool) { r.removeExpired(ctx, r.apply(rows)) },
		OnError: r.OnError,
	}
	p.Run(ctx)
}

// Register writes the row of this instance, and again from time to time, until ctx ends.
// The times are random, since all instances may start at the same time.
func (r *Roster) Register(ctx context.Context) {
	value, err := json.Marshal(r.Self)
	if err != nil {
		panic(encodePanic + err.Error())
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		written, err := r.write(ctx, table.Op{Key: r.key(), IfVersion: table.AnyVersion, Value: value})
		if err != nil {
			monotonic.Sleep(ctx, rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		r.mu.Lock()
		r.version = written.Version
		r.mu.Unlock()
		monotonic.Sleep(ctx, refreshInterval/2+rand.N(refreshInterval/2))
	}
}

// Deregister removes the row of this instance. One attempt is made, on the condition that
// the row is the one that this instance has written: the store may carry the attempt out
// late, when the next incarnation has registered.
func (r *Roster) Deregister(ctx context.Context) {
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	if version == 0 {
		return
	}
	if _, err := r.write(ctx, table.Op{Key: r.key(), IfVersion: version, Delete: true}); err != nil {
		_ = r.Log.Log("event", "missed", "what", "deregister", "err", err)
	}
}

// key returns the key of the row of this instance.
func (r *Roster) key() string { return Prefix + r.Self.Node }

func (r *Roster) write(ctx context.Context, op table.Op) (table.Written, error) {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return r.Store.Write(limited, table.Write{Ops: []table.Op{op}})
}

const encodePanic = "roster: cannot encode member: "

// apply replaces the members by those in rows and returns the rows that have expired. A row
// that cannot be decoded names no member.
func (r *Roster) apply(rows []table.Row) (expired []table.Row) {
	now := r.Clock.Now()
	if now.Sub(r.readAt) > maxReadGap {
		r.seen = nil
	}
	r.readAt = now
	members := make([]election.Member, 0, len(rows))
	seen := make(map[string]sighting, len(rows))
	for _, row := range rows {
		s := r.seen[row.Key]
		if s.version != row.Version {
			s = sighting{version: row.Version, at: now}
		}
		seen[row.Key] = s
		if now.Sub(s.at) > expiry {
			expired = append(expired, row)
			continue
		}
		var m election.Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.Node == "" || row.Key != Prefix+m.Node {
			_ = r.Log.Log("event", "badrow", "key", row.Key, "err", err)
			continue
		}
		members = append(members, m)
	}
	r.seen = seen
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
	return expired
}

// removeExpired removes rows unless they have changed. One attempt is made.
func (r *Roster) removeExpired(ctx context.Context, rows []table.Row) {
	for _, row := range rows {
		written, err := r.write(ctx, table.Op{Key: row.Key, IfVersion: row.Version, Delete: true})
		_ = r.Log.Log("event", "expired", "key", row.Key, "removed", written.Committed, "err", err)
	}
}

// Members returns the members as last read. The slice must not be changed.
func (r *Roster) Members() []election.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members
}

// CountByZone returns the number of members by data centre as last read.
func (r *Roster) CountByZone() map[string]int {
	counts := map[string]int{}
	for _, m := range r.Members() {
		counts[m.Zone]++
	}
	return counts
}
