package record

import (
	"sync"

	"gypsumward/core/target"
)

// List is the response to GET /record.
type List struct {
	Starts []target.StartCount `json:"starts"` // by id, in the order of the first start
}

// Log counts starts by id. The zero value is an empty log. A Log is safe for
// concurrent use.
type Log struct {
	mu     sync.Mutex
	starts []target.StartCount
	byID   map[string]int // index into starts
}

// Add counts one start of the work with the id. The kind is recorded at the first
// start.
func (l *Log) Add(id, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = make(map[string]int)
	}
	i, ok := l.byID[id]
	if !ok {
		i = len(l.starts)
		l.byID[id] = i
		l.starts = append(l.starts, target.StartCount{ID: id, Kind: kind})
	}
	l.starts[i].Count++
}

// List returns a copy of the record.
func (l *Log) List() List {
	l.mu.Lock()
	defer l.mu.Unlock()
	return List{Starts: append([]target.StartCount{}, l.starts...)}
}
