package wallclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/wallclock"
)

func TestClock(t *testing.T) {
	t.Parallel()
	monotonic := time.Unix(100, 0)
	offset := time.Hour
	c := &wallclock.Clock{
		Monotonic: func() time.Time { return monotonic },
		Wall:      func() time.Time { return monotonic.Add(offset) },
	}
	for _, test := range []struct {
		name          string
		elapsed       time.Duration
		jump          time.Duration // of the wall clock
		expectedShift time.Duration // of the result, relative to the initial offset
	}{
		{"first reading", 0, 0, 0},
		{"drift is followed", time.Second, 50 * time.Millisecond, 50 * time.Millisecond},
		{"jump is not followed", time.Second, 60 * time.Second, 50 * time.Millisecond},
		{"jump still shorter than JumpDelay", 9 * time.Second, 0, 50 * time.Millisecond},
		{"jump back", 500 * time.Millisecond, -60 * time.Second, 50 * time.Millisecond},
		{"another jump", time.Second, -2 * time.Second, 50 * time.Millisecond},
		{"third jump before the second is accepted", 5 * time.Second, -3 * time.Second, 50 * time.Millisecond},
		{"JumpDelay starts over", 6 * time.Second, 0, 50 * time.Millisecond},
		{"jump is accepted after JumpDelay", 4 * time.Second, 0, -4950 * time.Millisecond},
	} {
		monotonic = monotonic.Add(test.elapsed)
		offset += test.jump
		require.Equal(t, monotonic.Add(time.Hour+test.expectedShift).UnixMilli(), c.Now(), test.name)
	}
}
