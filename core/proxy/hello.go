package proxy

import (
	"context"
	"slices"
	"time"

	"gypsumward/core/promise"
	"gypsumward/core/span"
)

// handleHello records the hello message of a peer and returns the reply.
func (p *Proxy) handleHello(_ context.Context, hello promise.Hello) (promise.HelloReply, error) {
	standbys, known := p.Elector.Standbys()
	limit := p.Elector.ExtensionLimit()
	heartbeat, version, age := p.Elector.LastHeartbeat()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.received.RecordHello(now, hello)
	if p.loop == nil {
		return promise.HelloReply{Incarnation: p.Self.Incarnation}, nil
	}
	if until, ok := p.received.Until(now, standbys, known); ok {
		if limit.Before(until) {
			until = limit
		}
		p.loop.Renew(until)
	}
	return promise.HelloReply{
		Leading: true, Incarnation: p.Self.Incarnation, Timestamp: now.UnixNano(), HeartbeatAge: span.Of(age),
		Heartbeat: heartbeat, HeartbeatVersion: version,
	}, nil
}

// PromisedUntil returns the time until which this instance must not take over from a holder
// that may be alive.
func (p *Proxy) PromisedUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.granted.Until()
}

// ExchangeHellos sends hello messages to the holder until ctx ends.
func (p *Proxy) ExchangeHellos(ctx context.Context) {
	p.setExchanging(true)
	defer p.setExchanging(false)
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		p.sendHello(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Proxy) setExchanging(exchanging bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchanging = exchanging
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
	hello.Cells, hello.StandbyOnly = p.HeldCells(), true
	late := time.AfterFunc(helloPatience, p.Elector.Refresh)
	defer late.Stop()
	var reply promise.HelloReply
	if p.Client.Call(limited, h.Addr, p.method(methodHello), hello, &reply) != nil || !reply.Leading {
		p.Elector.Refresh()
		return
	}
	p.recordCall(true)
	p.Elector.ReportHeartbeat(reply.Heartbeat, reply.HeartbeatVersion, reply.Timestamp)
	p.Elector.Promise(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.granted.RecordReply(p.Clock.Now(), reply)
	})
}

// Leave notifies the holder that this instance shuts down and must not become the holder,
// and promises it for as long as possible not to take over. The elector must have stopped
// claiming.
func (p *Proxy) Leave(ctx context.Context) {
	p.mu.Lock()
	p.granted.Leave()
	exchanging := p.exchanging
	p.mu.Unlock()
	p.Elector.Promise(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.granted.Extend()
	})
	if exchanging {
		p.sendHello(ctx)
	}
}

// SilentStandbys returns the standbys of this instance from which no hello message was
// received within the given time.
func (p *Proxy) SilentStandbys(within time.Duration) []string {
	standbys, _ := p.Elector.Standbys()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	return slices.DeleteFunc(slices.Clone(standbys), func(node string) bool { return p.received.Heard(now, node, within) })
}

// release is the message of a holder that has ended its term by itself.
type release struct {
	Epoch int64 `json:"epoch"`
}

// AnnounceHolder notifies an instance that the row of the holder names it.
func (p *Proxy) AnnounceHolder(ctx context.Context, addr string) error {
	return p.Client.Call(ctx, addr, p.method(methodHolder), struct{}{}, nil)
}

// AnnounceRelease notifies the peers that recently sent a hello message that the holder of
// an epoch, which was this instance, has ended its term, so that a standby takes over.
func (p *Proxy) AnnounceRelease(ctx context.Context, epoch int64) {
	p.mu.Lock()
	peers := p.received.Recent(p.Clock.Now(), helloTimeout)
	p.mu.Unlock()
	for _, m := range peers {
		err := p.Client.Call(ctx, m.Addr, p.method(methodRelease), release{epoch}, nil)
		_ = p.Log.Log("event", "released", "to", m.Node, "epoch", epoch, "err", err)
	}
}
