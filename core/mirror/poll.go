package mirror

import (
	"context"
	"time"

	"gypsumward/core/table"
)

// Poll reads the rows under a prefix at intervals, for rows that change so often that
// polling costs less than a watch. Its fields must be set before Run.
type Poll struct {
	Store   Store
	Prefix  string
	Timeout time.Duration // of a call; zero means DefaultTimeout

	// Every returns the poll interval. It is called after each poll.
	Every func() time.Duration
	// Now requests an immediate poll by each value it delivers. It may be nil.
	Now <-chan struct{}
	// Take receives all rows after every successful poll; whole is always true.
	Take func(rows []table.Row, whole bool)
	// Fail is called with the error of each failed poll. It may be nil.
	Fail func(err error)
}

// Run polls until ctx ends.
func (p *Poll) Run(ctx context.Context) {
	m := Mirror{Store: p.Store, Prefix: p.Prefix, Timeout: p.Timeout, Take: p.Take}
	if m.Timeout == 0 {
		m.Timeout = DefaultTimeout
	}
	for ctx.Err() == nil {
		_, err := m.readAll(ctx)
		if err != nil && p.Fail != nil && ctx.Err() == nil {
			p.Fail(err)
		}
		t := time.NewTimer(p.Every())
		select {
		case <-t.C:
		case <-p.Now:
		case <-ctx.Done():
		}
		t.Stop()
	}
}
