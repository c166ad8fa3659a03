package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/outage"
	"gypsumward/core/roster"
)

// TestRegisterSoonAfterOutage guards against an instance that other instances do not know for seconds
// after the store is back, the longer the store was away when it started.
func TestRegisterSoonAfterOutage(t *testing.T) {
	t.Parallel()
	const bound = 2 * time.Second
	for _, mode := range []outage.Mode{outage.Silent, outage.Busy, outage.Reset, outage.Slow} {
		for range 20 {
			synctest.Test(t, func(t *testing.T) {
				for _, length := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, time.Minute} {
					ctx, cancel := context.WithCancel(t.Context())
					s := &outage.Store{}
					s.Disturb(mode)
					writer := &roster.Roster{Store: s, Self: election.Member{Node: "a"}, Clock: wallClock{}, Log: log.NewNopLogger()}
					reader := &roster.Roster{
						Store: s, Self: election.Member{Node: "b"}, Clock: wallClock{}, Log: log.NewNopLogger(),
						Interval: func() time.Duration { return bound / 4 },
					}
					go writer.Register(ctx)
					go reader.Run(ctx)
					time.Sleep(length)
					s.Disturb(outage.None)
					time.Sleep(bound + bound/4)
					synctest.Wait()
					require.Len(t, reader.Members(), 1, "after %v of mode %v", length, mode)
					cancel()
					synctest.Wait()
				}
			})
		}
	}
}
