package outage

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/attempt"
	"gypsumward/core/table"
)

// Mode is the way in which a Store is disturbed.
type Mode string

// The modes. The calls that a disturbance hits fail by it also after its end.
const (
	None   Mode = ""
	Silent Mode = "silent" // calls get no response
	Reset  Mode = "reset"  // calls fail at once, and those that wait when the disturbance begins
	Busy   Mode = "busy"   // new calls fail at once and have no effect
	Slow   Mode = "slow"   // responses take SlowTime
)

// SlowTime is the time that a response takes in mode Slow.
const SlowTime = 3 * time.Second

// Errors of calls.
const (
	ErrReset = errors.ConstError("connection reset")
	ErrBusy  = errors.ConstError("busy")
)

// chunks is the number of parts, of chunkSize bytes each, in which a response arrives.
const (
	chunks    = 10
	chunkSize = 32 << 10
)

// Store is a store of rows in memory. The zero value is empty and undisturbed. It is safe for
// concurrent use.
type Store struct {
	// Transfer is the time in which a response with rows arrives, in parts, if it has the link for
	// itself. It must be set before use.
	Transfer time.Duration

	mu        sync.Mutex
	mode      Mode
	disturbed chan struct{} // closed when a disturbance begins; nil if nothing waits for it
	changed   chan struct{} // closed at the next write; nil if nothing waits for it
	rows      map[string]table.Row
	version   int64
	sending   int // responses that share the link
	calls     int
}

// Disturb puts the store into a mode. None ends a disturbance.
func (s *Store) Disturb(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	if s.disturbed != nil {
		close(s.disturbed)
		s.disturbed = nil
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes a row, whatever the mode, and returns its version.
func (s *Store) Set(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, value)
}

func (s *Store) set(key string, value []byte) int64 {
	if s.rows == nil {
		s.rows = map[string]table.Row{}
	}
	s.version++
	s.rows[key] = table.Row{Key: key, Version: s.version, Value: value}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return s.version
}

// Write runs one transaction. The conditions of its operations are checked.
func (s *Store) Write(ctx context.Context, w table.Write) (table.Written, error) {
	if err := s.begin(ctx); err != nil {
		return table.Written{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var written table.Written
	for _, op := range w.Ops {
		if op.IfVersion != table.AnyVersion && s.rows[op.Key].Version != op.IfVersion {
			written.Conflicts = append(written.Conflicts, table.Row{Key: op.Key, Version: s.rows[op.Key].Version, Value: s.rows[op.Key].Value})
		}
	}
	if len(written.Conflicts) > 0 {
		return written, nil
	}
	for _, op := range w.Ops {
		switch {
		case op.CheckOnly:
		case op.Delete:
			delete(s.rows, op.Key)
		default:
			s.set(op.Key, op.Value)
		}
	}
	return table.Written{Committed: true, Version: s.version}, nil
}

// Scan returns all rows with a prefix. It ignores the limit and the bounds of q.
func (s *Store) Scan(ctx context.Context, q table.Scan) (table.Found, error) {
	if err := s.begin(ctx); err != nil {
		return table.Found{}, err
	}
	rows, version := s.since(q.Prefix, 0)
	return table.Found{Rows: rows, Version: version}, s.send(ctx, len(rows) > 0)
}

// Watch returns the rows that have changed, as soon as there are any.
func (s *Store) Watch(ctx context.Context, w table.Watch) (table.WatchResult, error) {
	if err := s.begin(ctx); err != nil {
		return table.WatchResult{}, err
	}
	end := time.NewTimer(w.Wait.Duration())
	defer end.Stop()
	for waiting := true; waiting; {
		rows, _ := s.since(w.Prefix, w.After)
		if len(rows) > 0 {
			break
		}
		disturbed, changed := s.events()
		select {
		case <-changed:
		case <-disturbed:
			if err := s.disturbance(ctx); err != nil {
				return table.WatchResult{}, err
			}
		case <-end.C:
			waiting = false
		case <-ctx.Done():
			return table.WatchResult{}, ctx.Err()
		}
	}
	rows, version := s.since(w.Prefix, w.After)
	return table.WatchResult{Rows: rows, Version: version}, s.send(ctx, len(rows) > 0)
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
		return ctx.Err()
	case Reset:
		return ErrReset
	case Busy:
		return ErrBusy
	case Slow:
		return sleep(ctx, SlowTime)
	case None:
	}
	return ctx.Err()
}

// disturbance returns the error of a waiting call when a disturbance begins.
func (s *Store) disturbance(ctx context.Context) error {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case Silent:
		<-ctx.Done()
		return ctx.Err()
	case Reset:
		return ErrReset
	case None, Busy, Slow:
	}
	return nil
}

// events returns channels that are closed at the next disturbance and the next write.
func (s *Store) events() (disturbed, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disturbed == nil {
		s.disturbed = make(chan struct{})
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.disturbed, s.changed
}

// since returns the rows with a prefix that are newer than a version, and the newest version.
func (s *Store) since(prefix string, after int64) ([]table.Row, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []table.Row
	for key, r := range s.rows {
		if strings.HasPrefix(key, prefix) && r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, s.version
}

// send transfers a response over the link that all calls share. Nothing arrives while the store is
// silent, and a response that this interrupts is not continued.
func (s *Store) send(ctx context.Context, large bool) error {
	if s.Transfer == 0 || !large {
		attempt.From(ctx).Receive(1)
		return nil
	}
	s.mu.Lock()
	s.sending++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.sending--
		s.mu.Unlock()
	}()
	for range chunks {
		s.mu.Lock()
		d := s.Transfer * time.Duration(s.sending) / chunks
		silent := s.mode == Silent
		s.mu.Unlock()
		if silent {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := sleep(ctx, d); err != nil {
			return err
		}
		attempt.From(ctx).Receive(chunkSize)
	}
	return nil
}

// sleep waits for d and returns the error of ctx if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
