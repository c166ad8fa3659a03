package election

import (
	"context"
	"math/rand/v2"
	"time"

	"gypsumward/core/monotonic"
	"gypsumward/core/table"
)

// takeOver claims the cell whenever it has no holder, the holder is a previous
// incarnation of this instance, or the holder has failed.
func (e *Elector) takeOver(ctx context.Context) {
	var p prober
	var evidence time.Time // when this instance last looked for it, as a reserve
	for ctx.Err() == nil {
		e.awaitCheck(ctx)
		s, ok := e.situation()
		if !ok {
			continue
		}
		reason := s.reason()
		if reason == "" && s.standby && !e.reachesHolder() && p.refused(ctx, e, s) {
			// A cut link may also refuse connections, so the holder may still be alive; but
			// its lease has expired.
			reason = "no heartbeat and connections to the holder are refused"
		}
		if reason == "" && e.mayLookForEvidence(s) && s.now.Sub(evidence) >= evidenceInterval {
			evidence = s.now
			if e.RunnersReachable(ctx) {
				reason = "no heartbeat, and the runners are reachable"
			}
		}
		if reason != "" && e.awaitClaimTurn(ctx, s.seen) && e.beginClaim(s.seen) {
			e.claim(ctx, s.seen, s.holder.TermNumber+1, e.previousTerm(s), reason)
		}
	}
}

// mayLookForEvidence reports whether this instance takes over if it reaches the runners of the cell: it
// is a reserve, the holder and all standbys have had their time, and it has not promised to wait.
func (e *Elector) mayLookForEvidence(s situation) bool {
	return s.reserve && e.RunnersReachable != nil && s.healthy && !e.reachesHolder() &&
		s.now.Sub(s.lastHeartbeat) > e.Settings.ReserveTimeout && s.now.After(s.promisedUntil)
}

// awaitCheck waits until it is to be checked whether to take over: at once when the holder has
// ended its term by itself.
func (e *Elector) awaitCheck(ctx context.Context) {
	interval := takeoverCheckInterval
	if e.reachesHolder() {
		interval = reachableCheckInterval
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.ended:
	case <-ctx.Done():
	}
}

// situation is what a decision to take over is based on.
type situation struct {
	now           time.Time
	self          Member
	holder        Holder
	seen          rowVersions
	standby       bool
	reserve       bool
	healthy       bool // the store was readable for SilentTimeout
	released      bool // the holder has ended its term by itself
	silent        bool // no heartbeat for long
	lastHeartbeat time.Time
	promisedUntil time.Time
}

// situation returns the current situation. Ok is false if this instance must not take over
// or does not know the rows yet.
func (e *Elector) situation() (s situation, ok bool) {
	promisedUntil := e.PromisedUntil()
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	standby := e.isStandby()
	// A term of this instance that has failed leaves the cell to others for a while.
	over := e.leading && e.releasedEpoch == e.holderVersion && now.Sub(e.releasedAt) > e.Settings.SilentTimeout
	return situation{
		now: now, self: e.Self, holder: e.holder, seen: e.versions(), standby: standby, reserve: e.isReserve(), released: e.releasedEpoch == e.holderVersion,
		healthy: !e.watchHealthySince.IsZero() && now.Sub(e.watchHealthySince) > e.Settings.SilentTimeout,
		silent:  e.holderSilent(now, standby), lastHeartbeat: e.lastHeartbeat, promisedUntil: promisedUntil,
	}, e.loaded && (!e.leading || over) && !e.retired
}

// reason returns why this instance may take over, or an empty string. Probes of the holder's
// address are not considered.
func (s situation) reason() string {
	switch {
	case s.seen.holder == 0 || s.holder.Incarnation == "":
		return "the cell has no holder"
	case s.holder.Node == s.self.Node:
		return "the holder was a previous incarnation of this instance"
	case s.released && s.standby:
		return "the holder has given the cell up"
	case s.silent && s.now.After(s.promisedUntil):
		return "no heartbeat"
	}
	return ""
}

// previousTerm is what is known of the term that a claim ends. The zero value stands for one of which
// nothing is known.
type previousTerm struct {
	end  time.Time // when its lease has expired; zero if that is not known
	open bool      // the holder may go on with jobs that need not be kept
}

