package notice_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/notice"
	"gypsumward/core/outage"
)

// TestNoticeSoonAfterOutage guards against a holder that stays unknown the longer, the longer the store
// was away when it changed.
func TestNoticeSoonAfterOutage(t *testing.T) {
	t.Parallel()
	const bound = 2 * time.Second
	for _, mode := range []outage.Mode{outage.Silent, outage.Busy, outage.Reset, outage.Slow} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &outage.Store{}
			publisher := &notice.Board{Store: s, Log: log.NewNopLogger(), OnNotice: func(string, election.Notice) {}}
			reader := &notice.Board{Store: s, Log: log.NewNopLogger(), OnNotice: func(string, election.Notice) {}}
			go reader.Run(ctx)
			for _, length := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, time.Minute} {
				epoch := s.Set("c0/cell/holder", nil)
				go publisher.Publish(ctx, "c0", election.Notice{Epoch: epoch})
				s.Disturb(mode)
				time.Sleep(length)
				s.Disturb(outage.None)
				time.Sleep(bound)
				synctest.Wait()
				n, ok := reader.Get("c0")
				require.True(t, ok)
				require.Equal(t, epoch, n.Epoch, "after %v of mode %v", length, mode)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// TestPublishReportsFailure guards against a holder that nobody hears of since the store was away for
// longer than the time for one publication.
func TestPublishReportsFailure(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &outage.Store{}
		b := &notice.Board{Store: s, Log: log.NewNopLogger(), OnNotice: func(string, election.Notice) {}}
		n := election.Notice{Epoch: s.Set("c0/cell/holder", nil)}
		s.Disturb(outage.Silent)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		require.False(t, b.Publish(ctx, "c0", n))
		cancel()
		s.Disturb(outage.None)
		require.True(t, b.Publish(t.Context(), "c0", n))
	})
}
