package record

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// DefaultLines is the number of lines that a ring holds by default.
const DefaultLines = 2048

// maxBatch is how many bytes are written in one call.
const maxBatch = 32 << 10

// Ring is an io.Writer that takes one line a call and writes them to Out from Run.
type Ring struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// New returns a ring of n lines, DefaultLines if n is zero.
func New(out io.Writer, n int) *Ring {
	if n == 0 {
		n = DefaultLines
	}
	return &Ring{Out: out, lines: make(chan []byte, n)}
}

// Write takes a copy of line, or drops it if the ring is full. It never fails.
func (r *Ring) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case r.lines <- own:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

// Run writes lines until ctx ends, and then those that are left. It tells of
// dropped lines by a line of its own.
func (r *Ring) Run(ctx context.Context) {
	told := int64(0)
	for {
		select {
		case line := <-r.lines:
			r.flush(line)
		case <-ctx.Done():
			r.flush(nil)
			return
		}
		if n := r.Dropped(); n > told {
			_, _ = fmt.Fprintf(r.Out, "event=dropped lines=%d total=%d\n", n-told, n)
			told = n
		}
	}
}

// flush writes batch and all lines that wait.
func (r *Ring) flush(batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		_, _ = r.Out.Write(batch)
	}
}
