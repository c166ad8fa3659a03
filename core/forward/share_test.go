package forward_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/admit/shares"
	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/forward"
	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// countingRunner stands for all runners: each call takes 200 ms, and the peak number
// of concurrent calls is recorded.
type countingRunner struct {
	current, peak atomic.Int64
}

func (b *countingRunner) Run(_ context.Context, _ string, c target.Call) targetclient.Outcome {
	n := b.current.Add(1)
	defer b.current.Add(-1)
	for most := b.peak.Load(); n > most && !b.peak.CompareAndSwap(most, n); {
		most = b.peak.Load()
	}
	time.Sleep(200 * time.Millisecond)
	return targetclient.Outcome{Ran: api.RanYes, Reply: target.Reply{ID: c.ID, Output: c.Input}}
}

// usageLink sends usage to another instance of the same data centre, unless it is
// cut.
type usageLink struct {
	to  *forward.Forwarder
	cut *atomic.Bool
}

func (c usageLink) SendUsage(_ context.Context, u shares.Usage) {
	if !c.cut.Load() {
		c.to.ReceiveUsage(u)
	}
}

// TestShare sends all requests to one of two instances. That instance must use more
// than its even part of the 32 slots while it receives the usage of the other, and
// must fall back to the even part while it does not: two instances that cannot
// communicate would otherwise overload the runners together.
func TestShare(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b, cut := &countingRunner{}, &atomic.Bool{}
		here := newCentre("como", 4, nil, &memoryTable{last: map[string]claim.Row{}})
		there := newCentre("como", 4, nil, &memoryTable{last: map[string]claim.Row{}})
		there.ID = "como-2@1"
		here.Runners, there.Runners = b, &countingRunner{}
		here.UsageSender, there.UsageSender = usageLink{to: there, cut: cut}, usageLink{to: here, cut: cut}
		go here.Run(ctx)
		go there.Run(ctx)
		synctest.Wait()
		here.SetInstances(2, 0)
		there.SetInstances(2, 0)
		var callers sync.WaitGroup
		most := func(wait time.Duration) int64 {
			sendLoad(here, &callers, wait)
			b.peak.Store(0)
			sendLoad(here, &callers, 2*time.Second)
			return b.peak.Load()
		}
		cut.Store(true)
		require.EqualValues(t, 16, most(2*time.Second), "cut from the start")
		cut.Store(false)
		require.Greater(t, most(6*time.Second), int64(24), "the other is asked for nothing")
		cut.Store(true)
		require.EqualValues(t, 16, most(6*time.Second), "cut later")
		callers.Wait()
		cancel()
		synctest.Wait()
	})
}

// sendLoad sends 200 requests a second for the given duration.
func sendLoad(f *forward.Forwarder, callers *sync.WaitGroup, length time.Duration) {
	for range length / (5 * time.Millisecond) {
		callers.Go(func() {
			_, _ = f.Send(context.Background(), api.Request{Team: "crew", Kind: "price", Repeatable: true, Deadline: span.Second})
		})
		time.Sleep(5 * time.Millisecond)
	}
}
