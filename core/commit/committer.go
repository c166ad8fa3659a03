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
	DefaultMaxRate    = 240.0           // transactions per second of all instances
	DefaultInstances  = 8               // instances that share the rate until SetInstances is called
	DefaultQueueSize  = 4096            // queued changes
	DefaultTimeout    = time.Second     // timeout of one transaction
	DefaultMaxBackoff = 2 * time.Second // longest time between attempts while down
	initialBackoff    = 50 * time.Millisecond
)

// Settings holds the limits and timing of a Committer. Zero values select the
// defaults.
type Settings struct {
	MaxRate    float64       // transactions per second of all instances together
	MaxOps     int           // row operations in one transaction; by default table.MaxOpsPerWrite
	QueueSize  int           // capacity of the queue of changes
	Timeout    time.Duration // timeout of one transaction
	MaxBackoff time.Duration // longest time between attempts while down
}

// Table is the part of the platform's table service that a Committer needs. If a
// write returns an error that wraps a value whose method NotWritten() bool returns
// true, the write did not take effect; after any other error it may have.
type Table interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
}

// Change is a few row operations that take effect together or not at all. The
// first must be conditional and write a value that is used only once, or delete
// a row. Keys within a Change differ.
type Change struct {
	Ops      []table.Op
	FailFast bool // end as NotWritten while the table is down or the queue is full, instead of waiting
}

// entry is a submitted change and the state of its attempts.
type entry struct {
	change       Change
	maybeWritten bool // an attempt may have taken effect
	done         chan Outcome
	abandoned    atomic.Bool // the caller stopped waiting
	isFinished   bool        // the outcome was sent to done
}

// Counts holds the counters of a Committer since its start.
type Counts struct {
	Transactions int64 // attempts sent
	Rows         int64 // row operations sent
	Changes      int64 // changes written
	Unanswered   int64 // attempts that returned an error
}

// Committer groups changes into transactions. Its exported fields must not be
// changed after Run is called.
type Committer struct {
	Table    Table
	Clock    clockwork.Clock
	Settings Settings

	queue     chan *entry
	down      atomic.Bool
	instances atomic.Int64 // number of instances that share the rate; zero means DefaultInstances

	transactions, rows, changes, unanswered atomic.Int64
}

// New returns a Committer that writes to t.
func New(t Table, clock clockwork.Clock, s Settings) *Committer {
	s = s.withDefaults()
	return &Committer{Table: t, Clock: clock, Settings: s, queue: make(chan *entry, s.QueueSize)}
}

