package mirror

import (
	"context"
	"time"

	"gypsumward/core/table"
)

// Poller reads the rows under a prefix at intervals, for rows that change so often that
// polling costs less than a watch. Its fields must be set before Run.
type Poller struct {
	Store   Store
	Prefix  string
	After   string        // keys up to this one are left out; empty for none
	Through string        // keys after this one are left out; empty for none
	Timeout time.Duration // of a first call; zero means DefaultTimeout

	// Interval returns the poll interval. It is called after each poll.
	Interval func() time.Duration
	// Refresh requests an immediate poll by each value it delivers. It may be nil.
	Refresh <-chan struct{}
	// OnRows receives all rows after every successful poll; whole is always true.
	OnRows func(rows []table.Row, whole bool)
	// OnError is called after each poll that failed. It may be nil.
	OnError func(f Failure)
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	m := Mirror{Store: p.Store, Prefix: p.Prefix, Timeout: p.Timeout, OnRows: p.OnRows, OnError: p.OnError, after: p.After, through: p.Through}
	if m.Timeout == 0 {
		m.Timeout = DefaultTimeout
	}
	m.timeout.reset(m.Timeout)
	m.lastRead = time.Now()
	for ctx.Err() == nil {
		began := time.Now()
		_, err := m.readAll(ctx)
		limit := m.timeout.next
		m.timeout.record(time.Since(began), err)
		switch {
		case err == nil:
			m.lastRead = time.Now()
		case ctx.Err() == nil:
			m.report(err, limit)
		}
		t := time.NewTimer(p.Interval())
		select {
		case <-t.C:
		case <-p.Refresh:
		case <-ctx.Done():
		}
		t.Stop()
	}
}
