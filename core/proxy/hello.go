package proxy

import (
	"context"
	"time"

	"gypsumward/core/promise"
)

// handleHello records the hello message of a peer and returns the reply.
func (f *Proxy) handleHello(_ context.Context, hello promise.Hello) (promise.HelloReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.received.RecordHello(now, hello)
	if f.loop == nil {
		return promise.HelloReply{Incarnation: f.Self.Incarnation}, nil
	}
	if until, ok := f.received.Until(now); ok {
		f.loop.Renew(until)
	}
	return promise.HelloReply{Leading: true, Incarnation: f.Self.Incarnation, Timestamp: now.UnixNano()}, nil
}

// PromisedUntil returns the time until which this instance must not take over from a holder
// that may be alive.
func (f *Proxy) PromisedUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.granted.Until()
}

// sendHello sends a hello message to the holder and records its reply.
func (f *Proxy) sendHello(ctx context.Context) {
	h, version, self := f.Elector.Holder()
	if version == 0 || self || h.Addr == "" {
		return
	}
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	f.mu.Lock()
	hello := f.granted.NextHello(f.Self)
	f.mu.Unlock()
	hello.Cells = f.HeldCells()
	var reply promise.HelloReply
	if f.Client.Call(limited, h.Addr, f.method(methodHello), hello, &reply) != nil || !reply.Leading {
		f.Elector.Refresh()
		return
	}
	heartbeatMissing := !f.Elector.HeartbeatRecent()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.granted.RecordReply(f.Clock.Now(), reply, heartbeatMissing)
}
