package monotonic

import (
	"context"
	"time"
)

// Deadline is the deadline of a context on a clock that includes the time during which the machine
// was suspended. The context itself ends later by that time, and after a pause of the process
// possibly only once other goroutines have run. The zero value never passes.
type Deadline struct{ at time.Time }

// DeadlineOf returns the deadline of ctx, given the time now on the clock. It never passes if ctx
// has no deadline.
func DeadlineOf(ctx context.Context, now time.Time) Deadline {
	end, ok := ctx.Deadline()
	if !ok {
		return Deadline{}
	}
	return Deadline{now.Add(time.Until(end))}
}

// Passed reports whether the deadline has passed at now.
func (d Deadline) Passed(now time.Time) bool { return !d.at.IsZero() && !now.Before(d.at) }
