package front

import (
	"context"
	"time"

	"gypsumward/core/promise"
)

// hello answers the greeting of a peer.
func (f *Front) hello(_ context.Context, g promise.Greeting) (promise.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.ledger.Take(now, g)
	if f.lead == nil {
		return promise.Answer{Life: f.Self.Life}, nil
	}
	if until, ok := f.ledger.Until(now); ok {
		f.lead.Renew(until)
	}
	return promise.Answer{Leading: true, Life: f.Self.Life, Stamp: now.UnixNano()}, nil
}

// Promised returns until when this instance does not replace a holder that may be
// alive.
func (f *Front) Promised() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.given.Until()
}

// greet greets the holder and takes its answer.
func (f *Front) greet(ctx context.Context) {
	h, version, self := f.Keeper.Holder()
	if version == 0 || self || h.Addr == "" {
		return
	}
	limited, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	f.mu.Lock()
	g := f.given.Greeting(f.Self)
	f.mu.Unlock()
	g.Cells = f.Cells()
	var a promise.Answer
	if f.Client.Call(limited, h.Addr, f.method(methodHello), g, &a) != nil || !a.Leading {
		f.Keeper.Look()
		return
	}
	dark := !f.Keeper.BeatSeen()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given.Take(f.Clock.Now(), a, dark)
}
