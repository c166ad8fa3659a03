package locate

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/monotonic"
	"gypsumward/core/work"
)

// Answer is what a cell says of a job.
type Answer struct {
	State work.State
	Known bool   // there is such a job, and State is its state
	To    string // cell that has the job; empty if it is the one that was asked, or there is no such job
}

// ErrMoving is returned when a job was not found, since it was being moved all the time.
const ErrMoving = errors.ConstError("the job is on its way to another cell")

// interval is the time between two attempts to find a job that is being moved.
const interval = 30 * time.Millisecond

// Locator asks the cells for jobs. Ask must be set before use.
type Locator struct {
	// Ask asks the cell with the given name.
	Ask func(ctx context.Context, cell string) (Answer, error)
}

// Find asks the home of a job and, if another cell has the job, that one. A job that is being moved is
// in neither for a moment: Find tries again until it has made the given number of attempts, if that is
// not zero, or ctx ends, and then returns ErrMoving. Any other error is one of Ask.
func (l Locator) Find(ctx context.Context, home string, attempts int) (Answer, error) {
	for n := 1; ; n++ {
		a, err := l.Ask(ctx, home)
		if err != nil || a.To == "" {
			return a, err
		}
		at, err := l.Ask(ctx, a.To)
		if err != nil || at.Known {
			return at, err
		}
		if n == attempts {
			return Answer{}, ErrMoving
		}
		monotonic.Sleep(ctx, interval)
		if ctx.Err() != nil {
			return Answer{}, ErrMoving
		}
	}
}
