package daytime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/daytime"
)

func TestClock(t *testing.T) {
	t.Parallel()
	steady := time.Unix(100, 0)
	offset := time.Hour
	c := &daytime.Clock{
		Steady: func() time.Time { return steady },
		Wall:   func() time.Time { return steady.Add(offset) },
	}
	for _, test := range []struct {
		name string
		pass time.Duration
		jump time.Duration // of the time of day
		off  time.Duration // of what is returned, from the start's offset
	}{
		{"at first", 0, 0, 0},
		{"drift is followed", time.Second, 50 * time.Millisecond, 50 * time.Millisecond},
		{"a jump is not", time.Second, 60 * time.Second, 50 * time.Millisecond},
		{"nor while it is short", 9 * time.Second, 0, 50 * time.Millisecond},
		{"back again", 500 * time.Millisecond, -60 * time.Second, 50 * time.Millisecond},
		{"another", time.Second, -2 * time.Second, 50 * time.Millisecond},
		{"moved further", 5 * time.Second, -3 * time.Second, 50 * time.Millisecond},
		{"counts anew", 6 * time.Second, 0, 50 * time.Millisecond},
		{"and is taken in the end", 4 * time.Second, 0, -4950 * time.Millisecond},
	} {
		steady = steady.Add(test.pass)
		offset += test.jump
		require.Equal(t, steady.Add(time.Hour+test.off).UnixMilli(), c.Now(), test.name)
	}
}
