package evacuation_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/evacuation"
	"gypsumward/core/mirror"
	"gypsumward/core/outage"
	"gypsumward/core/table"
)

// evacuateBound is the time within which no more work may be started in an evacuated data centre, and
// applyBound that within which a configuration is in force, which sets how often the rows are read.
const (
	evacuateBound = 5 * time.Second
	applyBound    = 2 * time.Second
)

// lossyStore is a store that may have lost the history of its changes.
type lossyStore struct {
	*outage.Store
	lost atomic.Bool
}

func (s *lossyStore) Watch(ctx context.Context, w table.Watch) (table.WatchResult, error) {
	if s.lost.Load() {
		return table.WatchResult{HistoryLost: true}, nil
	}
	return s.Store.Watch(ctx, w)
}

// wallClock is the clock of the bubble of a test.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// follow keeps the data centres up to date from the rows of s until ctx ends.
func follow(ctx context.Context, s mirror.Store) *evacuation.Zones {
	z := &evacuation.Zones{Clock: wallClock{}, Log: log.NewNopLogger(), Decode: decode, Count: func(string, int) {}}
	wait, timeout := mirror.Intervals(applyBound)
	m := &mirror.Mirror{Store: s, Prefix: "zone/", Wait: wait, Timeout: timeout, OnRows: z.Apply, PollInterval: func() time.Duration { return 10 * time.Millisecond }}
	go m.Run(ctx)
	return z
}

// TestReadInTime guards against an evacuation that becomes known too late: while the store answers slowly,
// after it has lost its history, and as soon as it answers again after it has not. Until then the last
// known set stays.
func TestReadInTime(t *testing.T) {
	t.Parallel()
	for _, mode := range []outage.Mode{outage.None, outage.Slow, outage.Silent, outage.Reset, outage.Busy} {
		for _, lost := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				s := &lossyStore{Store: &outage.Store{}}
				s.Set("zone/first", nil)
				z := follow(ctx, s)
				time.Sleep(time.Second)
				s.Disturb(mode)
				time.Sleep(time.Second)
				s.lost.Store(lost)
				s.Set("zone/second", nil)
				if mode != outage.None && mode != outage.Slow {
					time.Sleep(20 * time.Second)
					state, _ := z.Current()
					require.Contains(t, state.Zones, "first", mode)
					s.Disturb(outage.None)
				}
				time.Sleep(evacuateBound)
				state, _ := z.Current()
				require.Equal(t, []string{"first", "second"}, state.Zones, "mode %q, history lost: %v", mode, lost)
			})
		}
	}
}
