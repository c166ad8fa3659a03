package proxy

import (
	"context"
	"slices"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/eventloop"
	"gypsumward/core/promise"
	"gypsumward/core/span"
)

// handleHello records the hello message of a peer and returns the reply.
func (p *Proxy) handleHello(_ context.Context, hello promise.Hello) (promise.HelloReply, error) {
	standbys, known := p.Elector.Standbys()
	reserves := p.Elector.Reserves()
	limit, storedLimit := p.Elector.ExtensionLimit(), p.Elector.StoredLimit()
	heartbeat, version, age := p.Elector.LastHeartbeat()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.received.RecordHello(now, hello)
	if p.loop == nil {
		return promise.HelloReply{Incarnation: p.Self.Incarnation}, nil
	}
	if until, ok := p.received.Until(now, standbys, known); ok {
		if known {
			p.loop.RenewOrders(until)
		}
		p.loop.Renew(p.received.StoredUntil(until, reserves, storedLimit, limit))
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
	sent := p.Clock.Now()
	if p.Client.Call(limited, h.Addr, p.method(methodHello), hello, &reply) != nil || !reply.Leading {
		p.Elector.Refresh()
		return
	}
	p.recordCall(version, true)
	p.Elector.ReportHeartbeat(reply.Heartbeat, reply.HeartbeatVersion, reply.Timestamp)
	p.Elector.Promise(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.holderAlive = sent
		p.granted.RecordReply(p.Clock.Now(), reply)
	})
}

// Leave notifies the holder, with this hello message and all further ones, that this instance
// shuts down and must not become the holder. The elector must have stopped claiming.
func (p *Proxy) Leave(ctx context.Context) {
	p.mu.Lock()
	p.granted.Leave()
	exchanging := p.exchanging
	p.mu.Unlock()
	if exchanging {
		p.sendHello(ctx)
	}
}

// standbysAndReserves returns the nodes that may take over from this instance.
func (p *Proxy) standbysAndReserves() []string {
	standbys, _ := p.Elector.Standbys()
	return append(standbys, p.Elector.Reserves()...)
}

// LeavingStandbys returns the standbys and reserves of this instance that shut down.
func (p *Proxy) LeavingStandbys() []string {
	standbys := p.standbysAndReserves()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(standbys), func(node string) bool { return !p.received.Leaving(node) })
}

// SilentStandbys returns the standbys and reserves of this instance from which no hello message was
// received within the given time.
func (p *Proxy) SilentStandbys(within time.Duration) []string {
	standbys := p.standbysAndReserves()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	return slices.DeleteFunc(slices.Clone(standbys), func(node string) bool { return p.received.Heard(now, node, within) })
}

// release is the message of a holder that has ended its term by itself.
type release struct {
	Epoch int64 `json:"epoch"`
}

// handed is the message of a holder whose term has ended to the one that holds the cell now.
type handed struct {
	Epoch    int64             `json:"epoch,omitempty"` // of the term that has ended
	Occupied []cell.RunnerInfo `json:"list,omitempty"`  // runners that may have runs
	Complete bool              `json:"whole,omitempty"` // there are no others
}

// AnnounceHolder notifies an instance that the row of the holder names it, that the term of l,
// of this instance, has ended, and of the runners on which it may have runs.
func (p *Proxy) AnnounceHolder(ctx context.Context, addr string, l *eventloop.Loop) error {
	occupied, complete := l.Occupied()
	return p.Client.Call(ctx, addr, p.method(methodHolder), handed{l.Term.Epoch, occupied, complete}, nil)
}

// handleHanded looks whether the row of the holder names this instance, since the message
// itself proves nothing, and notifies the cell of the end of the term, of the previous holder or an
// earlier one.
func (p *Proxy) handleHanded(ctx context.Context, m handed) (struct{}, error) {
	err := p.Elector.Lookup(ctx)
	if l := p.currentLoop(); l != nil {
		notifyEnd(l, m)
	}
	return struct{}{}, err
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
