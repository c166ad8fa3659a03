package handover_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/handover"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// fakeCell is a cell that can be handed over from some times on, counted from its creation.
type fakeCell struct {
	began       time.Time
	successorAt time.Duration
	writableAt  time.Duration // the store accepts writes, and Writable reports it
	seemsAt     time.Duration // Writable reports that, though the store does not accept them
	idleAt      time.Duration
	endsAt      time.Duration // the term ends by itself; zero for never

	done     chan struct{}
	ended    bool
	drained  bool
	paused   time.Duration // for which it started nothing
	pausedAt time.Time
	attempts int
}

func newFakeCell() *fakeCell { return &fakeCell{began: time.Now(), done: make(chan struct{})} }

func (c *fakeCell) past(d time.Duration) bool { return time.Since(c.began) >= d }

func (c *fakeCell) Done() <-chan struct{} {
	if c.endsAt > 0 && c.past(c.endsAt) && !c.ended {
		c.end()
	}
	return c.done
}

func (c *fakeCell) end() {
	c.ended = true
	close(c.done)
}

func (c *fakeCell) Successor() (election.Member, bool) {
	return election.Member{Node: "b"}, c.past(c.successorAt)
}

func (c *fakeCell) Writable() bool {
	return c.past(c.writableAt) || (c.seemsAt > 0 && c.past(c.seemsAt))
}

func (c *fakeCell) Drain() { c.drained, c.pausedAt = true, time.Now() }

func (c *fakeCell) Resume() { c.drained, c.paused = false, c.paused+time.Since(c.pausedAt) }

func (c *fakeCell) Idle() bool { return c.past(c.idleAt) }

func (c *fakeCell) Transfer(_ context.Context, to election.Member) bool {
	c.attempts++
	time.Sleep(12 * time.Millisecond)
	if !c.drained || !c.past(c.writableAt) || to.Node != "b" {
		return false
	}
	c.end()
	return true
}

// TestRun hands a cell over in several situations. It must be handed over as soon as that is
// possible, go on until then, and be handed over only while it starts nothing.
func TestRun(t *testing.T) {
	t.Parallel()
	const second = time.Second
	for _, test := range []struct {
		name    string
		prepare func(c *fakeCell)
		handed  bool
		within  time.Duration
		paused  time.Duration // longest time for which it starts nothing without being handed over
	}{
		{"at once", func(*fakeCell) {}, true, 50 * time.Millisecond, 0},
		{"a write is in flight", func(c *fakeCell) { c.idleAt = 200 * time.Millisecond }, true, 250 * time.Millisecond, 0},
		{"no successor at first", func(c *fakeCell) { c.successorAt = 2 * second }, true, 2*second + 100*time.Millisecond, 0},
		{"never a successor", func(c *fakeCell) { c.successorAt = time.Hour }, false, 5 * second, 0},
		{"the store is back in time", func(c *fakeCell) { c.writableAt = 3 * second }, true, 3*second + 100*time.Millisecond, 0},
		{"the store is not back", func(c *fakeCell) { c.writableAt = time.Hour }, false, 5 * second, 0},
		{
			"the store seems to be back", func(c *fakeCell) { c.writableAt, c.seemsAt = 3*second, 2*second }, true, 3*second + 300*time.Millisecond, 700 * time.Millisecond,
		},
		{"another becomes the holder", func(c *fakeCell) { c.writableAt, c.endsAt = time.Hour, second }, true, second + 300*time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCell()
				test.prepare(c)
				require.Equal(t, test.handed, handover.Run(c, clock{}, time.Now().Add(5*second)))
				require.LessOrEqual(t, time.Since(c.began), test.within)
				require.LessOrEqual(t, c.paused, test.paused)
				if !test.handed {
					require.False(t, c.drained, "the cell goes on")
				}
			})
		})
	}
}

// TestAttempt hands a cell over once, for an instance that stays. It goes on if that fails.
func TestAttempt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCell()
		c.writableAt = time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, handover.Attempt(ctx, c, election.Member{Node: "b"}))
		require.False(t, c.drained)
		require.Greater(t, c.attempts, 10)
	})
}
