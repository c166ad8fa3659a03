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

// retrySoon is when callers should try again after most refusals.
const retrySoon = 500 * span.Millisecond

// Send serves a request that was checked before, or attaches to it if its id was
// sent already, and waits for its answer until ctx ends. Exactly one of the
// results is set.
func (f *Forwarder) Send(ctx context.Context, spec api.Request) (*api.Answer, *api.Refusal) {
	reply := make(chan *call, 1)
	if !f.post(submit{spec: spec, digest: digest(spec), reply: reply}) {
		return nil, refusal(api.ReasonStopping, "the instance is shutting down", api.RanNot)
	}
	select {
	case c := <-reply:
		return f.await(ctx, c)
	case <-f.closed:
		return nil, refusal(api.ReasonStopping, "the instance stopped", api.RanUnknown)
	}
}

// submit asks the loop to accept a request.
type submit struct {
	spec   api.Request
	digest string
	reply  chan *call
}

func (m submit) apply(f *Forwarder) {
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
		if known := f.calls[c.key]; known != nil && !known.again() {
			if known.digest == m.digest {
				c = known
				return
			}
			f.open++
			f.end(c, end{refusal: conflictRefusal(c.key)})
			return
		}
	} else {
		f.serial++
		c.key.ID = "-" + strconv.FormatInt(f.serial, 10)
	}
	f.open++
	f.asked(m.spec)
	if reason, detail := f.closedTo(c); reason != "" {
		f.end(c, end{refusal: refusal(reason, detail, api.RanNot)})
		return
	}
	f.note(event.Received, c, "", "")
	if m.spec.ID != "" {
		f.calls[c.key] = c
	}
	if m.spec.Repeatable {
		f.enqueue(c)
		return
	}
	c.row = f.row(c)
	f.claim(c, c.row, 0)
}

// again reports whether a new submission of the same id starts afresh.
func (c *call) again() bool {
	return c.stage == told && (c.end.elsewhere || c.end.refusal != nil && c.end.refusal.Ran == api.RanNot)
}

// closedTo says why c is not accepted now, or returns an empty reason.
func (f *Forwarder) closedTo(c *call) (api.Reason, string) {
	switch {
	case f.drain != nil:
		return api.ReasonStopping, "the instance is shutting down"
	case f.open > f.Settings.Open:
		return api.ReasonFull, "too many requests are open"
	case !c.spec.Repeatable && f.Commit.Down():
		return api.ReasonStore, "the table service does not answer"
	}
	return "", ""
}

// claim writes the claim row of c in the background.
func (f *Forwarder) claim(c *call, row claim.Row, version int64) {
	go func() {
		select {
		case o := <-f.Commit.Submit(claim.Claim(row, version)):
			f.post(claimed{call: c, row: row, outcome: o})
		case <-f.closed:
		}
	}()
}

// claimed reports the outcome of a claim.
type claimed struct {
	call    *call
	row     claim.Row
	outcome commit.Outcome
}

func (m claimed) apply(f *Forwarder) {
	c := m.call
	switch m.outcome.Result {
	case commit.Written:
		c.row, c.version, c.claimed = m.row, m.outcome.Version, true
		f.note(event.Claimed, c, "", "")
		if !f.Clock.Now().Before(c.deadline) {
			f.refuse(c, refusal(api.ReasonDeadline, "the claim was answered too late", c.ran))
			return
		}
		f.enqueue(c)
	case commit.Conflict:
		f.contested(c, m)
	case commit.NotWritten, commit.Unresolved:
		f.end(c, end{refusal: refusal(api.ReasonStore, "the table service does not answer", api.RanNot)})
	}
}

// contested decides about a claim whose row exists already.
func (f *Forwarder) contested(c *call, m claimed) {
	existing := m.outcome.Row(m.row.Key)
	row, err := claim.Decode(existing)
	switch {
	case err != nil:
		f.end(c, end{refusal: refusal(api.ReasonStore, err.Error(), api.RanUnknown)})
	case row.Digest != m.row.Digest:
		f.end(c, end{refusal: conflictRefusal(c.key)})
	case row.Spent:
		next := m.row
		next.Epoch, next.Nonce = row.Epoch+1, f.Nonce()
		f.claim(c, next, existing.Version)
	default:
		f.end(c, end{elsewhere: true})
	}
}

// finish tells a, and records it behind if the request is claimed.
func (f *Forwarder) finish(c *call, a api.Answer) {
	a.Took = span.Of(f.Clock.Since(c.accepted))
	if c.claimed {
		f.record(c, a)
	}
	f.end(c, end{answer: a})
}

// record writes the outcome of a claimed request in the background, a large one
// to the object store first.
func (f *Forwarder) record(c *call, a api.Answer) {
	value, err := json.Marshal(a)
	if err != nil {
		panic("forward: an answer that cannot be encoded: " + err.Error())
	}
	row, version := c.row, c.version
	row.Nonce, row.State = f.Nonce(), a.State
	f.writing.Add(1)
	go func() {
		defer f.writing.Add(-1)
		if len(value) <= claim.MaxInline {
			row.Answer = value
		} else {
			row.Stored = "answer/" + row.Nonce
			if !claim.Store(f.Clock, f.Objects, row.Stored, value, f.Settings.Store, f.closed) {
				return
			}
		}
		select {
		case <-f.Commit.Submit(claim.Finish(row, version)):
		case <-f.closed:
		}
	}()
}

// refuse ends c without an outcome. If it certainly did not run, its row is
// given up first, so that its id may be used again.
func (f *Forwarder) refuse(c *call, r *api.Refusal) {
	if c.claimed && c.ran == api.RanNot {
		row := c.row
		row.Nonce, row.Spent = f.Nonce(), true
		c.stage = releasing
		version := c.version
		go func() {
			ctx, cancel := detach.Timeout(f.Clock, f.Settings.Store)
			defer cancel()
			select {
			case <-f.Commit.Submit(claim.Release(row, version)):
			case <-ctx.Done():
			case <-f.closed:
			}
			f.post(ending{call: c, end: end{refusal: r}})
		}()
		return
	}
	f.end(c, end{refusal: r})
}

// ending tells the end of a call whose row was given up.
type ending struct {
	call *call
	end  end
}

func (m ending) apply(f *Forwarder) {
	f.end(m.call, m.end)
}

// end tells e to all who wait for c.
func (f *Forwarder) end(c *call, e end) {
	if c.stage == told {
		return
	}
	c.stage, c.end, c.ended = told, e, f.Clock.Now()
	c.spec.Input = nil
	f.open--
	close(c.finished)
	if f.calls[c.key] == c {
		f.told = append(f.told, c)
	}
	if len(f.told) > f.Settings.Open {
		f.forget()
	}
	f.checkDrain()
}

func refusal(reason api.Reason, detail string, ran api.Ran) *api.Refusal {
	r := &api.Refusal{Reason: reason, Detail: detail, Ran: ran}
	if ran == api.RanNot && reason != api.ReasonMissing && reason != api.ReasonConflict {
		r.Retry = retrySoon
	}
	return r
}

func conflictRefusal(k api.Key) *api.Refusal {
	return refusal(api.ReasonConflict, "id "+k.ID+" was sent before with other content", api.RanNot)
}

func digest(spec api.Request) string {
	spec.Deadline = 0
	value, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:16])
}
