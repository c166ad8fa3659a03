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
	Timeout time.Duration // for which nothing may arrive until another call is made; zero means DefaultTimeout

	// Interval returns the poll interval. It is called after each successful poll; a failed one is repeated at once.
	Interval func() time.Duration
	// Refresh requests an immediate poll by each value it delivers. It may be nil.
	Refresh <-chan struct{}
	// OnRows receives all rows after every successful poll; whole is always true.
	OnRows func(rows []table.Row, whole bool)
	// OnRead is called after every successful poll, before OnRows. It may be nil.
	OnRead func()
	// OnError is called after each call that failed or has received nothing in time. It may be nil.
	OnError func(f Failure)
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	m := Mirror{
		Store: p.Store, Prefix: p.Prefix, Timeout: p.Timeout, OnRead: p.OnRead, OnRows: p.OnRows, OnError: p.OnError,
		PollInterval: p.Interval, Refresh: p.Refresh, after: p.After, through: p.Through,
	}
	m.run(ctx, false)
}
