package election

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/fingerprint"
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
	// Reported notifies of a set returned by Runners that is in the row of the heartbeat.
	Reported(t Term, set fingerprint.Set)
	// EndTerm is called when another instance has become the holder.
	EndTerm(t Term, why string)
	// Runners returns the number of runners that orders can be sent to, and the fingerprint of
	// those that may have runs.
	Runners() (count int, set fingerprint.Set)
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
	// is, the rows are polled less often and its address is not probed. It may be nil.
	HolderReachable func() bool
	// ChooseStandbys returns the nodes that may take over from a holder. If it is nil or
	// returns none, every instance may.
	ChooseStandbys func(holder Member) []string
	// ChooseReserves returns the reserves of a holder. If it is nil there are none.
	ChooseReserves func(holder Member) []string
	// RunnersReachable reports whether this instance reaches the runners of the cell, which proves that
	// their data centre is not cut off from it. It may be nil.
	RunnersReachable func(ctx context.Context) bool
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
	standbys          standbys
	releasedEpoch     int64 // epoch of a holder that has given the cell up; zero if none has
	releasedAt        time.Time
	holderClock       clockReading
	openClaim         *rowVersions  // of a claim whose outcome is not known; nil if there is none
	earlier           []EarlierTerm // terms before that of the holder whose runs it may have to account for
	transferredEnd    time.Time     // end of the leases of the holders that have written another one into the row
	lastWritten       time.Time     // when the last heartbeat of this instance that was written was sent
	term              Term          // of this instance, if leading
	leading           bool
	retired           bool // this instance no longer takes over
	heartbeatNumber   int64
	changed           chan struct{}
	refresh           chan struct{}
	ended             chan struct{} // a value means that a holder has ended its term by itself
}

// New returns an Elector for a cell, with the defaults in place of zero values of s. It has
// read no rows yet.
func New(cell string, s Settings) *Elector {
	return &Elector{Cell: cell, Settings: s.withDefaults(), Log: log.NewNopLogger(), changed: make(chan struct{}), refresh: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
}

// Holder returns the current holder, the version of its row and whether this instance is
// the holder. The version is zero if there is no holder or the row has not been read yet.
func (e *Elector) Holder() (h Holder, version int64, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder, e.holderVersion, e.leading
}

// Changed returns a channel that is closed at the next change of the holder.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// StopClaiming prevents this instance from taking over. It does not end a current term.
func (e *Elector) StopClaiming() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
}

// Run tracks the holder, sends heartbeats and takes over until ctx ends. It may be called
// again after it has returned, and does not take over before it has read the rows anew.
func (e *Elector) Run(ctx context.Context) {
	e.mu.Lock()
	e.loaded, e.watchHealthySince = false, time.Time{}
	if e.lastHeartbeat.IsZero() {
		e.lastHeartbeat = e.Clock.Now()
	}
	e.mu.Unlock()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){e.watchRows, e.sendHeartbeats, e.takeOver} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

func (e *Elector) key(row string) string {
	return Key(e.Cell, row)
}

// watchRows keeps the state of the Elector up to date with the rows.
func (e *Elector) watchRows(ctx context.Context) {
	m := mirror.Mirror{
		Store: e.Store, Prefix: e.key(""), Wait: e.Settings.WatchWait, Timeout: e.Settings.StoreTimeout,
		PollInterval: e.pollInterval, Refresh: e.refresh,
		OnRows: func(rows []table.Row, whole bool) {
			e.applyRows(rows)
			if whole {
				e.mu.Lock()
				e.loaded = true
				e.mu.Unlock()
			}
		},
		OnError: func(mirror.Failure) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.watchHealthySince = time.Time{}
		},
	}
	m.Run(ctx)
}

func (e *Elector) pollInterval() time.Duration {
	if e.HolderReachable == nil || !e.HolderReachable() {
		return 0
	}
	return e.Settings.PollInterval
}

// Refresh requests an immediate read of the rows, for callers that have a reason to
// believe that the holder has changed. It does not block.
func (e *Elector) Refresh() {
	select {
	case e.refresh <- struct{}{}:
	default:
	}
}

