package forward

import (
	"context"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/claim"
)

// await waits for the end of c until ctx ends and returns its result, which it
// requests from the owner if another instance owns the id. The answer is open if
// ctx ends before c.
func (f *Forwarder) await(ctx context.Context, c *call) (*api.Answer, *api.Refusal) {
	select {
	case <-c.finished:
	case <-ctx.Done():
		a := c.openAnswer()
		return &a, nil
	case <-f.closed:
		return nil, refusal(api.ReasonStopping, "the instance stopped", api.RanUnknown)
	}
	switch {
	case c.result.ownedElsewhere:
		return f.awaitRemote(ctx, c.key)
	case c.result.refusal != nil:
		return nil, c.result.refusal
	}
	return &c.result.answer, nil
}

// Answer waits for the answer to a request with an id until ctx ends, whichever
// instance owns the request. Exactly one of the results is not nil.
func (f *Forwarder) Answer(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal) {
	if c := f.lookup(k); c != nil {
		return f.await(ctx, c)
	}
	return f.awaitRemote(ctx, k)
}

// LocalAnswer waits like Answer, but only for a request that this instance owns. It
// reports false if this instance does not own the request, or if the request
// ended without an outcome.
func (f *Forwarder) LocalAnswer(ctx context.Context, k api.Key) (api.Answer, bool) {
	c := f.lookup(k)
	if c == nil {
		return api.Answer{}, false
	}
	select {
	case <-c.finished:
	case <-ctx.Done():
		return c.openAnswer(), true
	case <-f.closed:
		return api.Answer{}, false
	}
	return c.result.answer, c.result.answer.Final()
}

// lookup returns the call with the given key, or nil if there is none or it can be
// restarted.
func (f *Forwarder) lookup(k api.Key) *call {
	reply := make(chan *call, 1)
	if !f.post(lookupMessage{key: k, reply: reply}) {
		return nil
	}
	select {
	case c := <-reply:
		return c
	case <-f.closed:
		return nil
	}
}

// lookupMessage asks the loop for the call with a key.
type lookupMessage struct {
	key   api.Key
	reply chan *call
}

func (m lookupMessage) apply(f *Forwarder) {
	c := f.calls[m.key]
	if c != nil && c.isRestartable() {
		c = nil
	}
	m.reply <- c
}

// awaitRemote waits until ctx ends for the answer to a request that another
// instance owns. It polls the claim row and queries the owner. If the owner has no
// outcome, or cannot be reached and has recorded none, the outcome is unknown and
// remains so.
func (f *Forwarder) awaitRemote(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal) {
	unreachable := 0
	for {
		limited, cancel := clockwork.WithTimeout(ctx, f.Clock, f.Settings.StoreTimeout)
		row, found, err := claim.Read(limited, f.Table, claim.RequestKey(k))
		cancel()
		switch {
		case err == nil && (!found || row.ReleasedNotRun):
			return nil, refusal(api.ReasonMissing, "no request "+k.ID+" of team "+k.Team, api.RanNot)
		case err == nil && row.Final():
			if a, ok := row.LoadAnswer(ctx, f.Objects); ok {
				return a, nil
			}
		case err == nil:
			a, held, reached := f.queryOwner(ctx, row, k)
			if held && a.Final() {
				return &a, nil
			}
			if !held && (reached || unreachable >= maxUnreachablePolls) {
				return nil, refusal(api.ReasonOwner, "the instance that sent the request has no outcome of it", api.RanUnknown)
			}
			if !reached {
				unreachable++
			}
		}
		select {
		case <-f.Clock.After(f.Settings.PollInterval):
		case <-ctx.Done():
			return nil, refusal(api.ReasonOwner, "the instance that sent the request did not answer in time", api.RanUnknown)
		}
	}
}

// maxUnreachablePolls is the number of polls without a response after which the
// owner of a request counts as failed.
const maxUnreachablePolls = 10

// queryOwner asks the owner of the claim row for the answer to a request. The
// result held reports whether the owner holds the request, and reached whether the
// owner responded.
func (f *Forwarder) queryOwner(ctx context.Context, row claim.Row, k api.Key) (a api.Answer, held, reached bool) {
	if row.Owner == f.ID {
		return api.Answer{}, false, true
	}
	a, held, err := f.Peers.Request(ctx, row.Owner, k, f.Settings.StoreTimeout)
	return a, held && err == nil, err == nil
}
