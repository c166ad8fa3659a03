package proxy

import (
	"context"
	"time"

	"gypsumward/core/eventloop"
	"gypsumward/core/locate"
	"gypsumward/core/work"
)

// cancelInterval is the time between two attempts to cancel a job that has rows but that its
// holder does not know, unless the holder changes.
const cancelInterval = 100 * time.Millisecond

// Cancel ends a job and waits until its end is stored, by one holder after the other, unless another
// cell has the job. The error is ErrNoHolder if the end may not be stored.
func (p *Proxy) Cancel(ctx context.Context, id string) (locate.Answer, error) {
	for {
		v, err := p.cancelOnce(ctx, id)
		switch {
		case ctx.Err() != nil && (err != nil || !v.Stored):
			return locate.Answer{}, ErrNoHolder
		case err != nil:
			return locate.Answer{}, err
		case v.To != "":
			return locate.Answer{To: v.To}, nil
		case v.Stored && v.State != work.Unknown:
			return locate.Answer{State: v.State, Known: true}, nil
		case v.Stored:
			// A job that is not in the rows has never been accepted; one that is has not ended.
			stored, err := p.readStored(ctx, id)
			if err == nil && stored.To == "" && (!stored.Known || stored.State.Ended()) {
				return stored, nil
			}
			if err != nil && ctx.Err() == nil {
				return locate.Answer{}, err
			}
		}
		p.Elector.Refresh()
		p.awaitHolder(ctx, cancelInterval)
		if ctx.Err() != nil {
			return locate.Answer{}, ErrNoHolder
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
