package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/detach"
	"gypsumward/core/event"
	"gypsumward/core/span"
)

// defaultRetryAfter is the time after which callers are advised to resubmit a
// request that was refused as not run.
const defaultRetryAfter = 500 * span.Millisecond

// Send serves a request, which must be valid, and waits for its answer until ctx
// ends. If a request with the same id and content is known, Send waits for the
// answer to that one. Exactly one of the results is not nil. The answer is open if
// ctx ends before a request that this instance owns.
func (f *Forwarder) Send(ctx context.Context, spec api.Request) (*api.Answer, *api.Refusal) {
	reply := make(chan *call, 1)
	if !f.post(submitMessage{spec: spec, digest: digest(spec), reply: reply}) {
		return nil, refusal(api.ReasonStopping, "the instance is shutting down", api.RanNot)
	}
	select {
	case c := <-reply:
		return f.await(ctx, c)
	case <-f.closed:
		return nil, refusal(api.ReasonStopping, "the instance stopped", api.RanUnknown)
	}
}

// submitMessage asks the loop to accept a request. The reply is the call to wait
// for, which may belong to an earlier submission.
type submitMessage struct {
	spec   api.Request
	digest string
	reply  chan *call
}

// apply replies with the known call of the same id and content, if there is one.
// Otherwise it creates a call, which is refused, queued if it is repeatable, or
// claimed first.
func (m submitMessage) apply(f *Forwarder) {
	now := f.Clock.Now()
	c := &call{
		key:    api.Key{Team: m.spec.Team, ID: m.spec.ID},
		spec:   m.spec,
		digest: m.digest, ran: api.RanNot,
		accepted: now, deadline: now.Add(m.spec.Deadline.Duration()),
		finished: make(chan struct{}),
	}
	defer func() { m.reply <- c }()
	if m.spec.ID != "" {
		if known := f.calls[c.key]; known != nil && !known.isRestartable() {
			if known.digest == m.digest {
				c = known
				return
			}
			f.openCalls++
			f.end(c, result{refusal: conflictRefusal(c.key)})
			return
		}
	} else {
		f.serial++
		c.key.ID = "-" + strconv.FormatInt(f.serial, 10)
	}
	f.openCalls++
	f.countDemand(m.spec)
	if reason, detail := f.rejection(c); reason != "" {
		f.end(c, result{refusal: refusal(reason, detail, api.RanNot)})
		return
	}
	f.logEvent(event.Received, c, "", "")
	if m.spec.ID != "" {
		f.calls[c.key] = c
	}
	if m.spec.Repeatable {
		f.enqueue(c)
		return
	}
	c.row = f.newClaimRow(c)
	f.submitClaim(c, c.row, 0)
}

// isRestartable reports whether a new submission of the same id is processed as a
// new request. This is so if c certainly did not run or another instance owns it.
func (c *call) isRestartable() bool {
	return c.stage == stageEnded && (c.result.ownedElsewhere || c.result.refusal != nil && c.result.refusal.Ran == api.RanNot)
}

// rejection returns the reason and detail for which c cannot be accepted now. The
// reason is empty if c can be accepted.
func (f *Forwarder) rejection(c *call) (api.Reason, string) {
	switch {
	case f.drained != nil:
		return api.ReasonStopping, "the instance is shutting down"
	case f.openCalls > f.Settings.MaxOpen:
		return api.ReasonFull, "too many requests are open"
	case !c.spec.Repeatable && f.Committer.IsDown():
		return api.ReasonStore, "the table service does not answer"
	}
	return "", ""
}

// submitClaim writes the claim row of c in the background, on condition that the
// stored row has the given version; version 0 means that there is none.
func (f *Forwarder) submitClaim(c *call, row claim.Row, version int64) {
	go func() {
		select {
		case o := <-f.Committer.Submit(claim.Claim(row, version)):
			f.post(claimResult{call: c, row: row, outcome: o})
		case <-f.closed:
		}
	}()
}

// claimResult reports the outcome of writing a claim row.
type claimResult struct {
	call    *call
	row     claim.Row
	outcome commit.Outcome
}

// apply queues the call if its claim row is written before the deadline. It ends the
// call if the store is unreachable, and resolves a conflict with an existing row.
func (m claimResult) apply(f *Forwarder) {
	c := m.call
	switch m.outcome.Result {
	case commit.Written:
		c.row, c.version, c.claimed = m.row, m.outcome.Version, true
		f.logEvent(event.Claimed, c, "", "")
		if !f.Clock.Now().Before(c.deadline) {
			f.refuse(c, refusal(api.ReasonDeadline, "the claim was answered too late", c.ran))
			return
		}
		f.enqueue(c)
	case commit.Conflict:
		f.resolveConflict(c, m)
	case commit.NotWritten, commit.Unresolved:
		f.end(c, result{refusal: refusal(api.ReasonStore, "the table service does not answer", api.RanNot)})
	}
}

