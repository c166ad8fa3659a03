package lookup

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"gypsumward/core/table"
)

// Bounds of the reads of a Store.
const (
	// DefaultReads is the default of Store.Reads. With answers after 4 ms they are 1,000 reads a second.
	DefaultReads = 4
	// waitingPerRead is the number of reads that wait for each of those in progress. Each waits for 64 ms
	// if answers take 4 ms, so that the four reads of a query are done within a caller's time.
	waitingPerRead = 16
)

// ErrTooMany is the error of a read that is not made, since too many others wait.
const ErrTooMany = errors.ConstError("too many reads wait")

// Reader reads rows.
type Reader interface {
	Read(ctx context.Context, q table.Read) (table.Found, error)
}

// Store passes reads to Rows, a number of them at a time, in the order of their calls. Its fields must be
// set before use. It is safe for concurrent use.
type Store struct {
	Rows  Reader
	Reads int // in progress at a time; zero stands for DefaultReads

	// OnRefused is called for each read that is not made. It must not block and may be nil.
	OnRefused func()

	once    sync.Once
	slots   chan struct{} // reads in progress
	waiting chan struct{} // reads in progress and those that wait
}

// Read reads rows. If too many reads wait already it returns ErrTooMany at once, and if ctx ends while it
// waits the error of ctx.
func (s *Store) Read(ctx context.Context, q table.Read) (table.Found, error) {
	s.once.Do(s.init)
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		if s.OnRefused != nil {
			s.OnRefused()
		}
		return table.Found{}, ErrTooMany
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return table.Found{}, ctx.Err()
	}
	return s.Rows.Read(ctx, q)
}

func (s *Store) init() {
	if s.Reads == 0 {
		s.Reads = DefaultReads
	}
	s.slots = make(chan struct{}, s.Reads)
	s.waiting = make(chan struct{}, s.Reads*(1+waitingPerRead))
}
