package commit

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/table"
)

// Defaults of Settings.
const (
	DefaultRate    = 240.0           // transactions per second of all instances
	DefaultShare   = 8               // instances, until Divide is called
	DefaultQueue   = 4096            // changes waiting
	DefaultTimeout = time.Second     // for one transaction
	DefaultPause   = 2 * time.Second // longest pause between tries while down
	firstPause     = 50 * time.Millisecond
)

// Settings bounds what a Committer does. Zero values mean the defaults.
type Settings struct {
	Rate    float64       // transactions per second of all instances together
	Ops     int           // row operations in one transaction; table.MaxOps
	Queue   int           // changes that may wait
	Timeout time.Duration // for the answer to one transaction
	Pause   time.Duration // longest pause between tries while down
}

// Table is the part of the platform's table service that a Committer needs.
// An error that wraps a value with a method NotWritten() bool which returns true
// tells that the write did not take effect; any other error leaves it open.
type Table interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
}

// Change is a few row operations that take effect together or not at all. The
// first must be conditional and write a value that is used only once, or delete
// a row. Keys within a Change differ.
type Change struct {
	Ops    []table.Op
	Urgent bool // refuse at once while the table is down, instead of waiting
}

type entry struct {
	change Change
	sent   bool // a try may have taken effect
	done   chan Outcome
	gone   atomic.Bool // the caller stopped waiting
	ended  bool        // the outcome was given
}

// Counts tells what a Committer has done since its start.
type Counts struct {
	Transactions int64 // tries sent
	Rows         int64 // operations sent
	Changes      int64 // changes written
	Unanswered   int64 // tries without an answer
}

// Committer groups changes into transactions. Its exported fields are set before
// Run.
type Committer struct {
	Table    Table
	Clock    clockwork.Clock
	Settings Settings

	queue chan *entry
	down  atomic.Bool
	share atomic.Int64 // instances that share the rate

	transactions, rows, changes, unanswered atomic.Int64
}

// New returns a Committer for t.
func New(t Table, clock clockwork.Clock, s Settings) *Committer {
	s = s.withDefaults()
	return &Committer{Table: t, Clock: clock, Settings: s, queue: make(chan *entry, s.Queue)}
}

