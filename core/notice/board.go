package notice

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"gypsumward/core/election"
	"gypsumward/core/mirror"
	"gypsumward/core/monotonic"
	"gypsumward/core/table"
)

// Prefix is the common prefix of the keys of notices, which end with the name of the cell.
const Prefix = "holders/holders/"

// Limits of a write of a notice.
const (
	writeTimeout = 700 * time.Millisecond
	minBackoff   = 30 * time.Millisecond
	maxBackoff   = time.Second
)

// errEpoch is the error of a notice that is older than the epoch it names.
const errEpoch = errors.ConstError("the epoch is later than the notice")

// Store reads and writes rows.
type Store interface {
	mirror.Store
	Write(ctx context.Context, w table.Write) (table.Written, error)
}

// Board holds the notices of all cells. Its exported fields must be set before Run.
type Board struct {
	Store Store
	Wait  time.Duration // for which the store waits for a change; zero means the default of package mirror
	Log   log.Logger
	// OnNotice is called with each notice that replaces an older one. It must not block.
	OnNotice func(cell string, n election.Notice)
	// OnError is called after each failed read. It may be nil.
	OnError func(f mirror.Failure)
	// OnRead is called after each successful read. It may be nil.
	OnRead func()

	mu      sync.Mutex
	loaded  bool
	entries map[string]entry // by cell
}

// entry is a notice and the version of its row.
type entry struct {
	notice  election.Notice
	version int64
}

// Run keeps the notices up to date until ctx ends.
func (b *Board) Run(ctx context.Context) {
	m := &mirror.Mirror{Store: b.Store, Prefix: Prefix, Wait: b.Wait, OnRead: b.OnRead, OnRows: b.apply, OnError: b.OnError}
	m.Run(ctx)
}

// Get returns the notice of a cell. Ok is false if there is none.
func (b *Board) Get(cell string) (n election.Notice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[cell]
	return e.notice, ok && e.notice.Epoch > 0
}

// Loaded reports whether the notices have been read.
func (b *Board) Loaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

// apply applies rows. One that cannot be decoded is logged and leaves the notice as it is.
func (b *Board) apply(rows []table.Row, whole bool) {
	var changed []string
	b.mu.Lock()
	b.loaded = b.loaded || whole
	if b.entries == nil {
		b.entries = map[string]entry{}
	}
	for _, r := range rows {
		name := r.Key[min(len(Prefix), len(r.Key)):]
		current := b.entries[name]
		if r.Version <= current.version {
			continue
		}
		var n election.Notice
		err := json.Unmarshal(r.Value, &n)
		if err == nil && n.Epoch >= r.Version {
			err = errEpoch
		}
		if err != nil {
			_ = b.Log.Log("event", "badrow", "key", r.Key, "err", err)
			n = current.notice
		}
		b.entries[name] = entry{notice: n, version: r.Version}
		changed = append(changed, name)
	}
	b.mu.Unlock()
	for _, name := range changed {
		if n, ok := b.Get(name); ok {
			b.OnNotice(name, n)
		}
	}
}

// Publish writes a notice of a cell, retrying until it is written or a notice of a later
// epoch is there. It returns false if ctx ends first.
func (b *Board) Publish(ctx context.Context, cell string, n election.Notice) bool {
	value, err := json.Marshal(n)
	if err != nil {
		panic(encodePanic + err.Error())
	}
	key := Prefix + cell
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		b.mu.Lock()
		current := b.entries[cell]
		b.mu.Unlock()
		if current.notice.Epoch > n.Epoch {
			return true
		}
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		written, err := b.Store.Write(limited, table.Write{Ops: []table.Op{{Key: key, IfVersion: current.version, Value: value}}})
		cancel()
		switch {
		case err != nil:
			monotonic.Sleep(ctx, backoff)
		case written.Committed:
			b.apply([]table.Row{{Key: key, Version: written.Version, Value: value}}, false)
			return true
		default:
			b.apply(written.Conflicts, false)
		}
	}
	return false
}

const encodePanic = "notice: cannot encode notice: "
