package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/retry"
)

// TestBudgetBounds guards against retries that overload a fleet: for random
// sequences of attempts the retries have to stay within the ratio of the first
// attempts, the constant rate and the burst.
func TestBudgetBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := retry.Settings{Ratio: 0.2, Rate: 2, Burst: 5}
		b, start := retry.NewBudget(s), time.Unix(1000, 0)
		now, firsts, retries := start, 0, 0
		b.RecordFirst(now)
		for range rapid.IntRange(0, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst(now)
				firsts++
			} else if b.TryTake(now) {
				retries++
			}
		}
		limit := s.Burst + s.Ratio*float64(firsts+1) + s.Rate*now.Sub(start).Seconds()
		require.LessOrEqual(t, float64(retries), limit+1e-6)
	})
}

// TestBudgetClock checks that a clock that steps back adds no retries.
func TestBudgetClock(t *testing.T) {
	t.Parallel()
	b, now := retry.NewBudget(retry.Settings{Ratio: -1, Rate: 1, Burst: 1}), time.Unix(1000, 0)
	require.True(t, b.TryTake(now))
	require.False(t, b.TryTake(now.Add(-time.Hour)))
	require.False(t, b.TryTake(now.Add(-time.Hour)))
	require.True(t, b.TryTake(now.Add(time.Second-time.Hour)))
}

// TestBackoff checks that waits use the full range up to a bound that doubles
// with each attempt up to the limit.
func TestBackoff(t *testing.T) {
	t.Parallel()
	s, rnd := retry.Settings{}.WithDefaults(), rand.New(rand.NewPCG(1, 2))
	for attempt, bound := range map[int]time.Duration{
		0: 20 * time.Millisecond, 1: 20 * time.Millisecond, 2: 40 * time.Millisecond,
		5: 320 * time.Millisecond, 6: 500 * time.Millisecond, 1000: 500 * time.Millisecond,
	} {
		longest := time.Duration(0)
		for range 1000 {
			longest = max(longest, retry.Backoff(attempt, s, rnd))
		}
		require.LessOrEqual(t, longest, bound, attempt)
		require.Greater(t, longest, bound*9/10, attempt)
	}
}

// TestHedges checks that there are no hedges by default nor where the second
// attempt could not end in time, and that hedges stay within their ratio of the
// first attempts.
func TestHedges(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	_, ok := retry.NewHedger(retry.Settings{}).Delay(time.Second, 0)
	require.False(t, ok)
	h := retry.NewHedger(retry.Settings{HedgeAfter: 2, HedgeRatio: 0.1, Burst: 2})
	wait, ok := h.Delay(time.Second, 10*time.Second)
	require.True(t, ok)
	require.Equal(t, 2*time.Second, wait)
	_, ok = h.Delay(time.Second, 2*time.Second)
	require.False(t, ok, "the second attempt would end after the deadline")
	_, ok = h.Delay(0, 0)
	require.False(t, ok, "the run time is unknown")
	taken := 0
	for range 1000 {
		h.RecordFirst(now)
		if h.TryTake(now) {
			taken++
		}
	}
	require.InDelta(t, 100, taken, 2)
}
