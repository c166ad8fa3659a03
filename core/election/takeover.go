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
func (k *Elector) takeOver(ctx context.Context) {
	lastProbe, refusedSince := time.Time{}, time.Time{}
	for ctx.Err() == nil {
		monotonic.Sleep(ctx, takeoverCheckInterval)
		promisedUntil := k.PromisedUntil()
		now := k.Clock.Now()
		k.mu.Lock()
		ineligible := !k.loaded || k.leading || k.retired
		holder, version, heartbeatVersion, lastHeartbeat := k.holder, k.holderVersion, k.heartbeatVersion, k.lastHeartbeat
		silent := k.holderSilent(now) && now.After(promisedUntil)
		k.mu.Unlock()
		if ineligible {
			continue
		}
		reason := ""
		switch {
		case version == 0 || holder.Incarnation == "":
			reason = "the cell has no holder"
		case holder.Node == k.Self.Node:
			reason = "the holder was a previous incarnation of this instance"
		case silent:
			reason = "no heartbeat"
		case now.Sub(lastProbe) >= k.Settings.ProbeInterval:
			lastProbe = now
			switch {
			case !k.ConnectionRefused(ctx, holder.Addr):
				refusedSince = time.Time{}
			case refusedSince.IsZero() || lastHeartbeat.After(refusedSince):
				refusedSince = now
			case now.Sub(lastHeartbeat) > k.Settings.RefusedTimeout && now.After(promisedUntil):
				// A cut link may also refuse connections, so the holder may still be alive; but
				// its lease has expired.
				reason = "no heartbeat and connections to the holder are refused"
			}
		}
		if reason != "" && k.awaitClaimTurn(ctx, version, heartbeatVersion) {
			k.claim(ctx, version, heartbeatVersion, holder.TermNumber+1, reason)
		}
	}
}

// HeartbeatRecent reports whether a heartbeat of the holder was recently read from the
// store. If not, possibly no instance is able to take over.
func (k *Elector) HeartbeatRecent() bool {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.watchHealthySince.IsZero() && now.Sub(k.lastHeartbeat) < maxMissedHeartbeats*k.Settings.HeartbeatInterval+k.Settings.PollInterval
}

// maxMissedHeartbeats is the number of consecutive heartbeats that may be missing before
// the path through the store is considered broken.
const maxMissedHeartbeats = 3

// holderSilent reports whether no heartbeat has been seen for longer than SilentTimeout,
// while the store was readable for at least as long.
func (k *Elector) holderSilent(now time.Time) bool {
	return !k.watchHealthySince.IsZero() && now.Sub(k.lastHeartbeat) > k.Settings.SilentTimeout && now.Sub(k.watchHealthySince) > k.Settings.SilentTimeout
}

// awaitClaimTurn waits so that instances better suited to hold the cell claim it first,
// longer if the cell never had a holder, since all instances are then starting. It
// reports whether the holder row and the heartbeat row still have the given versions.
func (k *Elector) awaitClaimTurn(ctx context.Context, version, heartbeatVersion int64) bool {
	delay := rand.N(maxClaimJitter)
	if k.ClaimDelay != nil {
		delay += k.ClaimDelay()
	}
	if version == 0 {
		delay *= firstClaimDelayFactor
	}
	monotonic.Sleep(ctx, delay)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holderVersion == version && k.heartbeatVersion == heartbeatVersion
}

// firstClaimDelayFactor multiplies the delay before the first claim of a cell.
const firstClaimDelayFactor = 5

// claim writes this instance into the holder row, provided that neither that row nor the
// heartbeat row has changed since the decision.
func (k *Elector) claim(ctx context.Context, version, heartbeatVersion int64, termNumber int, reason string) {
	_ = k.Log.Log("event", "claim", "why", reason, "version", version, "round", termNumber)
	k.writeHolder(ctx, version, Holder{Member: k.Self, TermNumber: termNumber},
		table.Op{Key: k.key(HeartbeatRow), IfVersion: heartbeatVersion, CheckOnly: true})
}
