package settings

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/table"
)

// MaxNoteBytes is the maximum size of the note and of the operator's name of a change,
// in bytes each.
const MaxNoteBytes = 256

// Change is a request to replace or remove the subtree of one team.
type Change struct {
	Team   string `json:"team"`
	Base   int64  `json:"base"`             // version that the change is based on; zero if there is no subtree
	Text   string `json:"text,omitempty"`   // TOML
	Remove bool   `json:"remove,omitempty"` // remove the subtree and ignore Text
	Author string `json:"by,omitempty"`     // operator's name
	Note   string `json:"note,omitempty"`   // reason for the change
	Nonce  string `json:"nonce,omitempty"`  // same text each time one change is sent; empty if it is sent only once
}

// Outcome is the result of a Change in one word.
type Outcome string

// The outcomes of a change.
const (
	OutcomeWritten   Outcome = "written"  // the change is durable
	OutcomeUnchanged Outcome = "same"     // the subtree already has this text; nothing was written
	OutcomeConflict  Outcome = "conflict" // another change replaced the base version; nothing was written
	OutcomeInvalid   Outcome = "invalid"  // the change has faults; nothing was written
	OutcomeFailed    Outcome = "failed"   // the table could not be reached; nothing was written
	OutcomeUnknown   Outcome = "unknown"  // the table could not be reached; the change may have been written
)

// Result describes the outcome of a Change.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	Revision int64   `json:"revision,omitempty"` // revision of the change, if written
	Current  Subtree `json:"now,omitzero"`       // subtree as last read; version zero if there is none or it is unknown
	Winner   Subtree `json:"winner,omitzero"`    // on conflict: subtree that replaced the base version
	Faults   Faults  `json:"faults,omitempty"`   // faults of an invalid change
	Detail   string  `json:"detail,omitempty"`   // description of the outcome
}

// Refusal returns the refusal that a caller gets, or nil if the caller gets the
// result itself (OutcomeWritten, OutcomeUnchanged and OutcomeConflict).
func (r Result) Refusal() *api.Refusal {
	switch r.Outcome {
	case OutcomeInvalid:
		return &api.Refusal{Reason: api.ReasonInvalid, Detail: r.Detail, Ran: api.RanNot}
	case OutcomeFailed:
		return &api.Refusal{Reason: api.ReasonStore, Detail: r.Detail, Ran: api.RanNot}
	case OutcomeUnknown:
		return &api.Refusal{Reason: api.ReasonStore, Detail: r.Detail, Ran: api.RanUnknown}
	default:
		return nil
	}
}

// Validate returns the faults of c that show without reading the table, or nil.
func (c Change) Validate() Faults {
	path := TeamRowKey(c.Team)
	if r := check.ID("team", c.Team); r != nil {
		return Faults{{File: "change", Detail: r.Detail}}
	}
	if len(c.Author) > MaxNoteBytes || len(c.Note) > MaxNoteBytes {
		return Faults{{File: path, Detail: fmt.Sprintf("by or note is over %d bytes", MaxNoteBytes)}}
	}
	if c.Nonce != "" {
		if r := check.ID("nonce", c.Nonce); r != nil {
			return Faults{{File: path, Detail: r.Detail}}
		}
	}
	if c.Base < 0 {
		return Faults{{File: path, Detail: fmt.Sprintf("base %d; allowed are 0 and up", c.Base)}}
	}
	if c.Remove {
		return nil
	}
	_, faults := Parse(path, c.Text)
	return faults
}

// Put applies a change in one transaction, which replaces the subtree if it still
// has the version c.Base. If the response to the transaction is lost, Put finds
// out from the table whether it took effect; see the package comment. A change
// with a nonce may be put repeatedly, also through another Store: it takes effect
// once and is recognized as long as it is among the latest changes of its team.
// The outcome OutcomeFailed says only that this call wrote nothing.
func (s *Store) Put(ctx context.Context, c Change) Result {
	if faults := c.Validate(); faults != nil {
		return Result{Outcome: OutcomeInvalid, Faults: faults, Detail: faults.Error()}
	}
	p := putOperation{store: s, change: c, nonce: cmp.Or(c.Nonce, s.nonce()), base: c.Base}
	for attempt := range s.maxAttempts() {
		if attempt > 0 && p.lastErr != nil && !s.wait(ctx) {
			break
		}
		if result, done := p.attempt(ctx); done {
			return result
		}
	}
	return p.unresolved()
}

// putOperation is the state of one call of Put.
type putOperation struct {
	store        *Store
	change       Change
	nonce        string
	base         int64   // version that the change replaces
	maybeWritten bool    // a transaction of the change may have taken effect, or may still do so
	lastErr      error   // error of the last attempt; nil if the rows changed during it
	lastRead     Subtree // subtree as last read
}

