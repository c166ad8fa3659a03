package election

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"gypsumward/core/table"
)

// Standbys is the value of the row that names the nodes which may take over from the
// holder, besides the node of the holder itself. The row counts only if it was written with
// or after the holder row; otherwise every instance may take over.
//
// Reserves are in other data centres than the holder and its standbys. They take over when all of those
// seem to be lost. Since they may only be cut off, a holder goes on without the promises of reserves,
// for jobs that need not be kept, and for a time in which no reserve starts what it may have started.
type Standbys struct {
	Nodes    []string `json:"nodes"`
	Reserves []string `json:"reserves,omitempty"`
}

// join returns the nodes and reserves of both.
func (s Standbys) join(other Standbys) Standbys {
	return Standbys{Nodes: slices.Concat(s.Nodes, other.Nodes), Reserves: slices.Concat(s.Reserves, other.Reserves)}
}

// standbys is what an Elector knows of the row of standbys.
type standbys struct {
	Standbys
	version int64
	pending Standbys // in writes whose outcome is not known
	former  []string // nodes before the last change
}

// before returns the nodes as they were before the version given was written.
func (s *standbys) before(version int64) []string {
	if s.version >= version {
		return s.former
	}
	return s.Nodes
}

// apply applies the row, unless it is older than what is known. A value that cannot be
// decoded names no node.
func (s *standbys) apply(r table.Row) {
	if r.Version <= s.version {
		return
	}
	var v Standbys
	_ = json.Unmarshal(r.Value, &v)
	s.former = s.Nodes
	s.Standbys, s.version, s.pending = v, r.Version, Standbys{}
}

// isStandby reports whether this instance may take over as soon as the holder is silent.
// The caller holds the lock.
func (e *Elector) isStandby() bool {
	return e.standbys.version < e.holderVersion || e.holder.Node == e.Self.Node || slices.Contains(e.standbys.Nodes, e.Self.Node)
}

// isReserve reports whether this instance is a reserve. The caller holds the lock.
func (e *Elector) isReserve() bool {
	return !e.isStandby() && slices.Contains(e.standbys.Reserves, e.Self.Node)
}

// Standbys returns the nodes that may take over from the holder as soon as it is silent,
// besides the node of the holder. Known is false if every instance may.
func (e *Elector) Standbys() (nodes []string, known bool) {
	s, known := e.allStandbys()
	return s.Nodes, known
}

// Reserves returns the reserves of the holder.
func (e *Elector) Reserves() []string {
	s, _ := e.allStandbys()
	return s.Reserves
}

// allStandbys returns the standbys and reserves, those in writes whose outcome is not known included.
func (e *Elector) allStandbys() (s Standbys, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holderVersion == 0 || e.standbys.version < e.holderVersion {
		return Standbys{}, false
	}
	return e.standbys.join(e.standbys.pending), true
}

// SetStandbys replaces the standbys of this instance, which must be the holder. It reports
// whether they were written. Until that is known the former and the new ones count.
func (e *Elector) SetStandbys(ctx context.Context, s Standbys) bool {
	e.mu.Lock()
	leading, term, version := e.leading, e.term, e.standbys.version
	if leading {
		e.standbys.pending = e.standbys.pending.join(s)
	}
	e.mu.Unlock()
	if !leading {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, e.Settings.StoreTimeout)
	defer cancel()
	value := encode(s)
	written, err := e.Store.Write(limited, table.Write{Ops: []table.Op{
		{Key: e.key(HolderRow), IfVersion: term.Epoch, CheckOnly: true},
		{Key: e.key(StandbysRow), IfVersion: version, Value: value},
	}})
	_ = e.Log.Log("event", "standbys", "nodes", len(s.Nodes), "reserves", len(s.Reserves), "written", written.Committed, "err", err)
	switch {
	case err != nil:
		return false
	case written.Committed:
		e.applyRows([]table.Row{{Key: e.key(StandbysRow), Version: written.Version, Value: value}})
		return true
	default:
		e.applyRows(written.Conflicts)
		return false
	}
}

// LastHeartbeat returns the last heartbeat of this instance that was written, the version
// of its row, and the time since it was sent. All are zero if none was in this term.
func (e *Elector) LastHeartbeat() (b Heartbeat, version int64, age time.Duration) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastWritten.IsZero() {
		return Heartbeat{}, 0, 0
	}
	return e.heartbeat, e.heartbeatVersion, max(now.Sub(e.lastWritten), time.Millisecond)
}