// applyRows updates the state from rows that were read or reported as changed.
func (e *Elector) applyRows(rows []table.Row) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.watchHealthySince.IsZero() {
		e.watchHealthySince = now
	}
	for _, r := range rows {
		switch r.Key {
		case e.key(HolderRow):
			e.applyHolder(now, r)
		case e.key(HeartbeatRow):
			var b Heartbeat
			if r.Version <= e.heartbeatVersion {
				continue
			}
			if json.Unmarshal(r.Value, &b) == nil && b != e.heartbeat {
				if b.Ended < r.Version {
					e.setReleased(b.Ended)
				}
				e.heartbeat, e.lastHeartbeat = b, e.sentBy(b, now)
			}
			e.heartbeatVersion = r.Version
		case e.key(StandbysRow):
			e.standbys.apply(r)
		}
	}
}

func (e *Elector) applyHolder(now time.Time, r table.Row) {
	if r.Version <= e.holderVersion {
		return
	}
	var h Holder
	if json.Unmarshal(r.Value, &h) != nil {
		h = Holder{}
	}
	previousTerm := e.term
	wasLeading := e.leading
	replaced := e.holderVersion
	if h.Previous != 0 {
		replaced = h.Previous // the row may have changed more than once since it was last read
	}
	previousRunners := e.reportedRunners(replaced)
	e.earlier = earlierTerms(now, h.Earlier)
	e.holder, e.holderVersion, e.lastHeartbeat = h, r.Version, now
	close(e.changed)
	e.changed = make(chan struct{})
	_ = e.Log.Log("event", "holder", "node", h.Node, "life", h.Incarnation, "epoch", r.Version, "round", h.TermNumber)
	earlierEnd := e.transferredEnd
	if h.Previous != 0 {
		// The lease of the previous holder is by a heartbeat, or by promises of all standbys. Others
		// know only for how long promises can extend its right to run stored jobs.
		end := latest(now.Add(e.Settings.LeaseDuration), e.PromisedUntil())
		if former := e.standbys.before(r.Version); len(former) > 0 && !slices.Contains(former, e.Self.Node) {
			end = latest(end, now.Add(e.Settings.MaxExtension))
		}
		e.transferredEnd = latest(e.transferredEnd, end)
	}
	e.leading = h.Incarnation == e.Self.Incarnation
	if wasLeading && previousTerm.Epoch != r.Version {
		e.Leader.EndTerm(previousTerm, "the holder row names "+h.Node)
	}
	if e.leading {
		previous := e.replacedTerm(replaced)
		end, open := previous.End, previous.Open
		switch {
		case h.Previous != 0:
			end = e.transferredEnd
		case previousRunners == 0 && earlierEnd.After(now):
			end = latest(end, earlierEnd) // the previous holder may not have taken over from an earlier one
		}
		e.term = Term{Epoch: r.Version, Number: h.TermNumber, PreviousRunners: previousRunners, PreviousEpoch: h.Previous, PreviousEnd: end, PreviousOpen: open, ReplacedEpoch: replaced, Earlier: earlierThan(replaced, e.earlier)}
		e.lastWritten = time.Time{}
		e.Leader.BeginTerm(e.term)
	}
}

// sendHeartbeats writes a heartbeat every HeartbeatInterval while this instance is the
// holder.
func (e *Elector) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		leading, term, changed := e.leading, e.term, e.changed
		released := e.releasedEpoch == term.Epoch
		e.mu.Unlock()
		if !leading || released {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		began := e.Clock.Now()
		e.writeHeartbeat(ctx, term, began)
		monotonic.Sleep(ctx, e.Settings.HeartbeatInterval-e.Clock.Now().Sub(began))
	}
}

