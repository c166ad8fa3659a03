package fleet

import (
	"slices"
	"time"
)

// FIFO is an unbounded Queue in order of arrival. A call that a target refused returns to
// its position. The zero value is an empty queue without lookahead.
type FIFO struct {
	Lookahead int // number of calls that have to wait and may be overtaken by later ones
	calls     []*Call
}

// Push inserts c behind the calls that arrived before it. It always returns true.
func (q *FIFO) Push(_ time.Time, c *Call) bool {
	at := len(q.calls)
	for at > 0 && q.calls[at-1].ArrivedAt.After(c.ArrivedAt) {
		at--
	}
	q.calls = slices.Insert(q.calls, at, c)
	return true
}

// Len returns the number of queued calls.
func (q *FIFO) Len() int {
	return len(q.calls)
}

// Next offers each call once, in order, until Lookahead+1 calls have to wait. It always
// returns false.
func (q *FIFO) Next(_ time.Time, place func(*Call) bool) bool {
	kept := 0
	for kept < len(q.calls) && kept <= q.Lookahead {
		if place(q.calls[kept]) {
			q.calls = slices.Delete(q.calls, kept, kept+1)
		} else {
			kept++
		}
	}
	return false
}
