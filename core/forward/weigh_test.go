package forward_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/fair"
	"gypsumward/core/forward"
	"gypsumward/core/retry"
	"gypsumward/core/span"
	"gypsumward/core/table"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// brokenRunner stands for all runners: every call ends with a broken connection.
type brokenRunner struct {
	calls atomic.Int64
}

func (b *brokenRunner) Run(context.Context, string, target.Call) targetclient.Outcome {
	b.calls.Add(1)
	return targetclient.Outcome{Ran: api.RanUnknown, Err: "broken off"}
}

// TestRetryBudget guards against retries beyond the budget of a team. This would
// happen if the retries were not taken from the team's own budget, or if SetTeamWeight
// with an unchanged ratio refilled it.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	const requests = 30
	for _, c := range []struct {
		name  string
		ratio float64
		floor float64 // retries per second
		burst float64 // number of retries
	}{
		{"off", 0, 0, 0},
		{"even", 1, retry.DefaultRate, retry.DefaultBurst},
	} {
		synctest.Test(t, func(t *testing.T) {
			runners := &brokenRunner{}
			f := forward.New(fair.Settings{}, choose.Settings{}, retry.Settings{})
			f.Centre, f.Runners, f.Clock = "como", runners, clockwork.NewRealClock()
			ctx, cancel := context.WithCancel(t.Context())
			go f.Run(ctx)
			var members []table.Member
			for _, id := range []string{"r1", "r2", "r3"} {
				members = append(members, table.Member{ID: id, Kind: table.KindRunner, Centre: "como", Addr: id, Slots: 8, MaxConns: 60})
			}
			f.SetMembers(members)
			began := time.Now()
			for range requests {
				f.SetTeamWeight("crew", 2, 0.1, c.ratio)
				_, r := f.Send(ctx, api.Request{Team: "crew", Kind: "price", Repeatable: true, Deadline: span.Second})
				require.NotNil(t, r, c.name)
			}
			retries := float64(runners.calls.Load() - requests)
			require.GreaterOrEqual(t, retries, c.ratio*requests, c.name)
			require.LessOrEqual(t, retries, c.ratio*requests+c.burst+c.floor*time.Since(began).Seconds(), c.name)
			cancel()
			synctest.Wait()
		})
	}
}
