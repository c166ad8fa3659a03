// Package tabletest provides an in-memory implementation of the platform's table
// for tests.
package tabletest

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"gypsumward/core/table"
)

// Table is a transactional table in memory. The zero value is an empty table. It
// is safe for concurrent use.
type Table struct {
	// BeforeCall is called at the start of each call with its name: write, read or scan.
	// If it returns an error, the call returns that error without effect. It may
	// be nil.
	BeforeCall func(call string) error

	mu      sync.Mutex
	version int64
	rows    map[string]table.Row
	log     []table.Write
	calls   Calls
}

// Calls counts the successful calls and the size of their messages.
type Calls struct {
	Writes, Reads, Scans int
	Bytes                int // size of requests and responses as JSON
}

// Write executes one transaction.
func (t *Table) Write(_ context.Context, w table.Write) (table.Written, error) {
	if err := t.injectFault("write"); err != nil {
		return table.Written{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.Writes++
	written := t.write(w)
	t.countBytes(w, written)
	return written, nil
}

// write executes one transaction. The caller holds mu.
func (t *Table) write(w table.Write) table.Written {
	var conflict []table.Row
	for _, op := range w.Ops {
		if row := t.row(op.Key); op.IfVersion != table.AnyVersion && op.IfVersion != row.Version {
			conflict = append(conflict, row)
		}
	}
	if conflict != nil {
		return table.Written{Conflicts: conflict}
	}
	t.version++
	t.log = append(t.log, w)
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
	}
	for _, op := range w.Ops {
		t.rows[op.Key] = table.Row{Key: op.Key, Version: t.version, Value: op.Value}
		if op.Delete {
			delete(t.rows, op.Key)
		}
	}
	return table.Written{Committed: true, Version: t.version}
}

// Read returns one row for each key, in the order of the keys.
func (t *Table) Read(_ context.Context, r table.Read) (table.Found, error) {
	if err := t.injectFault("read"); err != nil {
		return table.Found{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.Reads++
	var found table.Found
	for _, key := range r.Keys {
		found.Rows = append(found.Rows, t.row(key))
	}
	t.countBytes(r, found)
	return found, nil
}

// Scan returns the rows whose keys start with a prefix, sorted by key.
func (t *Table) Scan(_ context.Context, s table.Scan) (table.Found, error) {
	if err := t.injectFault("scan"); err != nil {
		return table.Found{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.Scans++
	var found table.Found
	for key, row := range t.rows {
		if strings.HasPrefix(key, s.Prefix) && key > s.After {
			found.Rows = append(found.Rows, row)
		}
	}
	slices.SortFunc(found.Rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	found.Rows = found.Rows[:min(len(found.Rows), s.Limit)]
	t.countBytes(s, found)
	return found, nil
}

// Log returns the transactions that took effect, in order. The one at index i has
// version i+1.
func (t *Table) Log() []table.Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log)
}

// Calls returns the counts so far.
func (t *Table) Calls() Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// row returns the row of key, with version zero if there is none. The caller holds
// mu.
func (t *Table) row(key string) table.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return table.Row{Key: key}
}

// countBytes adds the sizes of messages to the count. The caller holds mu.
func (t *Table) countBytes(messages ...any) {
	for _, m := range messages {
		text, _ := json.Marshal(m)
		t.calls.Bytes += len(text)
	}
}

// injectFault returns the error of BeforeCall for a call, if any.
func (t *Table) injectFault(call string) error {
	if t.BeforeCall == nil {
		return nil
	}
	return t.BeforeCall(call)
}
