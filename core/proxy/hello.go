package proxy

import (
	"context"
	"time"

	"gypsumward/core/promise"
)

// handleHello records the hello message of a peer and returns the reply.
func (p *Proxy) handleHello(_ context.Context, hello promise.Hello) (promise.HelloReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.received.RecordHello(now, hello)
	if p.loop == nil {
		return promise.HelloReply{Incarnation: p.Self.Incarnation}, nil
	}
	if until, ok := p.received.Until(now); ok {
		p.loop.Renew(until)
	}
	return promise.HelloReply{Leading: true, Incarnation: p.Self.Incarnation, Timestamp: now.UnixNano()}, nil
}

// PromisedUntil returns the time until which this instance must not take over from a holder
// that may be alive.
func (p *Proxy) PromisedUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.granted.Until()
}

// sendHello sends a hello message to the holder and records its reply.
func (p *Proxy) sendHello(ctx context.Context) {
	h, version, self := p.Elector.Holder()
	if version == 0 || self || h.Addr == "" {
		return
	}
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	p.mu.Lock()
	hello := p.granted.NextHello(p.Self)
	p.mu.Unlock()
	hello.Cells = p.HeldCells()
	var reply promise.HelloReply
	if p.Client.Call(limited, h.Addr, p.method(methodHello), hello, &reply) != nil || !reply.Leading {
		p.Elector.Refresh()
		return
	}
	heartbeatMissing := !p.Elector.HeartbeatRecent()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted.RecordReply(p.Clock.Now(), reply, heartbeatMissing)
}
