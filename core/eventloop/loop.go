package eventloop

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/fingerprint"
	"gypsumward/core/mirror"
	"gypsumward/core/monotonic"
	"gypsumward/core/order"
	"gypsumward/core/overload"
	"gypsumward/core/table"
	"gypsumward/core/wallclock"
	"gypsumward/core/work"
)

// Sizes, intervals and timeouts of a Loop.
const (
	messageQueueSize = 8192
	tickInterval     = 20 * time.Millisecond
	storeTimeout     = 800 * time.Millisecond
	orderTimeout     = 1500 * time.Millisecond
	pageSize         = 500
	endsPageInterval = time.Second // between pages of ended jobs
	maxQueuedBatch   = 256         // queued messages applied before the cell settles
)

// ErrTermOver is returned by calls to a Loop whose term is over.
const ErrTermOver = errors.ConstError("the term is over")

// ErrQueueFull is returned by calls that find the message queue full. Such a call has had
// no effect.
const ErrQueueFull = errors.ConstError("too many messages wait")

// Runners sends orders to runners. The reply to an order that is not answered before the
// context ends has the verdict Unknown.
type Runners interface {
	Start(ctx context.Context, to order.Target, s order.Start) order.Reply
	Stop(ctx context.Context, to order.Target, s order.Stop) order.Reply
	Hold(ctx context.Context, to order.Target, h order.Hold) order.HoldReply
}

