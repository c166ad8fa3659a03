package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/table"
)

// ErrDown is the error of a call while the store is down.
const ErrDown = errors.ConstError("no answer")

// Store keeps rows in memory. The zero value is empty and ready for use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
	down    bool
	lossy   bool
	writes  int
}

// SetVersion raises the version of the store to at least version.
func (s *Store) SetVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, version)
}

// SetDown sets whether all calls fail without effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLossy sets whether writes take effect but fail, as if their answers were lost.
func (s *Store) SetLossy(lossy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy = lossy
}

// Writes returns the number of writes, failed ones included.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Row returns the row under key. Its version is zero if there is none.
func (s *Store) Row(key string) table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// Write implements the store's call of the same name.
func (s *Store) Write(_ context.Context, w table.Write) (table.Written, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return table.Written{}, ErrDown
	}
	var conflicts []table.Row
	for _, op := range w.Ops {
		row := s.rows[op.Key]
		row.Key = op.Key
		if op.IfVersion != table.AnyVersion && op.IfVersion != row.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return table.Written{Conflicts: conflicts}, nil
	}
	s.version++
	if s.rows == nil {
		s.rows = map[string]table.Row{}
	}
	for _, op := range w.Ops {
		switch {
		case op.CheckOnly:
		case op.Delete:
			delete(s.rows, op.Key)
		default:
			s.rows[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
		}
	}
	if s.lossy {
		return table.Written{}, ErrDown
	}
	return table.Written{Committed: true, Version: s.version}, nil
}

// since returns the rows with a prefix and a version above after, in order of their keys.
func (s *Store) since(prefix string, after int64) (table.Found, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Found{}, ErrDown
	}
	f := table.Found{Version: s.version}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && row.Version > after {
			f.Rows = append(f.Rows, row)
		}
	}
	slices.SortFunc(f.Rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	return f, nil
}

// Scan implements the store's call of the same name. It returns all rows at once.
func (s *Store) Scan(_ context.Context, q table.Scan) (table.Found, error) {
	f, err := s.since(q.Prefix, 0)
	f.Rows = slices.DeleteFunc(f.Rows, func(r table.Row) bool { return r.Key <= q.After || (q.Through != "" && r.Key > q.Through) })
	return f, err
}

// Watch implements the store's call of the same name. It does not report deleted rows.
func (s *Store) Watch(ctx context.Context, w table.Watch) (table.WatchResult, error) {
	limit := time.After(w.Wait.Duration())
	for {
		f, err := s.since(w.Prefix, w.After)
		if err != nil || len(f.Rows) > 0 {
			return table.WatchResult{Rows: f.Rows, Version: f.Version}, err
		}
		select {
		case <-limit:
			return table.WatchResult{Version: max(w.After, f.Version)}, nil
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return table.WatchResult{}, ctx.Err()
		}
	}
}
