package choose

import (
	"container/heap"
	"time"
)

// recheckQueue is a priority queue of the runners that have to be reindexed at
// a certain time, such as the end of a back-off, earliest first.
type recheckQueue []recheck

// recheck is the recheck of one runner.
type recheck struct {
	runner *runner
	at     time.Time
}

func (q recheckQueue) Len() int           { return len(q) }
func (q recheckQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q recheckQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *recheckQueue) Push(x any) { *q = append(*q, x.(recheck)) }

// Pop implements heap.Interface.
func (q *recheckQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = recheck{}
	*q = (*q)[:last]
	return x
}

// add schedules a recheck of a runner. It has no effect if one is pending
// already.
func (q *recheckQueue) add(r *runner, until time.Time) {
	if !r.recheckPending {
		r.recheckPending = true
		heap.Push(q, recheck{r, until})
	}
}

// popDue removes and returns a runner whose recheck time has come, or returns
// nil if there is none.
func (q *recheckQueue) popDue(now time.Time) *runner {
	if len(*q) == 0 || now.Before((*q)[0].at) {
		return nil
	}
	r := heap.Pop(q).(recheck).runner
	r.recheckPending = false
	return r
}
