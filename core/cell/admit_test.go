package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestNoRefusalAtTakeover hands jobs to a new holder before all runners have answered
// it: those that are yet to answer count as room.
func TestNoRefusalAtTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 8, 32000)
	p := w.takeOver()
	w.run(time.Second)
	for i := range 8 {
		w.submit(newTight(i + 1))
	}
	w.run(20 * time.Millisecond)
	p.kill()
	for id, r := range w.runners {
		r.cut = id != "r0"
	}
	w.takeOver()
	w.run(100 * time.Millisecond)
	for i := range 8 {
		w.submit(newTight(i + 101))
	}
	w.run(20 * time.Millisecond)
	for _, r := range w.runners {
		r.cut = false
	}
	w.run(10 * time.Second)
	for id, o := range w.answers {
		require.NotEqual(t, cell.Refused, o.Verdict, id)
	}
	require.Len(t, w.answers, 16)
}

// newTight returns a transient job that is late after twice its work.
func newTight(n int) *work.Job {
	j := newJob(n, true, work.Step{Count: 1, CPU: 14000, Estimate: 300})
	j.Queue.Target = 300
	return j
}
