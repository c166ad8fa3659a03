package hlc

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxAhead is how far a received timestamp may be ahead of the local wall clock. Merge
// ignores a timestamp that is further ahead, so that a process with a broken clock does
// not corrupt the timestamps of all others.
const MaxAhead = 10 * time.Minute

// Clock makes the timestamps of one process. The zero value is ready for use. It is safe
// for concurrent use and must not be copied after the first use.
type Clock struct {
	Wall clockwork.Clock // wall clock; nil means that of the system

	last atomic.Int64 // highest timestamp made or merged
}

// Now returns a timestamp later than all that were made or merged before.
func (c *Clock) Now() Timestamp {
	return c.advance(0, c.wallNanos())
}

// Merge merges the timestamp of a received message and returns a timestamp for its
// receipt, later than s and than all that were made or merged before. If s is more than
// MaxAhead ahead of the wall clock, it is ignored.
func (c *Clock) Merge(s Timestamp) Timestamp {
	now := c.wallNanos()
	if int64(s) > now+int64(MaxAhead) {
		s = 0
	}
	return c.advance(int64(s), now)
}

// advance returns a timestamp not before now, later than seen and later than the last one.
func (c *Clock) advance(seen, now int64) Timestamp {
	for {
		last := c.last.Load()
		next := max(now, seen+1, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// wallNanos returns the wall-clock time in nanoseconds since 1970.
func (c *Clock) wallNanos() int64 {
	if c.Wall != nil {
		return c.Wall.Now().UnixNano()
	}
	return time.Now().UnixNano()
}
