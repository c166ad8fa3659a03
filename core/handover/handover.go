package handover

import (
	"context"
	"time"

	"gypsumward/core/election"
	"gypsumward/core/monotonic"
)

// Intervals and timeouts.
const (
	attemptTimeout  = 600 * time.Millisecond // of one attempt, while which the cell starts nothing
	attemptInterval = 200 * time.Millisecond // between two attempts, while which the cell goes on
	checkInterval   = 25 * time.Millisecond  // between checks whether an attempt can succeed
	idleInterval    = 3 * time.Millisecond   // between checks whether writes are in flight
	writeInterval   = 10 * time.Millisecond  // between two writes of an attempt
)

// Cell is a cell that this instance holds.
type Cell interface {
	// Done returns a channel that is closed when the term is over.
	Done() <-chan struct{}
	// Successor returns the member that should hold the cell next. Ok is false if there is none.
	Successor() (m election.Member, ok bool)
	// Writable reports whether a handover could be written, as far as that can be told.
	Writable() bool
	// Drain makes the cell start nothing, and Resume makes it start tasks again.
	Drain()
	Resume()
	// Idle reports whether no write is in flight.
	Idle() bool
	// Transfer names the next holder. It reports whether this instance is no longer the holder;
	// false if that is not known.
	Transfer(ctx context.Context, to election.Member) bool
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Run hands c over as soon as that can be written, until deadline. It reports whether this
// instance is no longer the holder. Otherwise the cell goes on.
func Run(c Cell, clock Clock, deadline time.Time) bool {
	for {
		if to, ok := await(c, clock, deadline); ok {
			limited, cancel := context.WithTimeout(context.Background(), min(attemptTimeout, deadline.Sub(clock.Now())))
			handed := Attempt(limited, c, to)
			cancel()
			if handed {
				return true
			}
		}
		if ended(c) {
			return true
		}
		if !clock.Now().Before(deadline) {
			return false
		}
		monotonic.Sleep(context.Background(), attemptInterval)
	}
}

// Attempt drains c and hands it over to a member. It reports whether this instance is no
// longer the holder. Otherwise the cell goes on, which the next holder, if the handover is
// written late, allows for.
func Attempt(ctx context.Context, c Cell, to election.Member) bool {
	c.Drain()
	for !c.Idle() && ctx.Err() == nil {
		monotonic.Sleep(ctx, idleInterval)
	}
	for ctx.Err() == nil {
		if c.Transfer(ctx, to) {
			return true
		}
		monotonic.Sleep(ctx, writeInterval)
	}
	c.Resume()
	return false
}

// await waits until an attempt can succeed. Ok is false if the term or the time is over.
func await(c Cell, clock Clock, deadline time.Time) (to election.Member, ok bool) {
	for clock.Now().Before(deadline) && !ended(c) {
		if to, ok = c.Successor(); ok && c.Writable() {
			return to, true
		}
		monotonic.Sleep(context.Background(), checkInterval)
	}
	return to, false
}

// ended reports whether the term is over.
func ended(c Cell) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}
