package forward_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/forward"
	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// stragglingRunner stands for all runners: every tenth call takes 2 s, the others
// 100 ms.
type stragglingRunner struct {
	calls atomic.Int64
}

func (s *stragglingRunner) Run(_ context.Context, _ string, c target.Call) targetclient.Outcome {
	took := 100 * time.Millisecond
	if s.calls.Add(1)%10 == 0 {
		took = 2 * time.Second
	}
	time.Sleep(took)
	return targetclient.Outcome{Ran: api.RanYes, Reply: target.Reply{ID: c.ID, Output: c.Input}}
}

// TestHedge guards against slow requests that are not hedged, and against hedges
// that are not allowed: only repeatable requests of a team with hedging may get a
// second attempt, whose answer then hides that the first attempt is slow.
func TestHedge(t *testing.T) {
	t.Parallel()
	const requests = 100
	for _, c := range []struct {
		name       string
		part       float64
		repeatable bool
		hedges     bool
	}{
		{"off", 0, true, false},
		{"on", 0.5, true, true},
		{"not repeatable", 0.5, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &stragglingRunner{}
			f := newCentre("como", 4, nil, &memoryTable{last: map[string]claim.Row{}})
			f.Runners = s
			go f.Run(ctx)
			synctest.Wait()
			f.SetHedges([]forward.HedgeConfig{{Team: "crew", MaxRatio: c.part}})
			slow := 0
			for i := range requests {
				began := time.Now()
				spec := api.Request{Team: "crew", Kind: "price", Repeatable: c.repeatable, Deadline: 10 * span.Second}
				if !c.repeatable {
					spec.ID = string(rune('A' + i))
				}
				a, r := f.Send(ctx, spec)
				require.Nil(t, r, c.name)
				require.Equal(t, api.StateComplete, a.State, c.name)
				if time.Since(began) > time.Second {
					slow++
				}
			}
			time.Sleep(3 * time.Second)
			synctest.Wait()
			sent, wasted := f.HedgeStats()
			require.Equal(t, s.calls.Load()-requests, sent, c.name)
			require.Equal(t, sent, wasted, c.name)
			require.Equal(t, c.hedges, sent > 0, c.name)
			if c.hedges {
				require.Zero(t, slow, c.name)
			} else {
				require.Equal(t, requests/10, slow, c.name)
			}
			cancel()
			synctest.Wait()
		})
	}
}
