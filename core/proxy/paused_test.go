package proxy_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
)

// pausingClock counts a pause as soon as it has been read a number of times.
type pausingClock struct {
	mu    sync.Mutex
	reads int // until the pause; negative means that there is none
	pause time.Duration
}

func (c *pausingClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reads--; c.reads == 0 {
		return time.Now().Add(c.pause)
	}
	if c.reads < 0 && c.pause > 0 {
		return time.Now().Add(c.pause)
	}
	return time.Now()
}

// TestNoAttemptAfterPause guards against a submission that is sent, after a pause of the process
// between two attempts, for a client that has given up.
func TestNoAttemptAfterPause(t *testing.T) {
	t.Parallel()
	const pause = 4 * time.Second
	for reads := 1; reads <= 8; reads++ {
		c := newCaller(t)
		clock := &pausingClock{}
		c.Clock = clock
		h := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
			clock.mu.Lock()
			defer clock.mu.Unlock()
			if clock.pause == 0 {
				clock.reads, clock.pause = reads, pause
			}
			return reply{Verdict: cell.HandingOver}, nil
		})
		c.follow(h.addr)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		o := c.Submit(ctx, newJob(400), time.Now(), false)
		cancel()
		require.Equal(t, cell.Refused, o.Verdict)
		for _, s := range h.submissions() {
			require.Less(t, s.AgeMS, pause.Milliseconds(), "paused at read %d", reads)
		}
	}
}
