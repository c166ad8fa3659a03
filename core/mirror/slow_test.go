package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/mirror"
	"gypsumward/core/table"
)

// slowStore takes some time for each reply, as over a narrow link.
type slowStore struct{ takes time.Duration }

func (s slowStore) Scan(ctx context.Context, _ table.Scan) (table.Found, error) {
	select {
	case <-time.After(s.takes):
		return table.Found{Rows: []table.Row{row("/op/config", 1)}, Version: 1}, nil
	case <-ctx.Done():
		return table.Found{}, ctx.Err()
	}
}

func (s slowStore) Watch(ctx context.Context, w table.Watch) (table.WatchResult, error) {
	select {
	case <-time.After(w.Wait.Duration() + s.takes):
		return table.WatchResult{Version: 1}, nil
	case <-ctx.Done():
		return table.WatchResult{}, ctx.Err()
	}
}

// TestSlowRead guards against rows that are never read because each reply takes longer than the
// time-out: each call begins anew and fills the link for nothing. It happens after all processes have
// started at once, with a large configuration.
func TestSlowRead(t *testing.T) {
	t.Parallel()
	for _, takes := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			read := make(chan time.Time, 10000)
			m := &mirror.Mirror{Store: slowStore{takes}, Prefix: "/op/", OnRows: func([]table.Row, bool) { read <- time.Now() }}
			began := time.Now()
			go m.Run(ctx)
			time.Sleep(time.Minute)
			require.NotEmpty(t, read, "a reply takes %v", takes)
			require.Less(t, (<-read).Sub(began), 4*takes)
			cancel()
			synctest.Wait()
		})
	}
}

// TestSlowPoll is as TestSlowRead, for rows that are read at intervals.
func TestSlowPoll(t *testing.T) {
	t.Parallel()
	for _, takes := range []time.Duration{time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			polls := 0
			p := &mirror.Poller{
				Store: slowStore{takes}, Prefix: "/servers/", Interval: func() time.Duration { return time.Second },
				OnRows: func([]table.Row, bool) { polls++ },
			}
			go p.Run(ctx)
			time.Sleep(time.Minute)
			cancel()
			synctest.Wait()
			require.GreaterOrEqual(t, polls, 10, "a reply takes %v", takes)
		})
	}
}
