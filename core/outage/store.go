package outage

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/attempt"
	"gypsumward/core/monotonic"
	"gypsumward/core/table"
	"gypsumward/core/table/memstore"
)

// Mode is the way in which a Store is disturbed.
type Mode string

// The modes. A call that a disturbance hits does not recover at its end.
const (
	None   Mode = ""
	Silent Mode = "silent" // calls get no response, also those that wait when the disturbance begins
	Reset  Mode = "reset"  // calls fail at once, also those that wait when the disturbance begins
	Busy   Mode = "busy"   // new calls fail at once
	Slow   Mode = "slow"   // responses to new calls take SlowTime
)

// SlowTime is the time that a response takes in mode Slow.
const SlowTime = 3 * time.Second

// Errors of calls.
const (
	ErrReset = errors.ConstError("connection reset")
	ErrBusy  = errors.ConstError("busy")
)

// A response with rows arrives in parts.
const (
	chunks    = 10
	chunkSize = 32 << 10 // bytes
)

// Store is a store of rows in memory whose calls can be disturbed. The zero value is empty and
// undisturbed. It is safe for concurrent use.
type Store struct {
	// Transfer is the time in which a response with rows arrives, in parts, if it has the link for
	// itself. It must be set before use.
	Transfer time.Duration

	rows    memstore.Store
	mu      sync.Mutex
	mode    Mode
	waiting map[*waiter]bool
	sending int // responses that share the link
	calls   int
}

// waiter is a call that waits for a change.
type waiter struct {
	cancel context.CancelFunc
	hit    Mode // of the disturbance that ended the wait
}

// Disturb puts the store into a mode. None ends a disturbance.
func (s *Store) Disturb(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	if m != Silent && m != Reset {
		return
	}
	for w := range s.waiting {
		w.hit = m
		w.cancel()
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes a row, whatever the mode, and returns its version. It panics if the row cannot be
// written.
func (s *Store) Set(key string, value []byte) int64 {
	written, err := s.rows.Write(context.Background(), table.Write{Ops: []table.Op{{Key: key, IfVersion: table.AnyVersion, Value: value}}})
	if err != nil {
		panic("outage: " + err.Error())
	}
	return written.Version
}

// Write implements the store's call of the same name.
func (s *Store) Write(ctx context.Context, w table.Write) (table.Written, error) {
	if err := s.begin(ctx); err != nil {
		return table.Written{}, err
	}
	return s.rows.Write(ctx, w)
}

// Scan implements the store's call of the same name. It returns all rows at once.
func (s *Store) Scan(ctx context.Context, q table.Scan) (table.Found, error) {
	if err := s.begin(ctx); err != nil {
		return table.Found{}, err
	}
	found, err := s.rows.Scan(ctx, q)
	if err != nil {
		return found, err
	}
	return found, s.send(ctx, len(found.Rows) > 0)
}

// Watch implements the store's call of the same name.
func (s *Store) Watch(ctx context.Context, q table.Watch) (table.WatchResult, error) {
	if err := s.begin(ctx); err != nil {
		return table.WatchResult{}, err
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &waiter{cancel: cancel}
	s.setWaiting(w, true)
	changes, err := s.rows.Watch(waitCtx, q)
	s.setWaiting(w, false)
	switch {
	case w.hit == Silent:
		<-ctx.Done()
		return table.WatchResult{}, ctx.Err()
	case w.hit == Reset:
		return table.WatchResult{}, ErrReset
	case err != nil:
		return table.WatchResult{}, err
	}
	return changes, s.send(ctx, len(changes.Rows) > 0)
}

func (s *Store) setWaiting(w *waiter, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = map[*waiter]bool{}
	}
	if waits {
		s.waiting[w] = true
	} else {
		delete(s.waiting, w)
	}
}

// begin counts a call and returns the error that the mode causes.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case Silent:
		<-ctx.Done()
	case Reset:
		return ErrReset
	case Busy:
		return ErrBusy
	case Slow:
		monotonic.Sleep(ctx, SlowTime)
	case None:
	}
	return ctx.Err()
}

// send transfers a response over the link that all calls share. Nothing arrives while the store is
// silent, and a response that this interrupts is not continued.
func (s *Store) send(ctx context.Context, large bool) error {
	if s.Transfer == 0 || !large {
		attempt.From(ctx).Receive(1)
		return nil
	}
	s.addSending(1)
	defer s.addSending(-1)
	for range chunks {
		s.mu.Lock()
		d, silent := s.Transfer*time.Duration(s.sending)/chunks, s.mode == Silent
		s.mu.Unlock()
		if silent {
			<-ctx.Done()
			return ctx.Err()
		}
		monotonic.Sleep(ctx, d)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		attempt.From(ctx).Receive(chunkSize)
	}
	return nil
}

func (s *Store) addSending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending += n
}
