package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"gypsumward/core/cell"
	"gypsumward/core/daytime"
	"gypsumward/core/order"
	"gypsumward/core/steady"
	"gypsumward/core/table"
	"gypsumward/core/tenure"
	"gypsumward/core/work"
)

// Sizes and times of a Lead.
const (
	queueSize    = 8192
	tick         = 20 * time.Millisecond
	storeTimeout = 800 * time.Millisecond
	orderTimeout = 1500 * time.Millisecond
	pageSize     = 500
	readPause    = 30 * time.Millisecond
	endsPause    = time.Second // between pages of ended jobs
)

// ErrOver is the error of a call to a lead whose term is over.
const ErrOver = errors.ConstError("the term is over")

// ErrFull is the error of a call that found the queue of messages full.
const ErrFull = errors.ConstError("too many messages wait")

// Runners gives orders. An order without answer within the context has the verdict
// Unknown.
type Runners interface {
	Start(ctx context.Context, to order.Target, s order.Start) order.Reply
	Stop(ctx context.Context, to order.Target, s order.Stop) order.Reply
	Hold(ctx context.Context, to order.Target, h order.Hold) order.Held
}

// Store reads and writes rows.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Adviser tells which runners may run a step.
type Adviser interface {
	Advise(ctx context.Context, t work.Task, runners []string) order.Advice
}

// Clock gives the time.
type Clock interface {
	Now() time.Time
}

// Lead runs a cell. Its exported fields are set before Run.
type Lead struct {
	Term    tenure.Term
	Runners Runners
	Store   Store
	Clock   Clock

	cell     *cell.Cell
	messages chan cell.Message
	over     chan struct{}
	count    atomic.Int64 // runners that orders can be given to
	reach    atomic.Int64 // listed runners that answer
	listed   atomic.Int64
	idle     atomic.Bool
	calls    sync.WaitGroup
	ctx      context.Context
}

// New returns a lead of a term.
func New(t tenure.Term, name string, s cell.Settings, r Runners, st Store, clock Clock, logger log.Logger, counter cell.Counter) *Lead {
	l := &Lead{
		Term: t, Runners: r, Store: st, Clock: clock,
		messages: make(chan cell.Message, queueSize), over: make(chan struct{}),
	}
	l.cell = cell.New(cell.Tenure{Name: name, Row: tenure.Key(name, tenure.HolderRow), Epoch: t.Epoch, Round: t.Round, Runners: t.Runners}, s, clock.Now())
	l.cell.Log, l.cell.Counter = logger, counter
	l.cell.Orders, l.cell.Store = orders{l}, writes{l}
	l.cell.Wall = (&daytime.Clock{Steady: clock.Now, Wall: time.Now}).Now
	return l
}