// resolveConflict handles a claim whose row exists already. A row that was
// released is claimed anew at the next epoch.
func (f *Forwarder) resolveConflict(c *call, m claimResult) {
	existing := m.outcome.Row(m.row.Key)
	row, err := claim.Decode(existing)
	switch {
	case err != nil:
		f.end(c, result{refusal: refusal(api.ReasonStore, err.Error(), api.RanUnknown)})
	case row.Digest != m.row.Digest:
		f.end(c, result{refusal: conflictRefusal(c.key)})
	case row.ReleasedNotRun:
		next := m.row
		next.Epoch, next.Nonce = row.Epoch+1, f.Nonce()
		f.submitClaim(c, next, existing.Version)
	default:
		f.end(c, result{ownedElsewhere: true})
	}
}

// finish ends c with the answer a, and records it in the background if c is
// claimed.
func (f *Forwarder) finish(c *call, a api.Answer) {
	a.Elapsed = span.Of(f.Clock.Since(c.accepted))
	if c.claimed {
		f.record(c, a)
	}
	f.end(c, result{answer: a})
}

// record writes the outcome of a claimed request in the background. An answer of
// more than claim.MaxInline bytes goes to the object store, before the row that
// refers to it is written.
func (f *Forwarder) record(c *call, a api.Answer) {
	value, err := json.Marshal(a)
	if err != nil {
		panic("forward: cannot encode answer: " + err.Error())
	}
	row, version := c.row, c.version
	row.Nonce, row.State = f.Nonce(), a.State
	f.recording.Add(1)
	go func() {
		defer f.recording.Add(-1)
		if len(value) <= claim.MaxInline {
			row.Answer = value
		} else {
			row.ObjectKey = "answer/" + row.Nonce
			if !claim.PutWithRetry(f.Clock, f.Objects, row.ObjectKey, value, f.Settings.StoreTimeout, f.closed) {
				return
			}
		}
		select {
		case <-f.Committer.Submit(claim.Finish(row, version)):
		case <-f.closed:
		}
	}()
}

// refuse ends c with a refusal. If c certainly did not run, its claim row is
// released first, so that the id can be used again.
func (f *Forwarder) refuse(c *call, r *api.Refusal) {
	if c.claimed && c.ran == api.RanNot {
		row := c.row
		row.Nonce, row.ReleasedNotRun = f.Nonce(), true
		c.stage = stageReleasing
		version := c.version
		go func() {
			ctx, cancel := detach.WithTimeout(f.Clock, f.Settings.StoreTimeout)
			defer cancel()
			select {
			case <-f.Committer.Submit(claim.Release(row, version)):
			case <-ctx.Done():
			case <-f.closed:
			}
			f.post(releaseResult{call: c, result: result{refusal: r}})
		}()
		return
	}
	f.end(c, result{refusal: r})
}

// releaseResult ends a call after the attempt to release its claim row.
type releaseResult struct {
	call   *call
	result result
}

func (m releaseResult) apply(f *Forwarder) {
	f.end(m.call, m.result)
}

// end sets the result of c and notifies all callers that wait for it. It has no
// effect if c has ended before.
func (f *Forwarder) end(c *call, e result) {
	if c.stage == stageEnded {
		return
	}
	c.stage, c.result, c.ended = stageEnded, e, f.Clock.Now()
	c.spec.Input = nil
	f.openCalls--
	close(c.finished)
	if f.calls[c.key] == c {
		f.retained = append(f.retained, c)
	}
	if len(f.retained) > f.Settings.MaxOpen {
		f.forgetOldest()
	}
	f.checkDrain()
}

// refusal returns a refusal. It advises to resubmit after defaultRetryAfter if the
// request did not run and a later submission may be accepted.
func refusal(reason api.Reason, detail string, ran api.RunStatus) *api.Refusal {
	r := &api.Refusal{Reason: reason, Detail: detail, Ran: ran}
	if ran == api.RanNot && reason != api.ReasonMissing && reason != api.ReasonConflict {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}

// conflictRefusal returns the refusal of an id that was used for other content.
func conflictRefusal(k api.Key) *api.Refusal {
	return refusal(api.ReasonConflict, "id "+k.ID+" was sent before with other content", api.RanNot)
}

// digest returns the hex form of a hash of the request without its deadline, or
// an empty string if the request cannot be encoded.
func digest(spec api.Request) string {
	spec.Deadline = 0
	value, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:16])
}