// previousTerm returns what is known of the term that a claim in situation s ends, provided that no
// heartbeat was written since the last one seen. A standby claims after the end of the lease, or of the
// holder. Any other instance does not know whether the standbys extend the lease: only the time until
// which the holder may run stored jobs is known, by the last heartbeat and the promise of this instance.
func (e *Elector) previousTerm(s situation) previousTerm {
	switch {
	case s.seen.holder == 0:
		return previousTerm{}
	case s.standby || s.holder.Node == s.self.Node:
		end := latest(s.lastHeartbeat.Add(e.Settings.LeaseDuration), s.promisedUntil)
		if end.After(s.now) {
			end = s.now
		}
		return previousTerm{end: end}
	case s.reserve:
		return previousTerm{end: latest(s.lastHeartbeat.Add(e.Settings.StoredExtension), s.promisedUntil), open: true}
	}
	return previousTerm{end: s.lastHeartbeat.Add(e.Settings.MaxExtension), open: true}
}

// prober probes the address of the holder.
type prober struct {
	last         time.Time
	refusedSince time.Time // zero unless the last probe was refused
}

// refused probes the holder's address, at most once per ProbeInterval. It reports whether
// connections are refused, no heartbeat came meanwhile and its lease has expired.
func (p *prober) refused(ctx context.Context, e *Elector, s situation) bool {
	if s.now.Sub(p.last) < e.Settings.ProbeInterval {
		return false
	}
	p.last = s.now
	switch {
	case !e.ConnectionRefused(ctx, s.holder.Addr):
		p.refusedSince = time.Time{}
	case p.refusedSince.IsZero() || s.lastHeartbeat.After(p.refusedSince):
		p.refusedSince = s.now
	default:
		return s.now.Sub(s.lastHeartbeat) > e.Settings.RefusedTimeout && s.now.After(s.promisedUntil)
	}
	return false
}

// rowVersions are the versions of the rows that a decision to take over is based on.
type rowVersions struct{ holder, heartbeat, standbys int64 }

// versions returns the current versions. The caller holds the lock.
func (e *Elector) versions() rowVersions {
	return rowVersions{e.holderVersion, e.heartbeatVersion, e.standbys.version}
}

// reachesHolder reports whether the holder is known to be reachable.
func (e *Elector) reachesHolder() bool {
	return e.HolderReachable != nil && e.HolderReachable()
}

// holderSilent reports whether no heartbeat has been seen for longer than SilentTimeout, or
// CutTimeout if the holder does not answer hello messages, while the store was readable for
// as long. For a reserve it takes BlindTimeout, for any other instance OutsiderTimeout. The
// caller holds the lock.
func (e *Elector) holderSilent(now time.Time, standby bool) bool {
	timeout := e.Settings.OutsiderTimeout
	switch {
	case standby && e.HolderReachable != nil && !e.HolderReachable():
		timeout = e.Settings.CutTimeout
	case standby:
		timeout = e.Settings.SilentTimeout
	case e.isReserve():
		timeout = e.Settings.BlindTimeout
	}
	return !e.watchHealthySince.IsZero() && now.Sub(e.lastHeartbeat) > timeout && now.Sub(e.watchHealthySince) > min(timeout, e.Settings.SilentTimeout)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitClaimTurn waits so that instances better suited to hold the cell claim it first,
// longer if the cell never had a holder, since all instances are then starting. It
// reports whether the rows still have the given versions.
func (e *Elector) awaitClaimTurn(ctx context.Context, seen rowVersions) bool {
	delay := rand.N(maxClaimJitter)
	if e.ClaimDelay != nil {
		delay += e.ClaimDelay()
	}
	if seen.holder == 0 {
		delay *= firstClaimDelayFactor
	}
	monotonic.Sleep(ctx, delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions() == seen
}

// firstClaimDelayFactor multiplies the delay before the first claim of a cell.
const firstClaimDelayFactor = 5

// claim writes this instance into the holder row, provided that none of the rows has
// changed since the decision.
func (e *Elector) claim(ctx context.Context, seen rowVersions, termNumber int, previous previousTerm, reason string) {
	_ = e.Log.Log("event", "claim", "why", reason, "version", seen.holder, "round", termNumber)
	e.writeHolder(ctx, seen.holder, seen.standbys, Holder{Member: e.Self, TermNumber: termNumber, Earlier: e.earlierOfClaim(previous)},
		table.Op{Key: e.key(HeartbeatRow), IfVersion: seen.heartbeat, CheckOnly: true})
}
