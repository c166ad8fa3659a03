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
	lastProbe, refusedSince := time.Time{}, time.Time{}
	for ctx.Err() == nil {
		monotonic.Sleep(ctx, takeoverCheckInterval)
		promisedUntil := e.PromisedUntil()
		now := e.Clock.Now()
		e.mu.Lock()
		ineligible := !e.loaded || e.leading || e.retired
		holder, lastHeartbeat := e.holder, e.lastHeartbeat
		seen := e.versions()
		standby := e.isStandby()
		released := e.releasedEpoch == seen.holder
		silent := e.holderSilent(now, standby) && now.After(promisedUntil)
		e.mu.Unlock()
		if ineligible {
			continue
		}
		reason := ""
		switch {
		case seen.holder == 0 || holder.Incarnation == "":
			reason = "the cell has no holder"
		case holder.Node == e.Self.Node:
			reason = "the holder was a previous incarnation of this instance"
		case released && standby:
			reason = "the holder has given the cell up"
		case silent:
			reason = "no heartbeat"
		case standby && !e.reachesHolder() && now.Sub(lastProbe) >= e.Settings.ProbeInterval:
			lastProbe = now
			switch {
			case !e.ConnectionRefused(ctx, holder.Addr):
				refusedSince = time.Time{}
			case refusedSince.IsZero() || lastHeartbeat.After(refusedSince):
				refusedSince = now
			case now.Sub(lastHeartbeat) > e.Settings.RefusedTimeout && now.After(promisedUntil):
				// A cut link may also refuse connections, so the holder may still be alive; but
				// its lease has expired.
				reason = "no heartbeat and connections to the holder are refused"
			}
		}
		if reason != "" && e.awaitClaimTurn(ctx, seen) && e.beginClaim(seen) {
			previousEnd := time.Time{}
			if seen.holder != 0 {
				// If no heartbeat was written since lastHeartbeat, the lease ended by then.
				previousEnd = latest(lastHeartbeat.Add(e.Settings.LeaseDuration), promisedUntil)
			}
			e.claim(ctx, seen, holder.TermNumber+1, previousEnd, reason)
		}
	}
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
// as long. For an instance that is no standby it takes OutsiderTimeout. The caller holds
// the lock.
func (e *Elector) holderSilent(now time.Time, standby bool) bool {
	timeout := e.Settings.OutsiderTimeout
	switch {
	case standby && e.HolderReachable != nil && !e.HolderReachable():
		timeout = e.Settings.CutTimeout
	case standby:
		timeout = e.Settings.SilentTimeout
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
func (e *Elector) claim(ctx context.Context, seen rowVersions, termNumber int, previousEnd time.Time, reason string) {
	_ = e.Log.Log("event", "claim", "why", reason, "version", seen.holder, "round", termNumber)
	e.writeHolder(ctx, seen.holder, seen.standbys, Holder{Member: e.Self, TermNumber: termNumber}, previousEnd,
		table.Op{Key: e.key(HeartbeatRow), IfVersion: seen.heartbeat, CheckOnly: true})
}
