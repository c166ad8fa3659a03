package proxy

import (
	"context"
	"time"

	"gypsumward/core/eventloop"
	"gypsumward/core/work"
)

// cancelInterval is the time between two attempts to cancel a job that has rows but that its
// holder does not know, unless the holder changes.
const cancelInterval = 100 * time.Millisecond

// Cancel ends a job and waits until its end is stored, by one holder after the other. Known is
// false if there is no such job. The error is ErrNoHolder if the end may not be stored.
func (p *Proxy) Cancel(ctx context.Context, id string) (state work.State, known bool, err error) {
	for {
		v, err := p.cancelOnce(ctx, id)
		switch {
		case ctx.Err() != nil && (err != nil || !v.Stored):
			return work.Unknown, false, ErrNoHolder
		case err != nil:
			return work.Unknown, false, err
		case v.Stored && v.State != work.Unknown:
			return v.State, true, nil
		case v.Stored:
			// A job that is not in the rows has never been accepted; one that is has not ended.
			state, known, err := p.readStoredState(ctx, id)
			if err == nil && (!known || state.Ended()) {
				return state, known, nil
			}
			if err != nil && ctx.Err() == nil {
				return work.Unknown, false, err
			}
		}
		p.Elector.Refresh()
		p.awaitHolder(ctx, cancelInterval)
		if ctx.Err() != nil {
			return work.Unknown, false, ErrNoHolder
		}
	}
}

// cancelOnce cancels a job at the holder.
func (p *Proxy) cancelOnce(ctx context.Context, id string) (v eventloop.Cancelled, err error) {
	err = p.callHolderRetrying(ctx, methodCancel, query{id}, &v, func(ctx context.Context, l *eventloop.Loop) error {
		var err error
		v, err = l.Cancel(ctx, id)
		return err
	})
	return v, err
}