func (s Settings) withDefaults() Settings {
	if s.Rate == 0 {
		s.Rate = DefaultRate
	}
	if s.Ops == 0 {
		s.Ops = table.MaxOps
	}
	if s.Queue == 0 {
		s.Queue = DefaultQueue
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.Pause == 0 {
		s.Pause = DefaultPause
	}
	return s
}

// Divide tells how many instances share the rate. It may be called at any time.
func (c *Committer) Divide(instances int) {
	c.share.Store(int64(max(instances, 1)))
}

// gap returns the least time between two transactions of this instance.
func (c *Committer) gap() time.Duration {
	share := c.share.Load()
	if share == 0 {
		share = DefaultShare
	}
	return time.Duration(float64(share) * float64(time.Second) / c.Settings.Rate)
}

// Down reports whether the last transaction was not answered.
func (c *Committer) Down() bool {
	return c.down.Load()
}

// Counts returns what was done so far.
func (c *Committer) Counts() Counts {
	return Counts{
		Transactions: c.transactions.Load(),
		Rows:         c.rows.Load(),
		Changes:      c.changes.Load(),
		Unanswered:   c.unanswered.Load(),
	}
}

// Commit hands in ch and waits for its outcome or the end of ctx. After
// Unresolved the change is still resolved in the background; use Submit to learn
// of it.
func (c *Committer) Commit(ctx context.Context, ch Change) Outcome {
	e, refused := c.enter(ch)
	if refused {
		return Outcome{Result: NotWritten}
	}
	select {
	case o := <-e.done:
		return o
	case <-ctx.Done():
		e.gone.Store(true)
		return Outcome{Result: Unresolved}
	}
}

// Submit hands in ch and returns a channel that gives its one outcome, however
// long that takes.
func (c *Committer) Submit(ch Change) <-chan Outcome {
	e, refused := c.enter(ch)
	if refused {
		e.done <- Outcome{Result: NotWritten}
	}
	return e.done
}

func (c *Committer) enter(ch Change) (*entry, bool) {
	if len(ch.Ops) == 0 || len(ch.Ops) > c.Settings.Ops {
		panic("commit: a change needs between one operation and the limit of a transaction")
	}
	e := &entry{change: ch, done: make(chan Outcome, 1)}
	if ch.Urgent && c.down.Load() {
		return e, true
	}
	if ch.Urgent {
		select {
		case c.queue <- e:
			return e, false
		default:
			return e, true
		}
	}
	c.queue <- e
	return e, false
}

// Run writes changes until ctx ends. Changes still waiting then that were never
// sent end as NotWritten; those whose answer is open are left without outcome.
func (c *Committer) Run(ctx context.Context) {
	pause := firstPause
	var held []*entry
	for {
		if held = c.gather(ctx, held); ctx.Err() != nil {
			break
		}
		began := c.Clock.Now()
		group, rest := c.split(held)
		answered := c.try(ctx, group)
		held = append(unfinished(group), rest...)
		wait := c.gap() - c.Clock.Since(began)
		if answered {
			pause = firstPause
		} else {
			held = c.refuse(held)
			wait = pause
			pause = min(2*pause, c.Settings.Pause)
		}
		c.sleep(ctx, wait)
	}
	for _, e := range held {
		if !e.sent {
			e.finish(Outcome{Result: NotWritten})
		}
	}
}

// gather waits for work and takes in all that is queued, up to two groups.
func (c *Committer) gather(ctx context.Context, held []*entry) []*entry {
	if len(held) == 0 {
		select {
		case e := <-c.queue:
			held = append(held, e)
		case <-ctx.Done():
			return held
		}
	}
	for len(held) < 2*c.Settings.Ops {
		select {
		case e := <-c.queue:
			held = append(held, e)
		default:
			return held
		}
	}
	return held
}

// split takes from held the entries of the next transaction: as many as fit, no
// key twice. Entries whose caller has gone before they were sent are dropped.
func (c *Committer) split(held []*entry) (group, rest []*entry) {
	ops := 0
	keys := make(map[string]bool)
	for _, e := range held {
		if !e.sent && e.gone.Load() {
			e.finish(Outcome{Result: NotWritten})
			continue
		}
		if ops+len(e.change.Ops) > c.Settings.Ops || overlaps(keys, e.change.Ops) {
			rest = append(rest, e)
			continue
		}
		for _, op := range e.change.Ops {
			keys[op.Key] = true
		}
		ops += len(e.change.Ops)
		group = append(group, e)
	}
	return group, rest
}

func overlaps(keys map[string]bool, ops []table.Op) bool {
	for _, op := range ops {
		if keys[op.Key] {
			return true
		}
	}
	return false
}

// try sends group as one transaction. It reports whether it was answered, and
// finishes the entries whose outcome is known.
func (c *Committer) try(ctx context.Context, group []*entry) bool {
	if len(group) == 0 {
		return true
	}
	var w table.Write
	fresh := make([]bool, len(group))
	for i, e := range group {
		fresh[i] = !e.sent
		e.sent = true
		w.Ops = append(w.Ops, e.change.Ops...)
	}
	c.transactions.Add(1)
	c.rows.Add(int64(len(w.Ops)))
	limited, cancel := clockwork.WithTimeout(ctx, c.Clock, c.Settings.Timeout)
	written, err := c.Table.Write(limited, w)
	cancel()
	if err != nil {
		c.unanswered.Add(1)
		c.down.Store(true)
		if notWritten(err) {
			for i, e := range group {
				e.sent = !fresh[i]
			}
		}
		return false
	}
	c.down.Store(false)
	for _, e := range group {
		c.settle(e, written)
	}
	return true
}

// settle finishes e if the answer written to its transaction decides it.
func (c *Committer) settle(e *entry, written table.Written) {
	if written.Done {
		c.changes.Add(1)
		e.finish(Outcome{Result: Written, Version: written.Version})
		return
	}
	var rows []table.Row
	for _, op := range e.change.Ops {
		for _, r := range written.Conflict {
			if r.Key == op.Key {
				rows = append(rows, r)
			}
		}
	}
	if len(rows) == 0 {
		return // another change of the group conflicted; this one is sent again
	}
	if version, ok := earlier(e.change.Ops[0], rows); ok {
		c.changes.Add(1)
		e.finish(Outcome{Result: Written, Version: version})
		return
	}
	e.finish(Outcome{Result: Conflict, Rows: rows})
}

// earlier reports whether the conflict of first shows that an earlier try of the
// same change took effect.
func earlier(first table.Op, rows []table.Row) (int64, bool) {
	for _, r := range rows {
		if r.Key != first.Key {
			continue
		}
		if first.Delete {
			return 0, r.Version == 0
		}
		return r.Version, r.Version != 0 && bytes.Equal(r.Value, first.Value)
	}
	return 0, false
}

// refuse ends the urgent entries of held that were never sent.
func (c *Committer) refuse(held []*entry) []*entry {
	kept := held[:0]
	for _, e := range held {
		if e.change.Urgent && !e.sent {
			e.finish(Outcome{Result: NotWritten})
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

func (c *Committer) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-c.Clock.After(d):
	case <-ctx.Done():
	}
}

func (e *entry) finish(o Outcome) {
	e.ended = true
	e.done <- o
}

func unfinished(group []*entry) []*entry {
	var left []*entry
	for _, e := range group {
		if !e.ended {
			left = append(left, e)
		}
	}
	return left
}

func notWritten(err error) bool {
	var v interface{ NotWritten() bool }
	return errors.As(err, &v) && v.NotWritten()
}
