package election

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/mirror"
	"gypsumward/core/monotonic"
	"gypsumward/core/table"
)

// Store is the part of the store that an Elector uses.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
	Watch(ctx context.Context, w table.Watch) (table.WatchResult, error)
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Leader is notified of the terms of this instance. Its methods must not call the Elector,
// which may hold its lock during the call.
type Leader interface {
	// BeginTerm is called when this instance has become the holder.
	BeginTerm(t Term)
	// Renew extends the lease: no other instance can become the holder before until.
	Renew(t Term, until time.Time)
	// EndTerm is called when another instance has become the holder.
	EndTerm(t Term, why string)
	// Runners returns the number of runners that orders can be sent to.
	Runners() int
}

// Elector tracks the holder of a cell and makes this instance the holder when the cell has
// none. Its exported fields must be set before Run.
type Elector struct {
	Cell     string // name of the cell, the first part of the keys
	Self     Member
	Store    Store
	Clock    Clock
	Leader   Leader
	Settings Settings
	Log      log.Logger
	// ConnectionRefused reports whether connections to an address are refused, as opposed to
	// unanswered.
	ConnectionRefused func(ctx context.Context, addr string) bool
	// HolderReachable reports whether the holder is reachable from this instance. If it
	// is, the rows are polled less often. It may be nil.
	HolderReachable func() bool
	// ClaimDelay returns how long this instance waits before it claims the cell, so that
	// instances better suited to hold it claim first. It may be nil.
	ClaimDelay func() time.Duration
	// PromisedUntil returns the time until which this instance has promised not to take over
	// from a holder that may be alive.
	PromisedUntil func() time.Time

	mu                sync.Mutex
	holder            Holder
	holderVersion     int64 // of the holder row; zero if there is none
	heartbeat         Heartbeat
	heartbeatVersion  int64     // of the heartbeat row; zero if there is none
	lastHeartbeat     time.Time // when the heartbeat or the holder last changed
	watchHealthySince time.Time // start of the period without failed store reads; zero after a failure
	loaded            bool      // all rows have been read once
	term              Term      // of this instance, if leading
	leading           bool
	retired           bool // this instance no longer takes over
	heartbeatNumber   int64
	changed           chan struct{}
	refresh           chan struct{}
}

// New returns an Elector for a cell, with the defaults in place of zero values of s. It has
// read no rows yet.
func New(cell string, s Settings) *Elector {
	return &Elector{Cell: cell, Settings: s.withDefaults(), Log: log.NewNopLogger(), changed: make(chan struct{}), refresh: make(chan struct{}, 1)}
}

// Holder returns the current holder, the version of its row and whether this instance is
// the holder. The version is zero if there is no holder or the row has not been read yet.
func (k *Elector) Holder() (h Holder, version int64, self bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder, k.holderVersion, k.leading
}

// Changed returns a channel that is closed at the next change of the holder.
func (k *Elector) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// StopClaiming prevents this instance from taking over. It does not end a current term.
func (k *Elector) StopClaiming() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

// Run tracks the holder, sends heartbeats and takes over until ctx ends.
func (k *Elector) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){k.watchRows, k.sendHeartbeats, k.takeOver} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

func (k *Elector) key(row string) string {
	return Key(k.Cell, row)
}

// watchRows keeps the state of the Elector up to date with the rows.
func (k *Elector) watchRows(ctx context.Context) {
	m := mirror.Mirror{
		Store: k.Store, Prefix: k.key(""), Wait: k.Settings.WatchWait, Timeout: k.Settings.StoreTimeout,
		PollInterval: k.pollInterval, Refresh: k.refresh,
		OnRows: func(rows []table.Row, whole bool) {
			k.applyRows(rows)
			if whole {
				k.mu.Lock()
				k.loaded = true
				k.mu.Unlock()
			}
		},
		OnError: func(error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.watchHealthySince = time.Time{}
		},
	}
	m.Run(ctx)
}

func (k *Elector) pollInterval() time.Duration {
	if k.HolderReachable == nil || !k.HolderReachable() {
		return 0
	}
	return k.Settings.PollInterval
}

// Refresh requests an immediate read of the rows, for callers that have a reason to
// believe that the holder has changed. It does not block.
func (k *Elector) Refresh() {
	select {
	case k.refresh <- struct{}{}:
	default:
	}
}