func (s Settings) withDefaults() Settings {
	if s.MaxRate == 0 {
		s.MaxRate = DefaultMaxRate
	}
	if s.MaxOps == 0 {
		s.MaxOps = table.MaxOpsPerWrite
	}
	if s.QueueSize == 0 {
		s.QueueSize = DefaultQueueSize
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.MaxBackoff == 0 {
		s.MaxBackoff = DefaultMaxBackoff
	}
	return s
}

// SetInstances sets the number of instances that share the rate. It may be called at any
// time; values below 1 mean 1.
func (c *Committer) SetInstances(instances int) {
	c.instances.Store(int64(max(instances, 1)))
}

// minInterval returns the minimum time between two transactions of this instance.
func (c *Committer) minInterval() time.Duration {
	instances := c.instances.Load()
	if instances == 0 {
		instances = DefaultInstances
	}
	return time.Duration(float64(instances) * float64(time.Second) / c.Settings.MaxRate)
}

// IsDown reports whether the last transaction returned an error instead of a
// response.
func (c *Committer) IsDown() bool {
	return c.down.Load()
}

// Counts returns the counters since the start.
func (c *Committer) Counts() Counts {
	return Counts{
		Transactions: c.transactions.Load(),
		Rows:         c.rows.Load(),
		Changes:      c.changes.Load(),
		Unanswered:   c.unanswered.Load(),
	}
}

// Commit submits ch and waits for its outcome or the end of ctx. If ctx ends first
// the result is Unresolved and the change is still resolved in the background;
// use Submit to receive its outcome in any case.
func (c *Committer) Commit(ctx context.Context, ch Change) Outcome {
	e, refused := c.enqueue(ch)
	if refused {
		return Outcome{Result: NotWritten}
	}
	select {
	case o := <-e.done:
		return o
	case <-ctx.Done():
		e.abandoned.Store(true)
		return Outcome{Result: Unresolved}
	}
}

// Submit submits ch and returns a channel that receives its one outcome, however
// long that takes. Without FailFast, Submit blocks while the queue is full. It
// panics if ch has no operations or more than Settings.MaxOps.
func (c *Committer) Submit(ch Change) <-chan Outcome {
	e, refused := c.enqueue(ch)
	if refused {
		e.done <- Outcome{Result: NotWritten}
	}
	return e.done
}

// enqueue queues ch. It reports true if the change has FailFast set and the table
// is down or the queue is full; the entry is then not queued.
func (c *Committer) enqueue(ch Change) (*entry, bool) {
	if len(ch.Ops) == 0 || len(ch.Ops) > c.Settings.MaxOps {
		panic("commit: change has no operations or more than Settings.MaxOps")
	}
	e := &entry{change: ch, done: make(chan Outcome, 1)}
	if ch.FailFast && c.down.Load() {
		return e, true
	}
	if ch.FailFast {
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

// Run writes changes until ctx ends. Changes taken from the queue but not sent by
// then end as NotWritten; those that may have taken effect and those still in the
// queue get no outcome.
func (c *Committer) Run(ctx context.Context) {
	backoff := initialBackoff
	var pending []*entry
	for {
		if pending = c.gather(ctx, pending); ctx.Err() != nil {
			break
		}
		start := c.Clock.Now()
		group, deferred := c.split(pending)
		answered := c.attempt(ctx, group)
		pending = append(unfinished(group), deferred...)
		wait := c.minInterval() - c.Clock.Since(start)
		if answered {
			backoff = initialBackoff
		} else {
			pending = c.refuseFailFast(pending)
			wait = backoff
			backoff = min(2*backoff, c.Settings.MaxBackoff)
		}
		c.sleep(ctx, wait)
	}
	for _, e := range pending {
		if !e.maybeWritten {
			e.finish(Outcome{Result: NotWritten})
		}
	}
}

// gather waits until there is a pending entry and appends those that are queued,
// up to twice Settings.MaxOps entries in all.
func (c *Committer) gather(ctx context.Context, pending []*entry) []*entry {
	if len(pending) == 0 {
		select {
		case e := <-c.queue:
			pending = append(pending, e)
		case <-ctx.Done():
			return pending
		}
	}
	for len(pending) < 2*c.Settings.MaxOps {
		select {
		case e := <-c.queue:
			pending = append(pending, e)
		default:
			return pending
		}
	}
	return pending
}

// split divides pending into the entries of the next transaction, as many as fit
// without using a key twice, and the deferred others. Entries that were not sent
// and whose caller has stopped waiting end as NotWritten.
func (c *Committer) split(pending []*entry) (group, deferred []*entry) {
	ops := 0
	keys := make(map[string]bool)
	for _, e := range pending {
		if !e.maybeWritten && e.abandoned.Load() {
			e.finish(Outcome{Result: NotWritten})
			continue
		}
		if ops+len(e.change.Ops) > c.Settings.MaxOps || overlaps(keys, e.change.Ops) {
			deferred = append(deferred, e)
			continue
		}
		for _, op := range e.change.Ops {
			keys[op.Key] = true
		}
		ops += len(e.change.Ops)
		group = append(group, e)
	}
	return group, deferred
}

// overlaps reports whether any of ops has a key in keys.
func overlaps(keys map[string]bool, ops []table.Op) bool {
	for _, op := range ops {
		if keys[op.Key] {
			return true
		}
	}
	return false
}

// attempt sends group as one transaction and finishes the entries whose outcome is
// known. It reports whether the transaction was answered.
func (c *Committer) attempt(ctx context.Context, group []*entry) bool {
	if len(group) == 0 {
		return true
	}
	var w table.Write
	firstAttempt := make([]bool, len(group))
	for i, e := range group {
		firstAttempt[i] = !e.maybeWritten
		e.maybeWritten = true
		w.Ops = append(w.Ops, e.change.Ops...)
	}
	c.transactions.Add(1)
	c.rows.Add(int64(len(w.Ops)))
	callCtx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.Settings.Timeout)
	written, err := c.Table.Write(callCtx, w)
	cancel()
	if err != nil {
		c.unanswered.Add(1)
		c.down.Store(true)
		if notWritten(err) {
			for i, e := range group {
				e.maybeWritten = !firstAttempt[i]
			}
		}
		return false
	}
	c.down.Store(false)
	for _, e := range group {
		c.resolve(e, written)
	}
	return true
}

// resolve finishes e if the response to its transaction determines the outcome.
func (c *Committer) resolve(e *entry, written table.Written) {
	if written.Committed {
		c.changes.Add(1)
		e.finish(Outcome{Result: Written, Version: written.Version})
		return
	}
	var rows []table.Row
	for _, op := range e.change.Ops {
		for _, r := range written.Conflicts {
			if r.Key == op.Key {
				rows = append(rows, r)
			}
		}
	}
	if len(rows) == 0 {
		return // another change of the group conflicted; this one is sent again
	}
	if version, ok := writtenBefore(e.change.Ops[0], rows); ok {
		c.changes.Add(1)
		e.finish(Outcome{Result: Written, Version: version})
		return
	}
	e.finish(Outcome{Result: Conflict, Rows: rows})
}

// writtenBefore reports whether the conflict of operation first shows that an
// earlier attempt of the same change took effect, and the version that it wrote.
// The version is zero if first deletes its row.
func writtenBefore(first table.Op, rows []table.Row) (int64, bool) {
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

// refuseFailFast ends the entries of pending with FailFast set that were not sent as
// NotWritten, and returns the others.
func (c *Committer) refuseFailFast(pending []*entry) []*entry {
	kept := pending[:0]
	for _, e := range pending {
		if e.change.FailFast && !e.maybeWritten {
			e.finish(Outcome{Result: NotWritten})
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

// sleep waits for d or the end of ctx.
func (c *Committer) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-c.Clock.After(d):
	case <-ctx.Done():
	}
}

// finish sends the outcome of e to its caller.
func (e *entry) finish(o Outcome) {
	e.isFinished = true
	e.done <- o
}

// unfinished returns the entries of group that have no outcome yet.
func unfinished(group []*entry) []*entry {
	var left []*entry
	for _, e := range group {
		if !e.isFinished {
			left = append(left, e)
		}
	}
	return left
}

// notWritten reports whether err states that the write did not take effect; see
// Table.
func notWritten(err error) bool {
	var v interface{ NotWritten() bool }
	return errors.As(err, &v) && v.NotWritten()
}
