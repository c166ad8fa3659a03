package stall_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/stall"
)

// clock is the time of the test plus that of the pauses.
type clock struct {
	mu     sync.Mutex
	paused time.Duration
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.paused)
}

// pause lets time pass during which nothing runs.
func (c *clock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused += d
}

// TestDelay guards against messages that are read after a pause of the process and taken for fresh
// ones, before and after the pause has been noticed.
func TestDelay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &clock{}
		d := &stall.Detector{Clock: c, Log: log.NewNopLogger(), Least: 650 * time.Millisecond}
		require.Zero(t, d.Delay())
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		time.Sleep(10 * time.Second)
		require.Zero(t, d.Delay())
		c.pause(500 * time.Millisecond)
		require.Zero(t, d.Delay(), "a short pause")
		time.Sleep(time.Second)
		require.Zero(t, d.Delay())

		c.pause(4 * time.Second)
		require.GreaterOrEqual(t, d.Delay(), 4*time.Second)
		require.LessOrEqual(t, d.Delay(), 4100*time.Millisecond)
		time.Sleep(150 * time.Millisecond) // noticed by now
		require.GreaterOrEqual(t, d.Delay(), 4150*time.Millisecond)
		require.LessOrEqual(t, d.Delay(), 4250*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		require.GreaterOrEqual(t, d.Delay(), 4450*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		require.Zero(t, d.Delay(), "all messages of the pause have been read")

		cancel()
		synctest.Wait()
		c.pause(4 * time.Second)
		require.Zero(t, d.Delay(), "no longer watched")
	})
}
