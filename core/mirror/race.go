package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/attempt"
	"gypsumward/core/table"
)

const (
	// patience is the time without a byte after which the older of two calls is given up, so that a
	// store that answers within it is read, however slow it is.
	patience = 10 * time.Second
	// transferSize is the number of bytes from which a response is taken for one that arrives. A
	// shorter one may be an error.
	transferSize = 2 << 10
)

// errQuiet is the error of a call that receives nothing for the time-out.
const errQuiet = errors.ConstError("no response")

// reply is the result of a call.
type reply struct {
	call    *call
	rows    []table.Row
	whole   bool
	version int64       // from which to continue
	page    table.Found // of Page
	err     error
}

// call is a call in progress.
type call struct {
	attempt *attempt.Attempt
	cancel  context.CancelFunc
	due     time.Time // of a response without changes
	quiet   bool      // it was reported as quiet
}

// lastSign returns the time of the last byte, or the time from which on one is due.
func (c *call) lastSign() time.Time {
	if _, last := c.attempt.Received(); last.After(c.due) {
		return last
	}
	return c.due
}

// transfers reports whether a response arrives.
func (c *call) transfers() bool {
	received, _ := c.attempt.Received()
	return received >= transferSize
}

// race is one read of the rows. It makes a call and, whenever the newest call has received nothing
// for the time-out, another one on a new connection. The oldest call stays: it is answered if the
// store is slow, and one of the others soon after the store is back. Nothing is carried over from one
// read to the next, so that the length of an outage does not matter after its end.
type race struct {
	ctx     context.Context
	timeout time.Duration                                       // without a byte until another call is made
	perform func(ctx context.Context, wait time.Duration) reply // makes a call
	report  func(c *call, err error)                            // reports a call that failed or is quiet; may be nil
	calls   *sync.WaitGroup

	older   *call
	newer   *call // nil unless older is quiet
	replies chan reply
	signs   chan struct{}

	notBefore  time.Time // time of the next call, at the earliest
	retryDelay time.Duration
}

// run makes calls until one succeeds. The store may wait for changes in the first one, up to wait.
// Ok is false if the context ends first.
func (r *race) run(wait time.Duration) (got reply, ok bool) {
	if r.ctx.Err() != nil {
		return reply{}, false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.ctx, r.retryDelay = ctx, DefaultRetryDelay
	r.replies, r.signs = make(chan reply), make(chan struct{}, 1)
	r.older = r.start(wait, false)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(r.next()))
		select {
		case got = <-r.replies:
			if ctx.Err() == nil && r.handle(got) {
				return got, true
			}
		case <-r.signs:
			r.prefer()
		case <-timer.C:
			r.advance(time.Now())
		case <-ctx.Done():
			return reply{}, false
		}
	}
}

// start starts a call.
func (r *race) start(wait time.Duration, redial bool) *call {
	ctx, cancel := context.WithCancel(r.ctx)
	c := &call{cancel: cancel, due: time.Now().Add(wait), attempt: &attempt.Attempt{Redial: redial, OnReceive: r.notify}}
	r.calls.Go(func() {
		defer cancel()
		got := r.perform(c.attempt.WithContext(ctx), wait)
		got.call = c
		select {
		case r.replies <- got:
		case <-ctx.Done():
		}
	})
	return c
}

// tell reports a call that failed or is quiet.
func (r *race) tell(c *call, err error) {
	if r.report != nil {
		r.report(c, err)
	}
}

// notify makes the race look at the bytes that have arrived.
func (r *race) notify() {
	select {
	case r.signs <- struct{}{}:
	default:
	}
}

// newest returns the newest call, or nil if there is none.
func (r *race) newest() *call {
	if r.newer != nil {
		return r.newer
	}
	return r.older
}

// next returns when the next call is due if nothing arrives.
func (r *race) next() time.Time {
	if c := r.newest(); c != nil {
		if at := c.lastSign().Add(r.timeout); at.After(r.notBefore) {
			return at
		}
	}
	return r.notBefore
}

// advance starts the next call if it is due.
func (r *race) advance(now time.Time) {
	if now.Before(r.next()) {
		return
	}
	redial := r.newest() != nil
	if r.newer != nil {
		r.tell(r.newer, errQuiet)
		r.newer.cancel()
		r.newer = nil
	}
	if r.older != nil && !r.older.quiet {
		r.older.quiet = true
		r.tell(r.older, errQuiet)
	}
	if r.older != nil && now.Sub(r.older.lastSign()) >= patience {
		r.older.cancel()
		r.older = nil
	}
	c := r.start(0, redial)
	if r.older == nil {
		r.older = c
	} else {
		r.newer = c
	}
}

// prefer ends one of two calls as soon as the response to the other arrives, so that they do not
// share the link.
func (r *race) prefer() {
	switch {
	case r.newer == nil:
	case r.newer.transfers():
		r.older.cancel()
		r.older, r.newer = r.newer, nil
	case r.older.transfers() && r.older.lastSign().After(r.newer.due):
		r.newer.cancel()
		r.newer = nil
	}
}

// handle handles a reply and reports whether it ends the read.
func (r *race) handle(got reply) bool {
	switch got.call {
	case r.older:
		r.older, r.newer = r.newer, nil
	case r.newer:
		r.newer = nil
	default:
		return false
	}
	if got.err == nil {
		return true
	}
	r.tell(got.call, got.err)
	r.notBefore = time.Now().Add(r.retryDelay)
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	return false
}
