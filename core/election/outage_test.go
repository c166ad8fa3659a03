package election_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/outage"
)

// TestHolderKnownSoonAfterOutage guards against instances that learn of a new holder the later, the
// longer the store was away before.
func TestHolderKnownSoonAfterOutage(t *testing.T) {
	t.Parallel()
	const bound = 2 * time.Second
	for _, mode := range []outage.Mode{outage.Silent, outage.Slow, outage.Busy, outage.Reset} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &outage.Store{}
			e := election.New("c0", election.Settings{})
			e.Clock, e.Self, e.Leader, e.Store = clock{}, election.Member{Node: "z", Incarnation: "z@1"}, &member{elector: e}, s
			e.ConnectionRefused = func(context.Context, string) bool { return false }
			e.PromisedUntil = func() time.Time { return time.Time{} }
			e.StopClaiming()
			go e.Run(ctx)
			for i, length := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, time.Minute} {
				s.Disturb(mode)
				time.Sleep(length)
				s.Disturb(outage.None)
				value, err := json.Marshal(election.Holder{Member: election.Member{Node: "h", Incarnation: "h@1"}, TermNumber: i + 1})
				require.NoError(t, err)
				epoch := s.Set(election.Key("c0", election.HolderRow), value)
				time.Sleep(bound)
				synctest.Wait()
				_, version, _ := e.Holder()
				require.Equal(t, epoch, version, "after %v of mode %v", length, mode)
			}
			cancel()
			synctest.Wait()
		})
	}
}
