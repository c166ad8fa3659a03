// Package report counts and logs the decisions of package intake.
package report

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/intake"
)

// interval is the time between two lines for the same kind of decision.
const interval = time.Second

// Reporter counts the decisions against connections of a server, and logs one line a second for each
// kind of them with their number since the line before. Its fields must be set before Record. It is safe
// for concurrent use.
type Reporter struct {
	Log   log.Logger
	Count func(kind intake.Kind)

	mu    sync.Mutex
	lines map[intake.Kind]*line
}

// line is what the next line of a kind reports.
type line struct {
	at    time.Time // of the last line
	count int       // decisions since then
}

// Record records one decision, and the bytes and the number of claims of the server. It has the type of
// intake.Gate.Observe.
func (r *Reporter) Record(kind intake.Kind, bytes int64, conns int) {
	r.Count(kind)
	if count := r.due(kind, time.Now()); count > 0 {
		_ = r.Log.Log("kind", kind, "count", count, "bytes", bytes, "conns", conns)
	}
}

// due returns the number of decisions that a line is to report now; zero if none is due.
func (r *Reporter) due(kind intake.Kind, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines == nil {
		r.lines = map[intake.Kind]*line{}
	}
	l := r.lines[kind]
	if l == nil {
		l = &line{}
		r.lines[kind] = l
	}
	l.count++
	if now.Sub(l.at) < interval {
		return 0
	}
	count := l.count
	l.at, l.count = now, 0
	return count
}
