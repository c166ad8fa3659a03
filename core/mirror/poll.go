package mirror

import (
	"context"
	"time"

	"gypsumward/core/table"
)

// Poll is a copy of rows that change so often that reading them at times costs less
// than a watch. Its fields are set before Run.
type Poll struct {
	Store   Store
	Prefix  string
	Timeout time.Duration // for an answer; zero means DefaultTimeout

	// Every returns the time from one reading to the next.
	Every func() time.Duration
	// Now is read from when the rows are wanted at once; may be nil.
	Now <-chan struct{}
	// Take takes all rows.
	Take func(rows []table.Row, whole bool)
	// Fail is told of each call that failed; may be nil.
	Fail func(err error)
}

// Run reads until ctx ends.
func (p *Poll) Run(ctx context.Context) {
	m := Mirror{Store: p.Store, Prefix: p.Prefix, Timeout: p.Timeout, Take: p.Take}
	if m.Timeout == 0 {
		m.Timeout = DefaultTimeout
	}
	for ctx.Err() == nil {
		_, err := m.read(ctx)
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
