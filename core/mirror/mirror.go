package mirror

import (
	"context"
	"time"

	"gypsumward/core/span"
	"gypsumward/core/steady"
	"gypsumward/core/table"
)

// Defaults of Mirror.
const (
	DefaultWait    = time.Second
	DefaultTimeout = 700 * time.Millisecond
	DefaultPause   = 60 * time.Millisecond
	maxPause       = 500 * time.Millisecond
)

// Store is what a Mirror needs of the store.
type Store interface {
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
	Watch(ctx context.Context, w table.Watch) (table.Changes, error)
}

// Mirror follows the rows under a prefix. Its fields are set before Run.
type Mirror struct {
	Store   Store
	Prefix  string
	Wait    time.Duration // of the store for a change; zero means DefaultWait
	Timeout time.Duration // for an answer, besides Wait; zero means DefaultTimeout

	// Take takes rows: all there are if whole is set, else those that changed, where
	// one without version was removed. It is called after every answer.
	Take func(rows []table.Row, whole bool)
	// Fail is told of each call that failed; may be nil.
	Fail func(err error)
	// Rest returns how long to wait between an answer and the next call, which Wake cuts
	// short; both may be nil.
	Rest func() time.Duration
	Wake <-chan struct{}
}

// Run follows until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if m.Wait == 0 {
		m.Wait = DefaultWait
	}
	if m.Timeout == 0 {
		m.Timeout = DefaultTimeout
	}
	after, pause := unread, DefaultPause
	for ctx.Err() == nil {
		next, err := m.step(ctx, after)
		if err == nil {
			after, pause = next, DefaultPause
			m.rest(ctx)
			continue
		}
		if m.Fail != nil && ctx.Err() == nil {
			m.Fail(err)
		}
		steady.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

func (m *Mirror) rest(ctx context.Context) {
	if m.Rest == nil {
		return
	}
	d := m.Rest()
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.Wake:
	case <-ctx.Done():
	}
}

// unread stands for the version before the rows have been read.
const unread = int64(-1)

// step makes one call and returns the version to go on from, or unread to read anew.
func (m *Mirror) step(ctx context.Context, after int64) (int64, error) {
	if after == unread {
		return m.read(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, m.Wait+m.Timeout)
	defer cancel()
	changes, err := m.Store.Watch(limited, table.Watch{Prefix: m.Prefix, After: after, Wait: span.Of(m.Wait)})
	if err != nil || changes.Lost {
		return unread, err
	}
	m.Take(changes.Rows, false)
	return max(after, changes.Version), nil
}

// read reads all rows, page by page.
func (m *Mirror) read(ctx context.Context) (int64, error) {
	var rows []table.Row
	version := unread
	last := ""
	for {
		limited, cancel := context.WithTimeout(ctx, m.Timeout)
		found, err := m.Store.Scan(limited, table.Scan{Prefix: m.Prefix, After: last, Limit: table.MaxScan})
		cancel()
		if err != nil {
			return unread, err
		}
		if version == unread {
			version = found.Version
		}
		rows = append(rows, found.Rows...)
		if !found.More || len(found.Rows) == 0 {
			break
		}
		last = found.Rows[len(found.Rows)-1].Key
	}
	m.Take(rows, true)
	return version, nil
}
