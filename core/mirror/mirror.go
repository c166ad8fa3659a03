package mirror

import (
	"context"
	"sync"
	"time"

	"gypsumward/core/span"
	"gypsumward/core/table"
)

// Defaults of Mirror. The delay before a retry doubles with every failure in a row.
const (
	DefaultWait       = time.Second
	DefaultTimeout    = 700 * time.Millisecond
	DefaultRetryDelay = 60 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Shares of a time within which a change must be read. The rest is for a further call and for the
// response to arrive.
const (
	waitShare    = 0.4
	timeoutShare = 0.2
)

// Intervals returns the values of Wait and Timeout with which a change is read within bound, also if
// the connection is lost without a reset. A response must arrive in a fifth of bound.
func Intervals(bound time.Duration) (wait, timeout time.Duration) {
	return time.Duration(waitShare * float64(bound)), time.Duration(timeoutShare * float64(bound))
}

// Store is the part of the store that a Mirror uses.
type Store interface {
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
	Watch(ctx context.Context, w table.Watch) (table.WatchResult, error)
}

// Mirror watches the rows under a prefix. Its fields must be set before Run.
type Mirror struct {
	Store   Store
	Prefix  string
	Wait    time.Duration // for which the store waits for a change; zero means DefaultWait
	Timeout time.Duration // for which nothing may arrive, beside Wait, until another call is made; zero means DefaultTimeout

	// OnRows receives rows after every successful call: all rows if whole is true, otherwise
	// those that have changed. A changed row of version zero was removed.
	OnRows func(rows []table.Row, whole bool)
	// OnRead is called after every successful call, before OnRows. It may be nil.
	OnRead func()
	// OnError is called after each call that failed or has received nothing in time. It may be nil.
	OnError func(f Failure)
	// PollInterval returns the time to wait between a reply and the next call. It may be nil.
	PollInterval func() time.Duration
	// Refresh ends such a wait early. It may be nil.
	Refresh <-chan struct{}

	after, through string    // bounds of the keys, see Poller
	lastRead       time.Time // time of the last successful call, or of the start of Run
	calls          sync.WaitGroup
}

// Run reads the rows and then watches them until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if m.Wait == 0 {
		m.Wait = DefaultWait
	}
	m.run(ctx, true)
}

// run reads the rows until ctx ends. After the first time it reads their changes if watches is set,
// otherwise all of them.
func (m *Mirror) run(ctx context.Context, watches bool) {
	defer m.calls.Wait()
	if m.Timeout == 0 {
		m.Timeout = DefaultTimeout
	}
	m.lastRead = time.Now()
	version := unread
	for {
		got, ok := m.read(ctx, version)
		if !ok {
			return
		}
		m.lastRead = time.Now()
		if m.OnRead != nil {
			m.OnRead()
		}
		m.OnRows(got.rows, got.whole)
		if watches {
			version = got.version
		}
		m.awaitNextCall(ctx)
	}
}

// read reads the rows, or their changes after version. Ok is false if ctx ends first.
func (m *Mirror) read(ctx context.Context, version int64) (got reply, ok bool) {
	r := &race{
		ctx: ctx, timeout: m.Timeout, report: m.report, calls: &m.calls,
		perform: func(ctx context.Context, wait time.Duration) reply { return m.advance(ctx, version, wait) },
	}
	return r.run(m.Wait)
}

// report reports that a call failed or is quiet.
func (m *Mirror) report(c *call, err error) {
	if m.OnError == nil {
		return
	}
	received, _ := c.attempt.Received()
	m.OnError(Failure{Err: err, Age: time.Since(m.lastRead), Timeout: m.Timeout, Received: received})
}

// awaitNextCall waits between a reply and the next call, as given by PollInterval
// and Refresh.
func (m *Mirror) awaitNextCall(ctx context.Context) {
	if m.PollInterval == nil {
		return
	}
	d := m.PollInterval()
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.Refresh:
	case <-ctx.Done():
	}
}

// unread stands for the version when the rows have to be read as a whole.
const unread = int64(-1)

// advance reads all rows if version is unread or its history is lost, and otherwise the changes
// after version, for which the store waits up to wait.
func (m *Mirror) advance(ctx context.Context, version int64, wait time.Duration) reply {
	if version == unread {
		return m.readAll(ctx)
	}
	changes, err := m.Store.Watch(ctx, table.Watch{Prefix: m.Prefix, After: version, Wait: span.Of(wait)})
	if err != nil {
		return reply{err: err}
	}
	if changes.HistoryLost {
		return m.readAll(ctx)
	}
	return reply{rows: changes.Rows, version: max(version, changes.Version)}
}

// readAll reads all rows, page by page. The version is that of the first page, so that a watch from
// there misses no change made between the pages.
func (m *Mirror) readAll(ctx context.Context) reply {
	all := reply{whole: true, version: unread}
	lastKey := m.after
	for {
		found, err := m.Store.Scan(ctx, table.Scan{Prefix: m.Prefix, After: lastKey, Through: m.through, Limit: table.MaxScanRows})
		if err != nil {
			return reply{err: err}
		}
		if all.version == unread {
			all.version = found.Version
		}
		all.rows = append(all.rows, found.Rows...)
		if !found.Truncated || len(found.Rows) == 0 {
			return all
		}
		lastKey = found.Rows[len(found.Rows)-1].Key
	}
}
