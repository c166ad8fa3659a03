package lookup_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"gypsumward/core/lookup"
	"gypsumward/core/table"
)

// blockedRows are rows whose reads last until they are released.
type blockedRows struct {
	started chan string
	release chan struct{}
}

func (r blockedRows) Read(_ context.Context, q table.Read) (table.Found, error) {
	r.started <- q.Keys[0]
	<-r.release
	return table.Found{Version: 7}, nil
}

// TestReadsAtOnce guards against reads without bound, and against one that waits although too many do.
func TestReadsAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rows := blockedRows{make(chan string, 100), make(chan struct{})}
		refused := 0
		s := &lookup.Store{Rows: rows, Reads: 2, OnRefused: func() { refused++ }}
		results := make(chan error, 100)
		read := func(ctx context.Context, key string) {
			_, err := s.Read(ctx, table.Read{Keys: []string{key}})
			results <- err
		}
		for range 33 {
			go read(t.Context(), "k")
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		go read(ctx, "cancelled")
		synctest.Wait()
		require.Len(t, rows.started, 2)
		read(t.Context(), "refused")
		require.Equal(t, lookup.ErrTooMany, <-results)
		require.Equal(t, 1, refused)
		cancel()
		require.Equal(t, context.Canceled, <-results)
		close(rows.release)
		for range 33 {
			require.NoError(t, <-results)
		}
		read(t.Context(), "last")
		require.NoError(t, <-results)
	})
}
