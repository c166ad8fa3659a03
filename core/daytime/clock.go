package daytime

import "time"

// Defaults of Clock.
const (
	DefaultSettle = 10 * time.Second
	step          = 200 * time.Millisecond // a difference below is drift, not a jump
)

// Clock gives the time of day. A jump is followed once it has lasted for Settle. Its
// exported fields are set before the first call; it is for one goroutine.
type Clock struct {
	Steady func() time.Time
	Wall   func() time.Time
	Settle time.Duration // zero means DefaultSettle

	known  bool
	offset time.Duration // from steady to wall time, as it is believed
	jumped time.Time     // on the steady clock, when the other offset was first seen; zero if it is not
	other  time.Duration
}

// Now returns the time of day in milliseconds since 1970.
func (c *Clock) Now() int64 {
	steady := c.Steady()
	offset := c.Wall().Sub(steady)
	switch {
	case !c.known || near(offset, c.offset):
		c.known, c.offset, c.jumped = true, offset, time.Time{}
	case c.jumped.IsZero() || !near(offset, c.other):
		c.jumped, c.other = steady, offset
	case steady.Sub(c.jumped) >= c.settle():
		c.offset, c.jumped = offset, time.Time{}
	}
	return steady.Add(c.offset).UnixMilli()
}

func (c *Clock) settle() time.Duration {
	if c.Settle == 0 {
		return DefaultSettle
	}
	return c.Settle
}

func near(a, b time.Duration) bool {
	return (a - b).Abs() < step
}