// clockReading relates the clock of a holder to that of this instance: a message that the
// holder sent at one time had arrived at the other.
type clockReading struct {
	incarnation string
	sent        int64 // in nanoseconds on the clock of the holder
	arrived     time.Time
}

// ReportHeartbeat records a heartbeat that the holder has reported as written, with the
// version of its row. Timestamp is when the report was sent, in nanoseconds on the clock of
// the holder.
func (e *Elector) ReportHeartbeat(b Heartbeat, version, timestamp int64) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.Incarnation != e.holder.Incarnation {
		return
	}
	e.holderClock = clockReading{incarnation: b.Incarnation, sent: timestamp, arrived: now}
	if version > e.heartbeatVersion {
		e.heartbeat, e.lastHeartbeat, e.heartbeatVersion = b, e.sentBy(b, now), version
	}
}

// sentBy returns a time by which a heartbeat read at now had certainly been sent: earlier
// than now if the clock of the holder is known. The caller holds the lock.
func (e *Elector) sentBy(b Heartbeat, now time.Time) time.Time {
	r := e.holderClock
	if b.Sent == 0 || b.Incarnation != r.incarnation {
		return now
	}
	by := r.arrived.Add(time.Duration(b.Sent - r.sent))
	if by.After(now) {
		return now
	}
	return by
}

// ExtensionLimit returns the time beyond which promises must not extend the right of this
// instance to run stored jobs, since any instance may then take over. It is zero if no
// heartbeat was written in this term.
func (e *Elector) ExtensionLimit() time.Time { return e.afterLastWritten(e.Settings.MaxExtension) }

// StoredLimit returns the time until which this instance may run stored jobs without the promises of its
// reserves. It is zero if no heartbeat was written in this term.
func (e *Elector) StoredLimit() time.Time { return e.afterLastWritten(e.Settings.StoredExtension) }

// afterLastWritten returns the time d after the last heartbeat of this instance that was written was
// sent; zero if none was in this term.
func (e *Elector) afterLastWritten(d time.Duration) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastWritten.IsZero() {
		return time.Time{}
	}
	return e.lastWritten.Add(d)
}

// Released records that the holder of an epoch, possibly this instance, has ended its term
// by itself. It sends no further heartbeat, and a standby may take over at once.
func (e *Elector) Released(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setReleased(epoch)
}

// setReleased records that the holder of an epoch has ended its term. The caller holds the
// lock.
func (e *Elector) setReleased(epoch int64) {
	if epoch <= e.releasedEpoch {
		return
	}
	e.releasedEpoch, e.releasedAt = epoch, e.Clock.Now()
	select {
	case e.ended <- struct{}{}:
	default:
	}
}

// Release records in the store that the term t of this instance has ended, so that a standby
// takes over at once. The term must be over. One attempt is made.
func (e *Elector) Release(ctx context.Context, t Term) {
	e.Released(t.Epoch)
	e.mu.Lock()
	last := Heartbeat{Incarnation: e.Self.Incarnation, Set: e.heartbeat.Set, Ended: t.Epoch}
	e.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, e.Settings.StoreTimeout)
	defer cancel()
	written, err := e.Store.Write(limited, table.Write{Ops: []table.Op{
		{Key: e.key(HolderRow), IfVersion: t.Epoch, CheckOnly: true},
		{Key: e.key(HeartbeatRow), IfVersion: table.AnyVersion, Value: encode(last)},
	}})
	_ = e.Log.Log("event", "release", "epoch", t.Epoch, "written", written.Committed, "err", err)
}

// Promise calls record, which records a promise not to take over, unless a claim of this
// instance may still take effect. It reports whether it did.
func (e *Elector) Promise(record func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openClaim != nil && *e.openClaim == e.versions() {
		return false
	}
	e.openClaim = nil
	record()
	return true
}

// beginClaim reports whether this instance may claim the cell: it has promised nothing since
// the decision, unless the holder has ended, and the rows are unchanged. From then on it
// promises nothing until the claim can have no effect any more, since the store may carry
// it out late.
func (e *Elector) beginClaim(seen rowVersions) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := seen.holder == 0 || e.holder.Node == e.Self.Node || e.releasedEpoch == seen.holder
	if e.versions() != seen || (!ended && !e.Clock.Now().After(e.PromisedUntil())) {
		return false
	}
	e.openClaim = &seen
	return true
}
