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
		holder, version, heartbeatVersion, lastHeartbeat := e.holder, e.holderVersion, e.heartbeatVersion, e.lastHeartbeat
		silent := e.holderSilent(now) && now.After(promisedUntil)
		e.mu.Unlock()
		if ineligible {
			continue
		}
		reason := ""
		switch {
		case version == 0 || holder.Incarnation == "":
			reason = "the cell has no holder"
		case holder.Node == e.Self.Node:
			reason = "the holder was a previous incarnation of this instance"
		case silent:
			reason = "no heartbeat"
		case now.Sub(lastProbe) >= e.Settings.ProbeInterval:
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
		if reason != "" && e.awaitClaimTurn(ctx, version, heartbeatVersion) {
			e.claim(ctx, version, heartbeatVersion, holder.TermNumber+1, reason)
		}
	}
}

// HeartbeatRecent reports whether a heartbeat of the holder was recently read from the
// store. If not, possibly no instance is able to take over.
func (e *Elector) HeartbeatRecent() bool {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.watchHealthySince.IsZero() && now.Sub(e.lastHeartbeat) < maxMissedHeartbeats*e.Settings.HeartbeatInterval+e.Settings.PollInterval
}

// maxMissedHeartbeats is the number of consecutive heartbeats that may be missing before
// the path through the store is considered broken.
const maxMissedHeartbeats = 3

// holderSilent reports whether no heartbeat has been seen for longer than SilentTimeout,
// while the store was readable for at least as long.
func (e *Elector) holderSilent(now time.Time) bool {
	return !e.watchHealthySince.IsZero() && now.Sub(e.lastHeartbeat) > e.Settings.SilentTimeout && now.Sub(e.watchHealthySince) > e.Settings.SilentTimeout
}

// awaitClaimTurn waits so that instances better suited to hold the cell claim it first,
// longer if the cell never had a holder, since all instances are then starting. It
// reports whether the holder row and the heartbeat row still have the given versions.
func (e *Elector) awaitClaimTurn(ctx context.Context, version, heartbeatVersion int64) bool {
	delay := rand.N(maxClaimJitter)
	if e.ClaimDelay != nil {
		delay += e.ClaimDelay()
	}
	if version == 0 {
		delay *= firstClaimDelayFactor
	}
	monotonic.Sleep(ctx, delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holderVersion == version && e.heartbeatVersion == heartbeatVersion
}

// firstClaimDelayFactor multiplies the delay before the first claim of a cell.
const firstClaimDelayFactor = 5

// claim writes this instance into the holder row, provided that neither that row nor the
// heartbeat row has changed since the decision.
func (e *Elector) claim(ctx context.Context, version, heartbeatVersion int64, termNumber int, reason string) {
	_ = e.Log.Log("event", "claim", "why", reason, "version", version, "round", termNumber)
	e.writeHolder(ctx, version, Holder{Member: e.Self, TermNumber: termNumber},
		table.Op{Key: e.key(HeartbeatRow), IfVersion: heartbeatVersion, CheckOnly: true})
}
