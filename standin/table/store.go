package table

import (
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"

	"gypsumward/core/table"
)

// Store holds the rows of the table. The zero value is empty and ready for use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	keys    []string // sorted
	version int64
}

// Write carries out one transaction. It returns an error, and changes nothing,
// if the transaction breaks a limit or names a row twice.
func (s *Store) Write(w table.Write) (table.Written, error) {
	if err := check(w); err != nil {
		return table.Written{}, errors.Trace(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict []table.Row
	for _, op := range w.Ops {
		if row := s.row(op.Key); op.If != table.Any && op.If != row.Version {
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflict: conflict}, nil
	}
	s.version++
	for _, op := range w.Ops {
		s.apply(op)
	}
	return table.Written{Done: true, Version: s.version}, nil
}

func check(w table.Write) error {
	if len(w.Ops) == 0 || len(w.Ops) > table.MaxOps {
		return errors.NotValidf("transaction of %d operations, 1 to %d allowed:", len(w.Ops), table.MaxOps)
	}
	seen := make(map[string]bool, len(w.Ops))
	for _, op := range w.Ops {
		if op.Key == "" || seen[op.Key] {
			return errors.NotValidf("empty or repeated key %q", op.Key)
		}
		if len(op.Value) > table.MaxValue {
			return errors.NotValidf("value of %d bytes for %q, at most %d allowed:", len(op.Value), op.Key, table.MaxValue)
		}
		seen[op.Key] = true
	}
	return nil
}

func (s *Store) row(key string) table.Row {
	if row, ok := s.rows[key]; ok {
		return row
	}
	return table.Row{Key: key}
}

func (s *Store) apply(op table.Op) {
	if op.Check {
		return
	}
	at := sort.SearchStrings(s.keys, op.Key)
	_, had := s.rows[op.Key]
	if op.Delete {
		if had {
			delete(s.rows, op.Key)
			s.keys = append(s.keys[:at], s.keys[at+1:]...)
		}
		return
	}
	if s.rows == nil {
		s.rows = make(map[string]table.Row)
	}
	if !had {
		s.keys = append(s.keys, "")
		copy(s.keys[at+1:], s.keys[at:])
		s.keys[at] = op.Key
	}
	s.rows[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
}

// Read returns the rows of the keys in their order.
func (s *Store) Read(r table.Read) table.Found {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := table.Found{Rows: make([]table.Row, len(r.Keys))}
	for i, key := range r.Keys {
		found.Rows[i] = s.row(key)
	}
	return found
}

// Scan returns rows by prefix in the order of keys. A limit of zero or above
// table.MaxScan means table.MaxScan.
func (s *Store) Scan(q table.Scan) table.Found {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Limit <= 0 || q.Limit > table.MaxScan {
		q.Limit = table.MaxScan
	}
	found := table.Found{Rows: []table.Row{}}
	for i := sort.SearchStrings(s.keys, max(q.Prefix, q.After)); i < len(s.keys); i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, q.Prefix) || len(found.Rows) == q.Limit {
			break
		}
		if key > q.After || q.After == "" {
			found.Rows = append(found.Rows, s.rows[key])
		}
	}
	return found
}

// Rows returns the number of rows.
func (s *Store) Rows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}
