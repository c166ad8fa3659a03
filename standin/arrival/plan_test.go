package arrival_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/standin/arrival"
)

func plan(t *testing.T) arrival.Plan {
	t.Helper()
	p := arrival.Plan{
		Seed: 7, Length: 20 * time.Second, Tasks: 5, Kinds: []string{"price", "slot"}, NonRepeatableShare: 0.5,
		MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second, Deadline: time.Second,
	}
	require.NoError(t, p.Requests.Set("crew=20/s"))
	require.NoError(t, p.Requests.Set("quotes=10/s"))
	require.NoError(t, p.Jobs.Set("crew=1/s"))
	require.NoError(t, p.Flood.Set("crew,9,10,5s,10s"))
	return p
}

// TestArrivals checks that the arrivals of a plan are reproducible, sorted, have
// unique ids and match its rates, bounds and flood.
func TestArrivals(t *testing.T) {
	t.Parallel()
	p := plan(t)
	all := p.Arrivals()
	require.Equal(t, all, p.Arrivals(), "the same seed gives the same arrivals")
	ids := make(map[string]bool)
	counts := make(map[arrival.Group]int)
	for i, a := range all {
		key := a.Team + "/" + a.ID
		require.False(t, ids[key], key)
		ids[key] = true
		counts[a.Group]++
		require.True(t, i == 0 || all[i-1].At <= a.At)
		inside := a.At >= 5*time.Second && a.At < 15*time.Second
		require.Equal(t, inside, a.Group != arrival.Steady)
		if a.Group == arrival.Excess {
			require.Equal(t, "crew", a.Team)
			require.Equal(t, 9, a.Urgency)
		}
		require.True(t, a.RunTime >= p.MinRunTime && a.RunTime <= p.MaxRunTime)
		require.False(t, a.NonRepeatable && a.Tasks > 0)
	}
	require.InDelta(t, 2000, counts[arrival.Excess], 200)
	require.InDelta(t, 310, counts[arrival.Steady], 80)
}

// TestFlagErrors checks that malformed rates and floods are refused.
func TestFlagErrors(t *testing.T) {
	t.Parallel()
	for _, bad := range []string{"", "crew", "crew=20", "=20/s", "crew=-1/s", "crew=x/s"} {
		require.Error(t, new(arrival.Rates).Set(bad), bad)
	}
	for _, bad := range []string{"", "crew,9,10,5s", "crew,x,10,5s,1s", "crew,9,10,5,1s", ",9,10,5s,1s"} {
		require.Error(t, new(arrival.Flood).Set(bad), bad)
	}
}