// applyRows updates the state from rows that were read or reported as changed.
func (k *Elector) applyRows(rows []table.Row) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.watchHealthySince.IsZero() {
		k.watchHealthySince = now
	}
	for _, r := range rows {
		switch r.Key {
		case k.key(HolderRow):
			k.applyHolder(now, r)
		case k.key(HeartbeatRow):
			var b Heartbeat
			if json.Unmarshal(r.Value, &b) == nil && b != k.heartbeat {
				k.heartbeat, k.lastHeartbeat = b, now
			}
			k.heartbeatVersion = max(k.heartbeatVersion, r.Version)
		}
	}
}

func (k *Elector) applyHolder(now time.Time, r table.Row) {
	if r.Version <= k.holderVersion {
		return
	}
	var h Holder
	if json.Unmarshal(r.Value, &h) != nil {
		h = Holder{}
	}
	previousTerm := k.term
	wasLeading := k.leading
	k.holder, k.holderVersion, k.lastHeartbeat = h, r.Version, now
	close(k.changed)
	k.changed = make(chan struct{})
	_ = k.Log.Log("event", "holder", "node", h.Node, "life", h.Incarnation, "epoch", r.Version, "round", h.TermNumber)
	k.leading = h.Incarnation == k.Self.Incarnation
	if wasLeading && previousTerm.Epoch != r.Version {
		k.Leader.EndTerm(previousTerm, "the holder row names "+h.Node)
	}
	if k.leading {
		k.term = Term{Epoch: r.Version, Number: h.TermNumber, PreviousRunners: k.heartbeat.Runners}
		k.Leader.BeginTerm(k.term)
	}
}

// sendHeartbeats writes a heartbeat every HeartbeatInterval while this instance is the
// holder.
func (k *Elector) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		leading, term, changed := k.leading, k.term, k.changed
		k.mu.Unlock()
		if !leading {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		began := k.Clock.Now()
		k.writeHeartbeat(ctx, term, began)
		monotonic.Sleep(ctx, k.Settings.HeartbeatInterval-k.Clock.Now().Sub(began))
	}
}

func (k *Elector) writeHeartbeat(ctx context.Context, term Term, now time.Time) {
	runners := k.Leader.Runners()
	k.mu.Lock()
	k.heartbeatNumber++
	b := Heartbeat{Incarnation: k.Self.Incarnation, Number: k.heartbeatNumber, Runners: runners}
	k.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, k.Settings.StoreTimeout)
	defer cancel()
	written, err := k.Store.Write(limited, table.Write{Ops: []table.Op{
		{Key: k.key(HolderRow), IfVersion: term.Epoch, CheckOnly: true},
		{Key: k.key(HeartbeatRow), IfVersion: table.AnyVersion, Value: encode(b)},
	}})
	switch {
	case err != nil:
		monotonic.Sleep(ctx, 20*time.Millisecond)
	case written.Committed:
		k.Leader.Renew(term, now.Add(k.Settings.LeaseDuration))
	default:
		k.applyRows(written.Conflicts)
	}
}

// writeHolder writes the holder row, conditional on its version and on the conditions in
// others. It reports whether the row was written; false after an error, when the outcome
// is unknown.
func (k *Elector) writeHolder(ctx context.Context, version int64, h Holder, others ...table.Op) bool {
	limited, cancel := context.WithTimeout(ctx, k.Settings.StoreTimeout)
	defer cancel()
	sent := k.Clock.Now()
	value := encode(h)
	written, err := k.Store.Write(limited, table.Write{Ops: append([]table.Op{
		{Key: k.key(HolderRow), IfVersion: version, Value: value},
	}, others...)})
	if err != nil {
		return false
	}
	if written.Committed {
		k.applyRows([]table.Row{{Key: k.key(HolderRow), Version: written.Version, Value: value}})
		if h.Incarnation == k.Self.Incarnation {
			k.Leader.Renew(Term{Epoch: written.Version, Number: h.TermNumber}, sent.Add(k.Settings.LeaseDuration))
		}
		return true
	}
	k.applyRows(written.Conflicts)
	return false
}

// Transfer transfers the cell to another member. It reports whether this instance is no
// longer the holder.
func (k *Elector) Transfer(ctx context.Context, to Member) bool {
	k.mu.Lock()
	leading, term := k.leading, k.term
	k.mu.Unlock()
	if !leading {
		return true
	}
	_ = k.Log.Log("event", "resign", "to", to.Node, "epoch", term.Epoch)
	return k.writeHolder(ctx, term.Epoch, Holder{Member: to, TermNumber: term.Number + 1})
}