// attempt reads the rows of the team and writes the change if the subtree still
// has the base version. It reports whether the result is certain.
func (p *putOperation) attempt(ctx context.Context) (Result, bool) {
	r, err := p.store.readRecord(ctx, p.change.Team)
	p.lastErr = err
	if err != nil {
		return Result{}, false
	}
	p.lastRead = r.current
	if sub, ok := r.byNonce(p.nonce); ok {
		return Result{Outcome: OutcomeWritten, Revision: sub.Version, Current: r.current}, true
	}
	if !r.consistent() {
		return Result{}, false
	}
	if !p.maybeWritten && p.isUnchanged(r.current) {
		return Result{Outcome: OutcomeUnchanged, Current: r.current}, true
	}
	if !p.maybeWritten && p.change.Base == 0 && r.current.Removed {
		p.base = r.current.Version // a change with base zero may replace a removed subtree
	}
	if r.current.Version != p.base {
		return p.conflict(r)
	}
	return p.write(ctx, r)
}

// isUnchanged reports whether the change would leave the current subtree as it is.
func (p *putOperation) isUnchanged(current Subtree) bool {
	if p.change.Remove {
		return current.Version == 0 || current.Removed
	}
	return current.Version > 0 && !current.Removed && current.Text == p.change.Text
}

// conflict returns the conflict with the change that replaced the base version.
// If a transaction of this change may have taken effect, the conflict is certain
// only while the history reaches back to the base.
func (p *putOperation) conflict(r record) (Result, bool) {
	winner, ok := r.replacementOf(p.base)
	if !ok {
		winner = r.current
	}
	if p.maybeWritten && !ok {
		return p.unresolved(), true
	}
	return Result{
		Outcome: OutcomeConflict,
		Current: r.current,
		Winner:  winner,
		Detail: fmt.Sprintf("%s has version %d, not %d: %s changed it at %s",
			TeamRowKey(p.change.Team), r.current.Version, p.change.Base, displayName(winner.Author), winner.WrittenAt.Format("2006-01-02 15:04:05 MST")),
	}, true
}

// displayName returns name, or a phrase for an operator without a name.
func displayName(name string) string {
	if name == "" {
		return "an operator without a name"
	}
	return name
}

// write sends the transaction of the change. All its conditions are on rows of the
// team. It reports whether the result is certain.
func (p *putOperation) write(ctx context.Context, r record) (Result, bool) {
	c := p.change
	sub := Subtree{
		Team: c.Team, Base: r.current.Version, Removed: c.Remove,
		Author: c.Author, Note: c.Note, WrittenAt: p.store.Clock.Now().UTC(), Nonce: p.nonce,
	}
	if !c.Remove {
		sub.Text = c.Text
	}
	ops := []table.Op{
		{Key: TeamRowKey(c.Team), IfVersion: r.current.Version, Value: encode(sub)},
		{Key: RevisionKey, IfVersion: table.AnyVersion, Value: encode(revisionValue{Team: c.Team, At: sub.WrittenAt})},
	}
	if r.current.Version > 0 {
		ops = append(ops, table.Op{Key: historyPrefix + c.Team, IfVersion: r.historyVersion, Value: prependHistory(r.history, r.current)})
	}
	written, err := p.store.Table.Write(ctx, table.Write{Ops: ops})
	p.lastErr = err
	if err != nil {
		p.maybeWritten = p.maybeWritten || p.store.MayHaveTakenEffect == nil || p.store.MayHaveTakenEffect(err)
		return Result{}, false
	}
	if !written.Committed {
		return Result{}, false
	}
	sub.Version = written.Version
	return Result{Outcome: OutcomeWritten, Revision: written.Version, Current: sub}, true
}

// revisionValue is the value of the row settings/rev, whose version is the
// revision.
type revisionValue struct {
	Team string    `json:"team"` // team of the newest change
	At   time.Time `json:"at"`
}

// unresolved returns the result of a change whose attempts are used up:
// OutcomeUnknown if a transaction may have taken effect, else OutcomeFailed.
func (p *putOperation) unresolved() Result {
	detail := "the rows changed at each attempt"
	if p.lastErr != nil {
		detail = p.lastErr.Error()
	}
	if p.maybeWritten {
		return Result{Outcome: OutcomeUnknown, Current: p.lastRead, Detail: detail + "; the change may have been written"}
	}
	return Result{Outcome: OutcomeFailed, Current: p.lastRead, Detail: detail + "; nothing was written"}
}
