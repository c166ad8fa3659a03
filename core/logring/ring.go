package logring

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// DefaultLines is the default capacity of a Ring, in lines.
const DefaultLines = 2048

// maxWriteBytes is the size at which a batch of lines is written, in bytes. The last line
// may exceed it.
const maxWriteBytes = 32 << 10

// Ring is an io.Writer that accepts one line per call to Write. Run writes the lines to
// Out.
type Ring struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// New returns a Ring for n lines, or DefaultLines if n is zero.
func New(out io.Writer, n int) *Ring {
	if n == 0 {
		n = DefaultLines
	}
	return &Ring{Out: out, lines: make(chan []byte, n)}
}

// Write buffers a copy of line, or drops the line if the ring is full. It never blocks or
// fails.
func (r *Ring) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case r.lines <- lineCopy:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

// Run writes lines until ctx ends, and then a last batch of those that are left. It
// reports dropped lines by a log line of its own.
func (r *Ring) Run(ctx context.Context) {
	reported := int64(0)
	for {
		select {
		case line := <-r.lines:
			r.flush(line)
		case <-ctx.Done():
			r.flush(nil)
			return
		}
		if n := r.Dropped(); n > reported {
			_, _ = fmt.Fprintf(r.Out, "event=dropped lines=%d total=%d\n", n-reported, n)
			reported = n
		}
	}
}

// flush writes batch and the buffered lines, up to maxWriteBytes.
func (r *Ring) flush(batch []byte) {
	for len(batch) < maxWriteBytes {
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
