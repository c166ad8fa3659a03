package mirror

import (
	"context"
	"time"

	"gypsumward/core/attempt"
	"gypsumward/core/monotonic"
	"gypsumward/core/span"
	"gypsumward/core/table"
)

// Defaults of Mirror. The delay before a retry doubles with every failure in a row, and the time-out
// with every call in a row that has run out of time: the rows may be too many for the link to carry
// them in less, and a call that is given up has to begin anew.
const (
	DefaultWait       = time.Second
	DefaultTimeout    = 700 * time.Millisecond
	DefaultRetryDelay = 60 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	maxTimeout        = 10 * time.Second
)

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
	Timeout time.Duration // of a first call, in addition to Wait; zero means DefaultTimeout

	// OnRows receives rows after every successful call: all rows if whole is true, otherwise
	// those that have changed. A changed row of version zero was removed.
	OnRows func(rows []table.Row, whole bool)
	// OnError is called after each call that failed or was given up. It may be nil.
	OnError func(f Failure)
	// PollInterval returns the time to wait between a reply and the next call. It may be nil.
	PollInterval func() time.Duration
	// Refresh ends such a wait early. It may be nil.
	Refresh <-chan struct{}

	after, through string // bounds of the keys, see Poller
	timeout        timeout
	lastRead       time.Time // time of the last successful call, or of the start of Run
	call           *attempt.Attempt
}

// Run reads the rows and then watches them until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if m.Wait == 0 {
		m.Wait = DefaultWait
	}
	if m.Timeout == 0 {
		m.Timeout = DefaultTimeout
	}
	m.timeout.reset(m.Timeout)
	m.lastRead = time.Now()
	version, retryDelay := unread, DefaultRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		next, err := m.advance(ctx, version)
		took := time.Since(began)
		if version != unread {
			took -= m.Wait
		}
		limit := m.timeout.next
		m.timeout.record(took, err)
		if err == nil {
			m.lastRead = time.Now()
			version, retryDelay = next, DefaultRetryDelay
			m.awaitNextCall(ctx)
			continue
		}
		if ctx.Err() == nil {
			m.report(err, limit)
		}
		monotonic.Sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// report reports that the last call failed.
func (m *Mirror) report(err error, timeout time.Duration) {
	if m.OnError == nil {
		return
	}
	received, _ := m.call.Received()
	m.OnError(Failure{Err: err, Age: time.Since(m.lastRead), Timeout: timeout, Received: received})
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

// advance reads all rows if version is unread, and otherwise watches for changes after
// version. It returns the version from which to continue, which is unread if the rows
// have to be read again.
func (m *Mirror) advance(ctx context.Context, version int64) (int64, error) {
	if version == unread {
		return m.readAll(ctx)
	}
	m.call = &attempt.Attempt{}
	limited, cancel := context.WithTimeout(m.call.WithContext(ctx), m.Wait+m.timeout.next)
	defer cancel()
	changes, err := m.Store.Watch(limited, table.Watch{Prefix: m.Prefix, After: version, Wait: span.Of(m.Wait)})
	if err != nil || changes.HistoryLost {
		return unread, err
	}
	m.OnRows(changes.Rows, false)
	return max(version, changes.Version), nil
}

// readAll reads all rows, page by page. It returns the version of the first page, so that
// a watch from there misses no change made between the pages.
func (m *Mirror) readAll(ctx context.Context) (int64, error) {
	var rows []table.Row
	version := unread
	lastKey := m.after
	for {
		m.call = &attempt.Attempt{}
		limited, cancel := context.WithTimeout(m.call.WithContext(ctx), m.timeout.next)
		found, err := m.Store.Scan(limited, table.Scan{Prefix: m.Prefix, After: lastKey, Through: m.through, Limit: table.MaxScanRows})
		cancel()
		if err != nil {
			return unread, err
		}
		if version == unread {
			version = found.Version
		}
		rows = append(rows, found.Rows...)
		if !found.Truncated || len(found.Rows) == 0 {
			break
		}
		lastKey = found.Rows[len(found.Rows)-1].Key
	}
	m.OnRows(rows, true)
	return version, nil
}
