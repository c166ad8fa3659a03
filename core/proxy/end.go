package proxy

import (
	"context"
	"time"

	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/monotonic"
)

// endReportTime is how long after this instance has learned of a later holder the end of its term is
// reported, also to holders that follow: a reserve hands the cell back as soon as a cut has ended.
const endReportTime = 5 * time.Second

// endReportRetry is the time between two attempts to reach a later holder.
const endReportRetry = 100 * time.Millisecond

// notifyEnd notifies the cell of l of the end of an earlier term.
func notifyEnd(l *eventloop.Loop, m handed) {
	switch {
	case m.Epoch == 0 || m.Epoch >= l.Term.Epoch:
	case l.Term.PreviousEpoch == m.Epoch:
		l.PreviousEnded(m.Occupied, m.Complete)
	default:
		l.FormerEnded(m.Epoch, m.Occupied)
	}
}

// reportEnd reports the end of the term of l to the later holders, which may have become so while this
// instance went on without knowing. From then on they need not wait for what it has left on runners that
// they do not know. A term that has ended by a fault is not reported, since its cell may be wrong.
func (p *Proxy) reportEnd(ctx context.Context, l *eventloop.Loop) {
	occupied, complete := l.Occupied()
	if l.Failed() {
		return
	}
	m := handed{l.Term.Epoch, occupied, complete}
	reported, until := l.Term.Epoch, time.Time{}
	for ctx.Err() == nil && (until.IsZero() || p.Clock.Now().Before(until)) {
		changed := p.Elector.Changed()
		if h, epoch, _ := p.Elector.Holder(); epoch > reported {
			if until.IsZero() {
				until = p.Clock.Now().Add(endReportTime)
			}
			if err := p.sendEnd(ctx, h, m); err != nil {
				monotonic.Sleep(ctx, endReportRetry)
				continue
			}
			_ = p.Log.Log("event", "reportedend", "to", h.Node, "epoch", m.Epoch, "runners", len(m.Occupied))
			reported = epoch
		}
		p.awaitChange(ctx, changed, until)
	}
}

// sendEnd sends the report m of the end of a term to the holder h.
func (p *Proxy) sendEnd(ctx context.Context, h election.Holder, m handed) error {
	if h.Incarnation == p.Self.Incarnation {
		if l := p.currentLoop(); l != nil {
			notifyEnd(l, m)
		}
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return p.Client.Call(limited, h.Addr, p.method(methodHolder), m, nil)
}

// awaitChange waits until the holder changes, a time passes, unless it is zero, or ctx ends.
func (p *Proxy) awaitChange(ctx context.Context, changed <-chan struct{}, until time.Time) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(until.Sub(p.Clock.Now()))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-changed:
	case <-timeout:
	case <-ctx.Done():
	}
}
