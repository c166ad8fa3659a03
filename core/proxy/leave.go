package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/cell"
	"gypsumward/core/eventloop"
	"gypsumward/core/peer"
)

// Bounds of the notices that a caller has left.
const (
	leaveRetryInterval = 50 * time.Millisecond
	leaveCheckInterval = 250 * time.Millisecond // between checks for a next holder, of a notice that one has taken
	maxLeaveNotices    = 2048                   // of one cell that are sent at a time; further ones are given up
)

const errTooManyNotices = errors.ConstError("too many notices are being sent")

// leaveNotice says that a caller no longer waits for the outcome of its submissions.
type leaveNotice struct {
	Name   string `json:"name"` // id of the job
	Caller string `json:"caller"`
	AgeMS  int64  `json:"age,omitempty"` // milliseconds since the caller left
}

// notifyLeave notifies the holder, without waiting for it, that a caller no longer waits. The
// notice is sent until a holder has taken it, and again to each next holder, until the client may
// have submitted the job elsewhere.
func (p *Proxy) notifyLeave(id, caller string) {
	if p.leaving.Add(1) > maxLeaveNotices {
		p.leaving.Add(-1)
		p.giveUpNotice(id, caller, errTooManyNotices)
		return
	}
	left := p.Clock.Now()
	go func() {
		defer p.leaving.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), p.resubmitAfter())
		defer cancel()
		p.sendNotice(ctx, leaveNotice{Name: id, Caller: caller}, left)
	}()
}

// resubmitAfter returns ResubmitAfter or its default.
func (p *Proxy) resubmitAfter() time.Duration {
	if p.ResubmitAfter > 0 {
		return p.ResubmitAfter
	}
	return cell.DefaultResubmitAfter
}

// sendNotice sends a notice of a caller that left at the given time to the holder, and to each next
// one, until ctx ends.
func (p *Proxy) sendNotice(ctx context.Context, notice leaveNotice, left time.Time) {
	taken := false
	takenBy := int64(0) // version of the row of the holder that has taken it last
	var err error
	for attempt := 1; ctx.Err() == nil; attempt++ {
		_, version, _ := p.Elector.Holder()
		if taken && version == takenBy {
			p.awaitHolder(ctx, leaveCheckInterval)
			continue
		}
		if p.holderLost() {
			p.awaitHolder(ctx, leaveRetryInterval)
			continue
		}
		notice.AgeMS = p.Clock.Now().Sub(left).Milliseconds()
		if err = p.callLeave(ctx, notice); err != nil {
			p.awaitHolder(ctx, leaveRetryInterval)
			continue
		}
		taken, takenBy = true, version
		_ = p.Log.Log("event", "leave", "job", notice.Name, "caller", notice.Caller, "attempt", attempt, "epoch", version)
	}
	if !taken {
		p.giveUpNotice(notice.Name, notice.Caller, err)
	}
}

// callLeave sends a notice to the holder once.
func (p *Proxy) callLeave(ctx context.Context, notice leaveNotice) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := p.callHolder(ctx, methodLeave, notice, nil, func(_ context.Context, l *eventloop.Loop) error {
		return takeNotice(l, notice)
	})
	return err
}

// giveUpNotice logs and counts a notice that no holder has taken.
func (p *Proxy) giveUpNotice(id, caller string, err error) {
	if p.Count != nil {
		p.Count("leave_lost", 1)
	}
	if err == nil {
		err = ErrNoHolder
	}
	_ = p.Log.Log("event", "leave", "job", id, "caller", caller, "err", err)
}

// handleLeave takes the notice of a peer if this instance is the holder.
func (p *Proxy) handleLeave(_ context.Context, notice leaveNotice) (struct{}, error) {
	l, err := p.localLoop()
	if err != nil {
		return struct{}{}, err
	}
	return struct{}{}, takeNotice(l, notice)
}

// takeNotice passes a notice to the cell, unless the term of l is over. An age out of range is
// limited to it.
func takeNotice(l *eventloop.Loop, notice leaveNotice) error {
	ago := time.Duration(min(max(notice.AgeMS, 0), maxAge.Milliseconds())) * time.Millisecond
	if !l.Leave(notice.Name, notice.Caller, ago) {
		return &peer.Fault{Ran: api.RanNot, Text: notHolderText}
	}
	return nil
}
