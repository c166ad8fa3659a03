package resubmit_test

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/table"
	"gypsumward/core/table/memstore"
)

// storeHost is the host of the store in the network.
const storeHost = "store"

const errNoAnswer = errors.ConstError("no answer of the store")

// store is the store as one instance reaches it.
type store struct {
	*memstore.Store
	from *instance
}

// travel carries a request to the store, or its reply back if back is true.
func (s store) travel(ctx context.Context, back bool) error {
	from, to := s.from.name, storeHost
	if back {
		from, to = to, from
	}
	if s.from.dead.Load() {
		<-ctx.Done()
		return errNoAnswer
	}
	if !s.from.world.net.travel(from, to, ctx.Done()) {
		return errNoAnswer
	}
	return nil
}

func (s store) Write(ctx context.Context, tx table.Write) (table.Written, error) {
	if err := s.travel(ctx, false); err != nil {
		return table.Written{}, err
	}
	written, err := s.Store.Write(ctx, tx)
	s.from.world.rowsChanged()
	if err == nil {
		err = s.travel(ctx, true)
	}
	if err != nil {
		return table.Written{}, err
	}
	return written, nil
}

func (s store) Scan(ctx context.Context, q table.Scan) (table.Found, error) {
	if err := s.travel(ctx, false); err != nil {
		return table.Found{}, err
	}
	found, err := s.Store.Scan(ctx, q)
	if err == nil {
		err = s.travel(ctx, true)
	}
	return found, err
}

func (s store) Read(_ context.Context, q table.Read) (table.Found, error) {
	var found table.Found
	for _, key := range q.Keys {
		row := s.Row(key)
		row.Key = key
		found.Rows = append(found.Rows, row)
	}
	return found, nil
}

func (s store) Watch(ctx context.Context, q table.Watch) (table.WatchResult, error) {
	if err := s.travel(ctx, false); err != nil {
		return table.WatchResult{}, err
	}
	limit := time.NewTimer(q.Wait.Duration())
	defer limit.Stop()
	for {
		changed := s.from.world.changedRows()
		found, err := s.Store.Watch(ctx, table.Watch{Prefix: q.Prefix, After: q.After})
		if err != nil {
			return found, err
		}
		if len(found.Rows) > 0 {
			return found, s.travel(ctx, true)
		}
		select {
		case <-changed:
		case <-limit.C:
			return found, s.travel(ctx, true)
		case <-ctx.Done():
			return table.WatchResult{}, ctx.Err()
		}
	}
}