func (e *Elector) writeHeartbeat(ctx context.Context, term Term, now time.Time) {
	runners, set := e.Leader.Runners()
	e.mu.Lock()
	e.heartbeatNumber++
	b := Heartbeat{Incarnation: e.Self.Incarnation, Number: e.heartbeatNumber, Runners: runners, Set: set, Sent: now.UnixNano()}
	e.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, e.Settings.StoreTimeout)
	defer cancel()
	written, err := e.Store.Write(limited, table.Write{Ops: []table.Op{
		{Key: e.key(HolderRow), IfVersion: term.Epoch, CheckOnly: true},
		{Key: e.key(HeartbeatRow), IfVersion: table.AnyVersion, Value: encode(b)},
	}})
	switch {
	case err != nil:
		monotonic.Sleep(ctx, 20*time.Millisecond)
	case written.Committed:
		e.mu.Lock()
		if e.leading && e.term.Epoch == term.Epoch {
			e.lastWritten, e.heartbeat, e.heartbeatVersion = now, b, max(e.heartbeatVersion, written.Version)
		}
		e.mu.Unlock()
		e.Leader.Reported(term, set)
		e.Leader.Renew(term, now.Add(e.Settings.LeaseDuration))
	default:
		e.applyRows(written.Conflicts)
	}
}

// writeHolder writes the holder row and the row of its standbys, conditional on their
// versions and on the conditions in others. It reports whether the rows were written;
// false after an error, when the outcome is unknown. Previous is what is known of the term that
// ends if they were.
func (e *Elector) writeHolder(ctx context.Context, version, standbysVersion int64, h Holder, others ...table.Op) bool {
	limited, cancel := context.WithTimeout(ctx, e.Settings.StoreTimeout)
	defer cancel()
	standbysOp := table.Op{Key: e.key(StandbysRow), IfVersion: standbysVersion, CheckOnly: true}
	if e.ChooseStandbys != nil {
		if nodes := e.ChooseStandbys(h.Member); len(nodes) > 0 {
			chosen := Standbys{Nodes: nodes}
			if e.ChooseReserves != nil {
				chosen.Reserves = e.ChooseReserves(h.Member)
			}
			standbysOp.CheckOnly, standbysOp.Value = false, encode(chosen)
		}
	}
	sent := e.Clock.Now()
	value := encode(h)
	written, err := e.Store.Write(limited, table.Write{Ops: append([]table.Op{
		{Key: e.key(HolderRow), IfVersion: version, Value: value}, standbysOp,
	}, others...)})
	if err != nil {
		return false
	}
	if written.Committed {
		rows := []table.Row{{Key: e.key(HolderRow), Version: written.Version, Value: value}}
		if !standbysOp.CheckOnly {
			rows = append([]table.Row{{Key: e.key(StandbysRow), Version: written.Version, Value: standbysOp.Value}}, rows...)
		}
		e.applyRows(rows)
		if h.Incarnation == e.Self.Incarnation {
			e.mu.Lock()
			e.lastWritten = sent
			e.mu.Unlock()
			e.Leader.Renew(Term{Epoch: written.Version, Number: h.TermNumber}, sent.Add(e.Settings.LeaseDuration))
		}
		return true
	}
	e.correctVersions(written.Conflicts)
	e.applyRows(written.Conflicts)
	return false
}

// correctVersions lowers versions that a peer has reported wrongly to those of rows that
// the store has returned. Otherwise every claim would conflict.
func (e *Elector) correctVersions(rows []table.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range rows {
		if r.Key == e.key(HeartbeatRow) {
			e.heartbeatVersion = min(e.heartbeatVersion, r.Version)
		}
	}
}

// Transfer transfers the cell to another member. It reports whether this instance is no
// longer the holder.
func (e *Elector) Transfer(ctx context.Context, to Member) bool {
	e.mu.Lock()
	leading, term, standbysVersion := e.leading, e.term, e.standbys.version
	e.mu.Unlock()
	if !leading {
		return true
	}
	_ = e.Log.Log("event", "resign", "to", to.Node, "epoch", term.Epoch)
	if e.writeHolder(ctx, term.Epoch, standbysVersion, Holder{Member: to, TermNumber: term.Number + 1, Previous: term.Epoch, Earlier: e.earlierOfTransfer()}) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leading // an earlier attempt has taken effect
}
