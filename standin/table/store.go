package table

import (
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"

	"gypsumward/core/table"
)

// Store holds the rows of the table. The zero value is an empty table. A Store is
// safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]table.Row // by key
	keys    []string             // sorted
	version int64                // of the last transaction that took effect
}

// Write executes one transaction. If a condition does not hold, the result lists
// the rows in conflict and nothing changes. Write returns an error, and changes
// nothing, if the transaction is empty, exceeds a limit or has an empty or
// repeated key.
func (s *Store) Write(w table.Write) (table.Written, error) {
	if err := validate(w); err != nil {
		return table.Written{}, errors.Trace(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict []table.Row
	for _, op := range w.Ops {
		if row := s.lookup(op.Key); op.IfVersion != table.AnyVersion && op.IfVersion != row.Version {
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflicts: conflict}, nil
	}
	s.version++
	for _, op := range w.Ops {
		s.apply(op)
	}
	return table.Written{Committed: true, Version: s.version}, nil
}

// validate checks the limits and keys of a transaction.
func validate(w table.Write) error {
	if len(w.Ops) == 0 || len(w.Ops) > table.MaxOpsPerWrite {
		return errors.NotValidf("transaction of %d operations, 1 to %d allowed:", len(w.Ops), table.MaxOpsPerWrite)
	}
	seen := make(map[string]bool, len(w.Ops))
	for _, op := range w.Ops {
		if op.Key == "" || seen[op.Key] {
			return errors.NotValidf("empty or repeated key %q", op.Key)
		}
		if len(op.Value) > table.MaxValueBytes {
			return errors.NotValidf("value of %d bytes for %q, at most %d allowed:", len(op.Value), op.Key, table.MaxValueBytes)
		}
		seen[op.Key] = true
	}
	return nil
}

// lookup returns the row of a key, with version zero if it does not exist. The
// caller holds the mutex.
func (s *Store) lookup(key string) table.Row {
	if row, ok := s.rows[key]; ok {
		return row
	}
	return table.Row{Key: key}
}

// apply applies one operation. The caller holds the mutex.
func (s *Store) apply(op table.Op) {
	if op.CheckOnly {
		return
	}
	index := sort.SearchStrings(s.keys, op.Key)
	_, exists := s.rows[op.Key]
	if op.Delete {
		if exists {
			delete(s.rows, op.Key)
			s.keys = append(s.keys[:index], s.keys[index+1:]...)
		}
		return
	}
	if s.rows == nil {
		s.rows = make(map[string]table.Row)
	}
	if !exists {
		s.keys = append(s.keys, "")
		copy(s.keys[index+1:], s.keys[index:])
		s.keys[index] = op.Key
	}
	s.rows[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
}

// Read returns the rows of r.Keys in the same order. A row that does not exist
// has version zero.
func (s *Store) Read(r table.Read) table.Found {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := table.Found{Rows: make([]table.Row, len(r.Keys))}
	for i, key := range r.Keys {
		found.Rows[i] = s.lookup(key)
	}
	return found
}

// Scan returns the rows with the prefix q.Prefix and, unless q.After is empty,
// with keys greater than it, in the order of keys. A limit that is not positive
// or exceeds table.MaxScanRows means table.MaxScanRows.
func (s *Store) Scan(q table.Scan) table.Found {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Limit <= 0 || q.Limit > table.MaxScanRows {
		q.Limit = table.MaxScanRows
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

// RowCount returns the number of rows.
func (s *Store) RowCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}
