package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/overload"
)

// TestOverloaded judges machines by latencies and delays as they were measured with a healthy
// and a slow machine, and in deployments whose runners are further away.
func TestOverloaded(t *testing.T) {
	t.Parallel()
	start := time.Unix(100, 0)
	const ms = time.Millisecond
	for _, test := range []struct {
		name      string
		latencies []time.Duration
		ticks     []time.Duration
		after     time.Duration // from the start of the term
		want      bool
	}{
		{"healthy", []time.Duration{4 * ms, 3 * ms, 9 * ms}, nil, time.Minute, false},
		{"no orders", []time.Duration{0, 0}, nil, time.Minute, false},
		{"slow while idle", []time.Duration{3 * ms, 10 * ms}, nil, time.Minute, false},
		{"slow while busy", []time.Duration{4 * ms, 12 * ms, 27 * ms}, nil, time.Minute, true},
		{"slow at first", []time.Duration{4 * ms, 27 * ms}, nil, 3 * time.Second, false},
		{"well again", []time.Duration{4 * ms, 180 * ms, 5 * ms}, nil, time.Minute, false},
		{"far runners", []time.Duration{17 * ms, 30 * ms}, nil, time.Minute, false},
		{"far runners, slow", []time.Duration{17 * ms, 70 * ms}, nil, time.Minute, true},
		{"slow from the start", []time.Duration{70 * ms}, nil, time.Minute, true},
		{"one long pause", nil, []time.Duration{300 * ms}, time.Minute, false},
		{"late ticks", nil, []time.Duration{150 * ms, 150 * ms, 150 * ms, 150 * ms, 150 * ms, 150 * ms}, time.Minute, true},
	} {
		d := overload.Detector{StartedAt: start}
		for _, mean := range test.latencies {
			d.RecordLatency(mean)
		}
		for _, late := range test.ticks {
			d.RecordTick(late)
		}
		require.Equal(t, test.want, d.Overloaded(start.Add(test.after)), test.name)
	}
}
