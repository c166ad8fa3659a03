package choose

import (
	"container/heap"
	"time"
)

// rest holds the runners that get no calls before a certain time, in the order
// of these times.
type rest []resting

// resting is one runner that waits for its time.
type resting struct {
	runner *runner
	until  time.Time
}

func (q rest) Len() int           { return len(q) }
func (q rest) Less(i, j int) bool { return q[i].until.Before(q[j].until) }
func (q rest) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *rest) Push(x any) { *q = append(*q, x.(resting)) }

// Pop is for package heap.
func (q *rest) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = resting{}
	*q = (*q)[:last]
	return x
}

// add lets a runner rest until the given time.
func (q *rest) add(r *runner, until time.Time) {
	if !r.resting {
		r.resting = true
		heap.Push(q, resting{r, until})
	}
}

// due returns a runner whose time has come, or nil.
func (q *rest) due(now time.Time) *runner {
	if len(*q) == 0 || now.Before((*q)[0].until) {
		return nil
	}
	r := heap.Pop(q).(resting).runner
	r.resting = false
	return r
}