// Store reads and writes rows.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Adviser decides which of the given runners may run a task.
type Adviser interface {
	Advise(ctx context.Context, t work.Task, runners []string) order.Advice
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Loop runs a cell for one term. Its exported fields must be set before Run.
type Loop struct {
	Term    election.Term
	Runners Runners
	Store   Store
	Clock   Clock

	cell             *cell.Cell
	messages         chan cell.Message
	done             chan struct{}
	runnerCount      atomic.Int64  // runners that orders can be sent to
	runnerSet        atomic.Uint64 // fingerprint of the runners that may have runs
	answeringRunners atomic.Int64  // runners in the directory that answer
	listedRunners    atomic.Int64  // runners in the directory
	evacuatedRunners atomic.Int64  // runners that get no work since their data centre is evacuated
	evacuatedCPU     atomic.Int64  // their capacity in thousandths of a core
	coldRunners      atomic.Int64  // runners that are slower than usual for a time
	idle             atomic.Bool
	failed           atomic.Bool
	lastTick         time.Time
	skipped          bool // the last tick was, since it was late
	overload         overload.Detector
	stops            stopQueue
	calls            sync.WaitGroup
	ctx              context.Context
}

// New returns a Loop for term t of the cell called name.
func New(t election.Term, name string, s cell.Settings, r Runners, st Store, clock Clock, logger log.Logger, metrics cell.Metrics) *Loop {
	l := &Loop{
		Term: t, Runners: r, Store: st, Clock: clock,
		messages: make(chan cell.Message, messageQueueSize), done: make(chan struct{}), overload: overload.Detector{StartedAt: clock.Now()},
	}
	l.cell = cell.New(termOf(name, t), s, clock.Now())
	l.cell.Log, l.cell.Metrics = logger, metrics
	l.cell.Orders, l.cell.Store = orderSender{l}, writeSender{l}
	l.cell.WallClock = (&wallclock.Clock{Monotonic: clock.Now, Wall: time.Now}).Now
	return l
}

// Run runs the cell until ctx ends or the cell is deposed.
func (l *Loop) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	l.ctx = ctx
	defer l.calls.Wait()
	defer cancel()
	defer close(l.done)
	l.calls.Go(func() { l.load(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.lastTick = l.Clock.Now()
	for !l.cell.Deposed() {
		l.turn(ctx, ticker)
	}
}

// turn waits for the next event and processes it. A panic ends the term, but not the process, which
// serves other cells and callers.
func (l *Loop) turn(ctx context.Context, ticker *time.Ticker) {
	defer func() {
		if v := recover(); v != nil {
			l.fail(v)
		}
	}()
	select {
	case m := <-l.messages:
		m.Apply(l.cell, l.Clock.Now())
		l.applyQueued()
	case <-ticker.C:
		now := l.Clock.Now()
		late := now.Sub(l.lastTick) > 2*tickInterval
		l.overload.RecordTick(now.Sub(l.lastTick) - tickInterval)
		l.lastTick = now
		// After a pause of the process replies may be waiting, which a tick would take for
		// missing.
		if l.skipped = late && !l.skipped; l.skipped {
			l.applyQueued()
			break
		}
		l.cell.Tick(now)
		l.publish()
	case <-ctx.Done():
		l.cell.Depose(l.Clock.Now(), "the context of the term has ended")
	}
	l.cell.RunPass(l.Clock.Now())
	l.idle.Store(l.cell.IsIdle())
}

// fail ends the term after a panic with the given value: the state of the cell is not to be relied on
// any more, and the next holder reads it from the rows and the runners.
func (l *Loop) fail(value any) {
	l.failed.Store(true)
	l.cell.Metrics.Count("panic", 1)
	_ = l.cell.Log.Log("event", "panic", "duty", "cell", "epoch", l.Term.Epoch, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
	l.cell.Depose(l.Clock.Now(), "a panic")
}

// Failed reports whether a panic has ended the term.
func (l *Loop) Failed() bool { return l.failed.Load() }

// applyQueued applies the queued messages, up to maxQueuedBatch.
func (l *Loop) applyQueued() {
	for range maxQueuedBatch {
		select {
		case m := <-l.messages:
			m.Apply(l.cell, l.Clock.Now())
		default:
			return
		}
	}
}

// Overload returns the detector that tells whether this machine is too slow for the cell.
func (l *Loop) Overload() *overload.Detector { return &l.overload }

// publish updates the figures that other goroutines read.
func (l *Loop) publish() {
	l.runnerCount.Store(int64(l.cell.RunnerCount()))
	l.runnerSet.Store(uint64(l.cell.RunnerSet(l.Clock.Now())))
	answering, listed := l.cell.ReachableRunners(l.Clock.Now())
	l.answeringRunners.Store(int64(answering))
	l.listedRunners.Store(int64(listed))
	l.overload.RecordLatency(l.cell.OrderLatency())
	evacuated, cpu := l.cell.EvacuatedRunners(l.Clock.Now())
	l.evacuatedRunners.Store(int64(evacuated))
	l.evacuatedCPU.Store(int64(cpu))
	l.coldRunners.Store(int64(l.cell.ColdRunners(l.Clock.Now())))
}

// Post queues a message for the cell, waiting for space if the queue is full. It returns
// false if the term is over.
func (l *Loop) Post(m cell.Message) bool {
	select {
	case l.messages <- m:
		return true
	case <-l.done:
		return false
	}
}

// RunnerCount returns the number of runners that orders can be sent to.
func (l *Loop) RunnerCount() int { return int(l.runnerCount.Load()) }

// RunnerSet returns the fingerprint of the runners that may have runs; zero if it is not known
// yet.
func (l *Loop) RunnerSet() fingerprint.Set { return fingerprint.Set(l.runnerSet.Load()) }

// ReachableRunners returns how many of the runners in the directory answer, and how many
// there are in the directory.
func (l *Loop) ReachableRunners() (answering, listed int) {
	return int(l.answeringRunners.Load()), int(l.listedRunners.Load())
}

// EvacuatedRunners returns the number of runners that get no work since their data centre is evacuated, and
// their capacity in thousandths of a core.
func (l *Loop) EvacuatedRunners() (runners, cpu int) {
	return int(l.evacuatedRunners.Load()), int(l.evacuatedCPU.Load())
}

// ColdRunners returns the number of runners that are slower than usual for a time.
func (l *Loop) ColdRunners() int { return int(l.coldRunners.Load()) }

// Done returns a channel that is closed when the term is over.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Idle reports whether no write to the store is pending or in flight.
func (l *Loop) Idle() bool { return l.idle.Load() }

// load reads the rows of the cell, retrying until it succeeds or ctx ends, and posts them
// to the cell. The rows of ended jobs follow.
func (l *Loop) load(ctx context.Context) {
	var m loadMessage
	for _, part := range []struct {
		table string
		rows  *[]table.Row
	}{{cell.TableJobs, &m.jobs}, {cell.TableProgress, &m.progress}} {
		if !l.scanAll(ctx, l.cell.Key(part.table, ""), part.rows) {
			return
		}
	}
	if l.Post(m) {
		l.loadEnds(ctx)
	}
}

// loadEnds posts the rows of ended jobs to the cell page by page, one per
// endsPageInterval, since nothing waits for them.
func (l *Loop) loadEnds(ctx context.Context) {
	after := ""
	for {
		monotonic.Sleep(ctx, endsPageInterval)
		found, ok := l.scanPage(ctx, l.cell.Key(cell.TableEnds, ""), after)
		if !ok || !l.Post(endsMessage{found.Rows}) || !found.Truncated || len(found.Rows) == 0 {
			return
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// scanAll appends all rows with a prefix to rows. It returns false if ctx ends first.
func (l *Loop) scanAll(ctx context.Context, prefix string, rows *[]table.Row) bool {
	after := ""
	for {
		found, ok := l.scanPage(ctx, prefix, after)
		if !ok {
			return false
		}
		*rows = append(*rows, found.Rows...)
		if !found.Truncated || len(found.Rows) == 0 {
			return true
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// scanPage reads one page of rows with a prefix and keys greater than after, retrying
// until it succeeds. It returns false if ctx ends first.
func (l *Loop) scanPage(ctx context.Context, prefix, after string) (table.Found, bool) {
	return mirror.Page(ctx, l.Store, table.Scan{Prefix: prefix, After: after, Limit: pageSize}, mirror.DefaultTimeout)
}

// loadMessage carries the rows of the jobs of the cell and of their progress.
type loadMessage struct{ jobs, progress []table.Row }

func (m loadMessage) Apply(c *cell.Cell, now time.Time) { c.LoadJobs(now, m.jobs, m.progress) }

// endsMessage carries one page of rows of ended jobs.
type endsMessage struct{ rows []table.Row }

func (m endsMessage) Apply(c *cell.Cell, now time.Time) { c.LoadEnds(now, m.rows) }

// Renew extends the lease of the cell: no other instance can become the holder before
// until.
func (l *Loop) Renew(until time.Time) { l.Post(renewMessage{until}) }

// RenewOrders extends the lease of the cell for jobs that need not be kept: until then no instance can
// become the holder that relies on these to have ended.
func (l *Loop) RenewOrders(until time.Time) { l.Post(renewOrdersMessage{until}) }

type renewOrdersMessage struct{ until time.Time }

func (m renewOrdersMessage) Apply(c *cell.Cell, _ time.Time) { c.ExtendOrders(m.until) }

type renewMessage struct{ until time.Time }

func (m renewMessage) Apply(c *cell.Cell, _ time.Time) { c.ExtendLease(m.until) }

// Reported notifies the cell that a set of its runners is in the row of the heartbeat.
func (l *Loop) Reported(set fingerprint.Set) { l.Post(reportedMessage{set}) }

type reportedMessage struct{ set fingerprint.Set }

func (m reportedMessage) Apply(c *cell.Cell, _ time.Time) { c.Reported(m.set) }

// ApplySettings applies new settings to the cell.
func (l *Loop) ApplySettings(s cell.Settings) { l.Post(adjustMessage{s}) }

type adjustMessage struct{ settings cell.Settings }

func (m adjustMessage) Apply(c *cell.Cell, _ time.Time) { c.ApplySettings(m.settings) }

// Depose ends the term. The reason appears in the log.
func (l *Loop) Depose(reason string) { l.Post(deposeMessage{reason}) }

type deposeMessage struct{ reason string }

func (m deposeMessage) Apply(c *cell.Cell, now time.Time) { c.Depose(now, m.reason) }

// Drain makes the cell start no further tasks, so that it can be handed over.
func (l *Loop) Drain() { l.Post(drainMessage{}) }

type drainMessage struct{}

func (drainMessage) Apply(c *cell.Cell, _ time.Time) { c.Drain() }

// Resume makes the cell start tasks again after Drain.
func (l *Loop) Resume() { l.Post(resumeMessage{}) }

type resumeMessage struct{}

func (resumeMessage) Apply(c *cell.Cell, _ time.Time) { c.Resume() }

// Cancelled is the result of Cancel.
type Cancelled struct {
	State  work.State `json:"state"`
	Stored bool       `json:"stored"`       // the end of the job is stored
	To     string     `json:"to,omitempty"` // cell that has the job; empty if it is this one, or no cell is known to
}

// Cancel ends a job and waits until its end is stored or the term is over. The state is
// that of an earlier end if there was one, and work.Unknown if the cell does not know the
// job. Errors are those of Submit.
func (l *Loop) Cancel(ctx context.Context, id string) (Cancelled, error) {
	m := cancelMessage{id: id, reply: make(chan Cancelled, 1)}
	return request(ctx, l, m, m.reply)
}

type cancelMessage struct {
	id    string
	reply chan Cancelled
}

func (m cancelMessage) Apply(c *cell.Cell, now time.Time) {
	if to := c.MovedTo(m.id); to != "" {
		m.reply <- Cancelled{To: to}
		return
	}
	c.Cancel(now, m.id, func(s work.State, stored bool) { m.reply <- Cancelled{State: s, Stored: stored} })
}

// State returns the state of a job, work.Unknown if the cell does not know the job, or the cell that
// has it if that is another one. Errors are those of Submit.
func (l *Loop) State(ctx context.Context, id string) (state work.State, to string, err error) {
	m := stateMessage{id: id, reply: make(chan stateReply, 1)}
	v, err := request(ctx, l, m, m.reply)
	return v.state, v.to, err
}

type stateMessage struct {
	id    string
	reply chan stateReply
}

type stateReply struct {
	state work.State
	to    string
}

func (m stateMessage) Apply(c *cell.Cell, now time.Time) {
	if to := c.MovedTo(m.id); to != "" {
		m.reply <- stateReply{to: to}
		return
	}
	c.QueryState(now, m.id, func(s work.State) { m.reply <- stateReply{state: s} })
}

// request queues m, unless the queue is full, and waits for its reply. A reply that was
// sent before the term ended is still returned.
func request[T any](ctx context.Context, l *Loop, m cell.Message, reply <-chan T) (T, error) {
	var none T
	select {
	case l.messages <- m:
	case <-l.done:
		return none, ErrTermOver
	default:
		return none, ErrQueueFull
	}
	select {
	case v := <-reply:
		return v, nil
	case <-l.done:
		select {
		case v := <-reply:
			return v, nil
		default:
			return none, ErrTermOver
		}
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// orderSender sends the orders of a cell, each in a goroutine of its own. Stops of which the runner has too
// many without a reply wait.
type orderSender struct{ l *Loop }

func (o orderSender) Start(to order.Target, s order.Start) {
	o.l.callAsync(orderTimeout, func(ctx context.Context) cell.Message {
		return cell.StartReply{Runner: to.ID, Order: s, Reply: o.l.Runners.Start(ctx, to, s)}
	})
}

func (o orderSender) Stop(to order.Target, s order.Stop) {
	if o.l.stops.add(to, s) {
		o.l.sendStop(to, s)
	}
}

func (o orderSender) Hold(to order.Target, h order.Hold, ticket int64) {
	o.l.callAsync(h.Wait+holdTimeoutMargin, func(ctx context.Context) cell.Message {
		return cell.HoldReply{Runner: to.ID, Order: h, Ticket: ticket, Reply: o.l.Runners.Hold(ctx, to, h)}
	})
}

// holdTimeoutMargin is the time allowed for a hold order in addition to the time that the
// runner waits, for the network both ways.
const holdTimeoutMargin = 400 * time.Millisecond

// callAsync runs call in a goroutine, with a context that ends after timeout, and posts
// the message that it returns.
func (l *Loop) callAsync(timeout time.Duration, call func(context.Context) cell.Message) {
	l.calls.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		m := call(ctx)
		cancel()
		l.Post(m)
	})
}

// adviceSender asks an adviser, each time in a goroutine of its own.
type adviceSender struct {
	l       *Loop
	adviser Adviser
}

// adviceTimeout bounds one request to the adviser, including the time that the adviser
// spends on earlier requests.
const adviceTimeout = 1500 * time.Millisecond

func (a adviceSender) Advise(t work.Task, runners []string) {
	askedAt := a.l.Clock.Now()
	a.l.callAsync(adviceTimeout, func(ctx context.Context) cell.Message {
		return cell.AdviceReply{AskedAt: askedAt, Task: t, Runners: runners, Advice: a.adviser.Advise(ctx, t, runners)}
	})
}

// SetAdviser sets the adviser for the queues that need advice. It must be called before
// Run.
func (l *Loop) SetAdviser(a Adviser) {
	l.cell.Adviser = adviceSender{l, a}
}

// writeSender sends the writes of a cell to the store, each in a goroutine of its own.
type writeSender struct{ l *Loop }

func (w writeSender) Write(number int64, tx table.Write) {
	w.l.calls.Go(func() {
		ctx, cancel := context.WithTimeout(w.l.ctx, storeTimeout)
		written, err := w.l.Store.Write(ctx, tx)
		cancel()
		w.l.Post(cell.WriteReply{Number: number, Result: cell.WriteResult{
			Written: written, Failed: err != nil, NotApplied: err != nil && notWritten(err), Malformed: err != nil && malformed(err),
		}})
	})
}

// malformed reports whether err says that the store refuses the write as it is.
func malformed(err error) bool {
	var v interface{ Malformed() bool }
	return errors.As(err, &v) && v.Malformed()
}

// notWritten reports whether err guarantees that a write had no effect.
func notWritten(err error) bool {
	var v interface{ NotWritten() bool }
	return errors.As(err, &v) && v.NotWritten()
}
