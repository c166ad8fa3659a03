package eventloop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/table"
	"gypsumward/core/table/memstore"
)

// lateStore answers scans late.
type lateStore struct{ memstore.Store }

func (s *lateStore) Scan(ctx context.Context, q table.Scan) (table.Found, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Store.Scan(ctx, q)
}

// TestPendingBeforeRowsAreRead guards against a count of pending jobs by a new holder that does
// not know its jobs yet.
func TestPendingBeforeRowsAreRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := eventloop.New(election.Term{Epoch: 1, Number: 1}, "c0", cell.Settings{}, nil, &lateStore{}, clock{}, log.NewNopLogger(), noMetrics{})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		_, err := l.Pending(ctx, "q")
		require.ErrorIs(t, err, eventloop.ErrNotLoaded)
		time.Sleep(time.Second)
		_, err = l.Pending(ctx, "q")
		require.NoError(t, err)
		cancel()
		<-l.Done()
	})
}
