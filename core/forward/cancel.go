package forward

import (
	"context"

	"gypsumward/core/api"
)

// Cancel ends a request that has not been sent, and returns a refusal which states
// that it did not run. A request that has been sent continues: Cancel then waits
// for its answer until ctx ends, like Answer.
func (f *Forwarder) Cancel(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal) {
	c := f.lookup(k)
	if c == nil {
		return f.awaitRemote(ctx, k)
	}
	f.post(cancelMessage{call: c})
	return f.await(ctx, c)
}

// cancelMessage asks the loop to end a request that is queued and has not run.
type cancelMessage struct {
	call *call
}

func (m cancelMessage) apply(f *Forwarder) {
	if m.call.stage == stageQueued && m.call.ran == api.RanNot {
		f.refuse(m.call, refusal(api.ReasonCancelled, "the caller cancelled the request", api.RanNot))
	}
}
