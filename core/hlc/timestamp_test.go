package hlc_test

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/hlc"
)

// TestCausalOrder exchanges messages between processes whose clocks differ and are set
// forwards and backwards. Every timestamp must be later than all that its process has
// seen.
func TestCausalOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		start := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
		clocks := make([]*hlc.Clock, processes)
		wallClocks := make([]*clockwork.FakeClock, processes)
		known := make([]hlc.Timestamp, processes)
		for i := range clocks {
			skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "skew")) * time.Millisecond
			wallClocks[i] = clockwork.NewFakeClockAt(start.Add(skew))
			clocks[i] = &hlc.Clock{Wall: wallClocks[i]}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, processes-1).Draw(t, "from")
			to := rapid.IntRange(0, processes-1).Draw(t, "to")
			wallClocks[from].Advance(time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "step")) * time.Millisecond)
			sent := clocks[from].Now()
			require.Greater(t, sent, known[from])
			known[from] = sent
			received := clocks[to].Merge(sent)
			require.Greater(t, received, known[to])
			require.Greater(t, received, sent)
			known[to] = received
		}
	})
}

func TestBrokenClockIgnored(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	clock := &hlc.Clock{Wall: clockwork.NewFakeClockAt(now)}
	clock.Merge(hlc.Timestamp(now.Add(hlc.MaxAhead + time.Second).UnixNano()))
	require.True(t, clock.Now().Time().Before(now.Add(time.Second)))
}

func TestParallel(t *testing.T) {
	t.Parallel()
	var clock hlc.Clock
	var wg sync.WaitGroup
	seen := make([][]hlc.Timestamp, 8)
	for i := range seen {
		wg.Go(func() {
			for range 1000 {
				seen[i] = append(seen[i], clock.Now())
			}
		})
	}
	wg.Wait()
	all := map[hlc.Timestamp]bool{}
	for _, list := range seen {
		require.IsIncreasing(t, list)
		for _, s := range list {
			all[s] = true
		}
	}
	require.Len(t, all, 8000)
}

func TestText(t *testing.T) {
	t.Parallel()
	for _, s := range []hlc.Timestamp{0, 1, 1 << 40, 1<<63 - 1} {
		text, err := json.Marshal(s)
		require.NoError(t, err)
		require.Len(t, text, 18)
		var got hlc.Timestamp
		require.NoError(t, json.Unmarshal(text, &got))
		require.Equal(t, s, got)
	}
	for _, text := range []string{"1", "-000000000000001", "8000000000000000", "00000000000000zz", "00000000000000001"} {
		var got hlc.Timestamp
		require.Error(t, got.UnmarshalText([]byte(text)), text)
	}
}