// Run runs the cell until ctx ends or it is deposed.
func (l *Lead) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	l.ctx = ctx
	defer l.calls.Wait()
	defer cancel()
	defer close(l.over)
	l.calls.Go(func() { l.load(ctx) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for !l.cell.Deposed() {
		select {
		case m := <-l.messages:
			m.Apply(l.cell, l.Clock.Now())
			l.drain()
		case <-ticker.C:
			l.cell.Tick(l.Clock.Now())
			l.publish()
		case <-ctx.Done():
			l.cell.Depose(l.Clock.Now(), "the term is over")
		}
		l.cell.Settle(l.Clock.Now())
		l.idle.Store(l.cell.Idle())
	}
}

// drain applies the messages that wait, up to a bound.
func (l *Lead) drain() {
	for range 256 {
		select {
		case m := <-l.messages:
			m.Apply(l.cell, l.Clock.Now())
		default:
			return
		}
	}
}

func (l *Lead) publish() {
	l.count.Store(int64(l.cell.Runners()))
	answering, listed := l.cell.Reach(l.Clock.Now())
	l.reach.Store(int64(answering))
	l.listed.Store(int64(listed))
}

// Post hands a message to the cell. It returns false if the term is over.
func (l *Lead) Post(m cell.Message) bool {
	select {
	case l.messages <- m:
		return true
	case <-l.over:
		return false
	}
}

// Count returns the number of runners that orders can be given to.
func (l *Lead) Count() int { return int(l.count.Load()) }

// Reach returns how many of the listed runners answer, and how many are listed.
func (l *Lead) Reach() (answering, listed int) {
	return int(l.reach.Load()), int(l.listed.Load())
}

// Idle reports whether no write is open.
func (l *Lead) Idle() bool { return l.idle.Load() }

// load reads the rows of the cell until that succeeds.
func (l *Lead) load(ctx context.Context) {
	var m loadMessage
	for _, part := range []struct {
		table string
		rows  *[]table.Row
	}{{cell.TableJobs, &m.jobs}, {cell.TableProgress, &m.progress}} {
		if !l.scan(ctx, l.cell.Key(part.table, ""), part.rows) {
			return
		}
	}
	if l.Post(m) {
		l.loadEnds(ctx)
	}
}

// loadEnds hands the rows of ended jobs to the cell, page by page and slowly, since
// nothing waits for them.
func (l *Lead) loadEnds(ctx context.Context) {
	after := ""
	for {
		steady.Sleep(ctx, endsPause)
		found, ok := l.page(ctx, l.cell.Key(cell.TableEnds, ""), after)
		if !ok || !l.Post(endsMessage{found.Rows}) || !found.More || len(found.Rows) == 0 {
			return
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// scan reads all rows with a prefix. It returns false if ctx ended before.
func (l *Lead) scan(ctx context.Context, prefix string, rows *[]table.Row) bool {
	after := ""
	for {
		found, ok := l.page(ctx, prefix, after)
		if !ok {
			return false
		}
		*rows = append(*rows, found.Rows...)
		if !found.More || len(found.Rows) == 0 {
			return true
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// page reads rows with a prefix, from after a key on, until that succeeds. It returns
// false if ctx ended before.
func (l *Lead) page(ctx context.Context, prefix, after string) (table.Found, bool) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		found, err := l.Store.Scan(limited, table.Scan{Prefix: prefix, After: after, Limit: pageSize})
		cancel()
		if err == nil {
			return found, true
		}
		steady.Sleep(ctx, readPause)
	}
	return table.Found{}, false
}

// loadMessage carries the rows of the cell.
type loadMessage struct{ jobs, progress []table.Row }

func (m loadMessage) Apply(c *cell.Cell, now time.Time) { c.Load(now, m.jobs, m.progress) }

// endsMessage carries rows of ended jobs.
type endsMessage struct{ rows []table.Row }

func (m endsMessage) Apply(c *cell.Cell, now time.Time) { c.LoadEnds(now, m.rows) }

// Renew tells until when no other can have become the holder.
func (l *Lead) Renew(until time.Time) { l.Post(renewMessage{until}) }

type renewMessage struct{ until time.Time }

func (m renewMessage) Apply(c *cell.Cell, _ time.Time) { c.Lease(m.until) }

// Adjust puts other bounds in force.
func (l *Lead) Adjust(s cell.Settings) { l.Post(adjustMessage{s}) }

type adjustMessage struct{ settings cell.Settings }

func (m adjustMessage) Apply(c *cell.Cell, _ time.Time) { c.Adjust(m.settings) }

// Depose ends the term.
func (l *Lead) Depose(why string) { l.Post(deposeMessage{why}) }

type deposeMessage struct{ why string }

func (m deposeMessage) Apply(c *cell.Cell, now time.Time) { c.Depose(now, m.why) }

// Rest stops starts, so that the cell can be handed over.
func (l *Lead) Rest() { l.Post(restMessage{}) }

type restMessage struct{}

func (restMessage) Apply(c *cell.Cell, _ time.Time) { c.Rest() }

// Submit hands a job in and waits for what became of it.
func (l *Lead) Submit(ctx context.Context, h cell.Handed) (cell.Outcome, error) {
	m := submitMessage{handed: h, told: make(chan cell.Outcome, 1)}
	return ask(ctx, l, m, m.told)
}

type submitMessage struct {
	handed cell.Handed
	told   chan cell.Outcome
}

func (m submitMessage) Apply(c *cell.Cell, now time.Time) {
	c.Submit(now, m.handed, func(o cell.Outcome) { m.told <- o })
}

// Leave tells that a caller of Submit waits no more.
func (l *Lead) Leave(id, caller string) { l.Post(leaveMessage{id, caller}) }

type leaveMessage struct{ id, caller string }

func (m leaveMessage) Apply(c *cell.Cell, now time.Time) { c.Leave(now, m.id, m.caller) }

// Cancelled is the answer to a cancel.
type Cancelled struct {
	State  work.State `json:"state"`
	Stored bool       `json:"stored"`
}

// Cancel ends a job and waits until that is stored.
func (l *Lead) Cancel(ctx context.Context, id string) (Cancelled, error) {
	m := cancelMessage{id: id, told: make(chan Cancelled, 1)}
	return ask(ctx, l, m, m.told)
}

type cancelMessage struct {
	id   string
	told chan Cancelled
}

func (m cancelMessage) Apply(c *cell.Cell, now time.Time) {
	c.Cancel(now, m.id, func(s work.State, stored bool) { m.told <- Cancelled{State: s, Stored: stored} })
}

// State returns the state of a job, Unknown if the cell knows nothing of it.
func (l *Lead) State(ctx context.Context, id string) (work.State, error) {
	m := stateMessage{id: id, told: make(chan work.State, 1)}
	return ask(ctx, l, m, m.told)
}

type stateMessage struct {
	id   string
	told chan work.State
}

func (m stateMessage) Apply(c *cell.Cell, now time.Time) {
	c.State(now, m.id, func(s work.State) { m.told <- s })
}

// Pending returns the number of jobs of a queue of which no task has started.
func (l *Lead) Pending(ctx context.Context, queue string) (int, error) {
	m := pendingMessage{queue: queue, told: make(chan int, 1)}
	return ask(ctx, l, m, m.told)
}

type pendingMessage struct {
	queue string
	told  chan int
}

func (m pendingMessage) Apply(c *cell.Cell, _ time.Time) { m.told <- c.Pending(m.queue) }

// ask posts m and waits for its answer.
func ask[T any](ctx context.Context, l *Lead, m cell.Message, told <-chan T) (T, error) {
	var none T
	select {
	case l.messages <- m:
	case <-l.over:
		return none, ErrOver
	default:
		return none, ErrFull
	}
	select {
	case v := <-told:
		return v, nil
	case <-l.over:
		select {
		case v := <-told:
			return v, nil
		default:
			return none, ErrOver
		}
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// orders gives the orders of a cell in goroutines.
type orders struct{ l *Lead }

func (o orders) Start(to order.Target, s order.Start) {
	o.l.order(orderTimeout, func(ctx context.Context) cell.Message {
		return cell.StartedMessage{Runner: to.ID, Given: s, Reply: o.l.Runners.Start(ctx, to, s)}
	})
}

func (o orders) Stop(to order.Target, s order.Stop) {
	o.l.order(orderTimeout, func(ctx context.Context) cell.Message {
		return cell.StoppedMessage{Runner: to.ID, Given: s, Reply: o.l.Runners.Stop(ctx, to, s)}
	})
}

func (o orders) Hold(to order.Target, h order.Hold, ticket int64) {
	o.l.order(h.Wait+holdSlack, func(ctx context.Context) cell.Message {
		return cell.HeldMessage{Runner: to.ID, Given: h, Ticket: ticket, Held: o.l.Runners.Hold(ctx, to, h)}
	})
}

// holdSlack is for the way of a hold and its answer, besides what it waits.
const holdSlack = 400 * time.Millisecond

func (l *Lead) order(timeout time.Duration, call func(context.Context) cell.Message) {
	l.calls.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		m := call(ctx)
		cancel()
		l.Post(m)
	})
}

// advice asks an adviser in goroutines.
type advice struct {
	l       *Lead
	adviser Adviser
}

// adviceTimeout is for the answer to one question; others may be before it.
const adviceTimeout = 1500 * time.Millisecond

func (a advice) Advise(t work.Task, runners []string) {
	asked := a.l.Clock.Now()
	a.l.order(adviceTimeout, func(ctx context.Context) cell.Message {
		return cell.AdvisedMessage{Asked: asked, Task: t, Runners: runners, Advice: a.adviser.Advise(ctx, t, runners)}
	})
}

// SetAdviser sets whom to ask for steps of queues that need advice. It is called
// before Run.
func (l *Lead) SetAdviser(a Adviser) {
	l.cell.Adviser = advice{l, a}
}

// writes sends the writes of a cell in goroutines.
type writes struct{ l *Lead }

func (w writes) Write(number int64, tx table.Write) {
	w.l.calls.Go(func() {
		ctx, cancel := context.WithTimeout(w.l.ctx, storeTimeout)
		written, err := w.l.Store.Write(ctx, tx)
		cancel()
		w.l.Post(cell.WrittenMessage{Number: number, Answer: cell.Answer{
			Written: written, Failed: err != nil, Not: err != nil && notWritten(err),
		}})
	})
}

// notWritten reports whether err says that a write certainly had no effect.
func notWritten(err error) bool {
	var v interface{ NotWritten() bool }
	return errors.As(err, &v) && v.NotWritten()
}
