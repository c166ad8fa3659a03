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
	maxBackoff   = 5 * time.Second
)

// Store reads and writes rows.
type Store interface {
	mirror.Store
	Write(ctx context.Context, w table.Write) (table.Written, error)
}

// Roster holds the members as last read. Its exported fields must be set before use.
type Roster struct {
	Store Store
	Self  election.Member
	Log   log.Logger
	// Interval returns the time between two reads of the rows.
	Interval func() time.Duration
	// Refresh requests an immediate read by each value it delivers. It may be nil.
	Refresh <-chan struct{}

	mu      sync.Mutex
	members []election.Member
}

// Run reads the members at intervals until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	p := &mirror.Poller{
		Store: r.Store, Prefix: Prefix, Interval: r.Interval, Refresh: r.Refresh, OnRows: r.apply,
		OnError: func(err error) { _ = r.Log.Log("event", "missed", "what", "members", "err", err) },
	}
	p.Run(ctx)
}

// Register writes the row of this instance, retrying until it is written or ctx ends. The
// backoff is random, since all instances may start at the same time.
func (r *Roster) Register(ctx context.Context) {
	value, err := json.Marshal(r.Self)
	if err != nil {
		panic(encodePanic + err.Error())
	}
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		if r.write(ctx, table.Op{Key: Prefix + r.Self.Node, IfVersion: table.AnyVersion, Value: value}) == nil {
			return
		}
		monotonic.Sleep(ctx, rand.N(backoff))
	}
}

// Deregister removes the row of this instance. One attempt is made.
func (r *Roster) Deregister(ctx context.Context) {
	err := r.write(ctx, table.Op{Key: Prefix + r.Self.Node, IfVersion: table.AnyVersion, Delete: true})
	if err != nil {
		_ = r.Log.Log("event", "missed", "what", "deregister", "err", err)
	}
}

func (r *Roster) write(ctx context.Context, op table.Op) error {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := r.Store.Write(limited, table.Write{Ops: []table.Op{op}})
	return err
}

const encodePanic = "roster: cannot encode member: "

// apply replaces the members by those in rows. A row that cannot be decoded names none.
func (r *Roster) apply(rows []table.Row, _ bool) {
	members := make([]election.Member, 0, len(rows))
	for _, row := range rows {
		var m election.Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.Node == "" || row.Key != Prefix+m.Node {
			_ = r.Log.Log("event", "badrow", "key", row.Key, "err", err)
			continue
		}
		members = append(members, m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
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
