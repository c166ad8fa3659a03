package wallclock

import "time"

// Defaults of Clock.
const (
	DefaultJumpDelay = 10 * time.Second
	jumpThreshold    = 200 * time.Millisecond // smaller differences are drift, not a jump
)

// Clock returns wall-clock time. It follows drift at once, and a jump only after the jump
// has persisted for JumpDelay. Its exported fields must be set before the first call. It
// is not safe for concurrent use.
type Clock struct {
	Monotonic func() time.Time
	Wall      func() time.Time
	JumpDelay time.Duration // zero means DefaultJumpDelay

	initialized bool
	offset      time.Duration // accepted difference of wall clock and monotonic clock
	jumpSeen    time.Time     // monotonic time when jumpOffset was first seen; zero if there is no jump
	jumpOffset  time.Duration // difference since the jump
}

// Now returns the wall-clock time in milliseconds since 1970.
func (c *Clock) Now() int64 {
	monotonic := c.Monotonic()
	offset := c.Wall().Sub(monotonic)
	switch {
	case !c.initialized || withinThreshold(offset, c.offset):
		c.initialized, c.offset, c.jumpSeen = true, offset, time.Time{}
	case c.jumpSeen.IsZero() || !withinThreshold(offset, c.jumpOffset):
		c.jumpSeen, c.jumpOffset = monotonic, offset
	case monotonic.Sub(c.jumpSeen) >= c.jumpDelay():
		c.offset, c.jumpSeen = offset, time.Time{}
	}
	return monotonic.Add(c.offset).UnixMilli()
}

func (c *Clock) jumpDelay() time.Duration {
	if c.JumpDelay == 0 {
		return DefaultJumpDelay
	}
	return c.JumpDelay
}

// withinThreshold reports whether the difference of a and b is drift rather than a jump.
func withinThreshold(a, b time.Duration) bool {
	return (a - b).Abs() < jumpThreshold
}
