package mirror

import (
	"context"
	"sync"
	"time"

	"gypsumward/core/table"
)

// Scanner is the part of the store that Page uses.
type Scanner interface {
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Page reads one page of rows, with calls until one succeeds. A call that receives nothing for the
// time-out is followed by another one, as in Mirror. Ok is false if ctx ends first.
func Page(ctx context.Context, store Scanner, q table.Scan, timeout time.Duration) (found table.Found, ok bool) {
	var calls sync.WaitGroup
	defer calls.Wait()
	r := &race{
		ctx: ctx, timeout: timeout, calls: &calls,
		perform: func(ctx context.Context, _ time.Duration) reply {
			page, err := store.Scan(ctx, q)
			return reply{page: page, err: err}
		},
	}
	got, ok := r.run(0)
	return got.page, ok
}
