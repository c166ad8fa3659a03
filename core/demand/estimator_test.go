package demand_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/demand"
)

// TestEstimatesFromSums checks that the needs of three kinds, whose
// declarations are wrong by up to a factor of ten, are estimated from noisy
// sums over mixes of them.
func TestEstimatesFromSums(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	l := demand.New(demand.Settings{})
	truth := []float64{10, 1, 0.1}
	kinds := make([]*demand.Kind, len(truth))
	for i := range kinds {
		kinds[i] = l.Kind("team", string(rune('a'+i)))
	}
	for range 300 {
		var mix []demand.KindLoad
		var use demand.Usage
		for i, k := range kinds {
			n := 1 + rng.IntN(5)
			mix = append(mix, demand.KindLoad{Kind: k, Count: n, Cores: float64(n), Memory: float64(n << 28)})
			use.Cores += truth[i] * float64(n)
			use.Memory += truth[i] * float64(n<<28)
		}
		use.Cores *= 0.95 + 0.1*rng.Float64()
		l.ObserveUsage(mix, use)
	}
	for i, k := range kinds {
		cores, memory := k.MeanNeed(1, 1)
		require.InDelta(t, truth[i], cores, 0.1+0.2*truth[i])
		require.InDelta(t, truth[i], memory, 0.1+0.2*truth[i])
		require.True(t, k.Known())
	}
}

// TestStragglerMovesTimeLittle guards against a run time estimate that follows
// single stragglers.
func TestStragglerMovesTimeLittle(t *testing.T) {
	t.Parallel()
	k := demand.New(demand.Settings{}).Kind("team", "kind")
	require.Equal(t, demand.DefaultRunTime, k.RunTime(0))
	require.Equal(t, time.Second, k.RunTime(time.Second))
	for i := range 200 {
		runTime := 100 * time.Millisecond
		if i%50 == 49 {
			runTime *= 20
		}
		k.ObserveRunTime(runTime)
	}
	require.InDelta(t, 100*time.Millisecond, k.RunTime(time.Second), float64(15*time.Millisecond))
}

// TestDropsUnusedKinds guards against unbounded memory when callers use many
// kinds: only the kinds not used recently are dropped.
func TestDropsUnusedKinds(t *testing.T) {
	t.Parallel()
	l := demand.New(demand.Settings{MaxKinds: 4})
	a, b := l.Kind("team", "a"), l.Kind("team", "b")
	require.Same(t, a, l.Kind("team", "a"))
	l.Kind("team", "c")
	require.Same(t, a, l.Kind("team", "a"))
	require.True(t, b.Dropped())
	require.False(t, a.Dropped())
}
