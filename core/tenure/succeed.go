package tenure

import (
	"context"
	"math/rand/v2"
	"time"

	"gypsumward/core/steady"
	"gypsumward/core/table"
)

// succeed becomes the holder when there is none.
func (k *Keeper) succeed(ctx context.Context) {
	probed, refused := time.Time{}, time.Time{}
	for ctx.Err() == nil {
		steady.Sleep(ctx, step)
		promised := k.Promised()
		now := k.Clock.Now()
		k.mu.Lock()
		idle := !k.known || k.leading || k.retired
		holder, version, beat, seen := k.holder, k.version, k.beatRow, k.seen
		stale := k.staleAt(now) && now.After(promised)
		k.mu.Unlock()
		if idle {
			continue
		}
		why := ""
		switch {
		case version == 0 || holder.Life == "":
			why = "there is none"
		case holder.Node == k.Self.Node:
			why = "it was a former life of this instance"
		case stale:
			why = "no sign of life"
		case now.Sub(probed) >= k.Settings.Probe:
			probed = now
			switch {
			case !k.Refuses(ctx, holder.Addr):
				refused = time.Time{}
			case refused.IsZero() || seen.After(refused):
				refused = now
			case now.Sub(seen) > k.Settings.Refused && now.After(promised):
				// A link that is cut may refuse too, so the holder may be alive. Its tenure is over.
				why = "nothing listens there and no sign of life"
			}
		}
		if why != "" && k.queue(ctx, version, beat) {
			k.claim(ctx, version, beat, holder.Round+1, why)
		}
	}
}

// BeatSeen reports whether the store lately showed a sign of life of the holder. If it
// did not, nobody may be able to replace the holder.
func (k *Keeper) BeatSeen() bool {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.healthy.IsZero() && now.Sub(k.seen) < beatsMissed*k.Settings.Beat+k.Settings.Rest
}

// beatsMissed is how many signs of life may be missing until the way by the store
// counts as broken.
const beatsMissed = 3

// staleAt reports whether the holder has given no sign of life for long.
func (k *Keeper) staleAt(now time.Time) bool {
	return !k.healthy.IsZero() && now.Sub(k.seen) > k.Settings.Stale && now.Sub(k.healthy) > k.Settings.Stale
}

// queue waits so that instances that are better placed claim first, for longer when
// there has been no holder yet and all instances start. It reports whether the rows of
// the holder and its beat are still of the versions given.
func (k *Keeper) queue(ctx context.Context, version, beat int64) bool {
	d := rand.N(jitter)
	if k.Delay != nil {
		d += k.Delay()
	}
	if version == 0 {
		d *= firstDelay
	}
	steady.Sleep(ctx, d)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version == version && k.beatRow == beat
}

// firstDelay is how many times longer the first claim of a cell waits.
const firstDelay = 5

// claim puts the own name if the row is still as it was and no sign of life has come
// since it was decided.
func (k *Keeper) claim(ctx context.Context, version, beat int64, round int, why string) {
	_ = k.Log.Log("event", "claim", "why", why, "version", version, "round", round)
	k.put(ctx, version, Holder{Member: k.Self, Round: round},
		table.Op{Key: k.key(BeatRow), If: beat, Check: true})
}
