package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestNoRefusalAtTakeover guards against a new holder that refuses jobs for lack of
// capacity before all runners have replied to it: runners that are yet to reply count as
// free capacity.
func TestNoRefusalAtTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 8, 32000)
	p := w.takeOver()
	w.run(time.Second)
	for i := range 8 {
		w.submit(newTightJob(i + 1))
	}
	w.run(20 * time.Millisecond)
	p.kill()
	for id, r := range w.runners {
		r.unreachable = id != "r0"
	}
	w.takeOver()
	w.run(100 * time.Millisecond)
	for i := range 8 {
		w.submit(newTightJob(i + 101))
	}
	w.run(20 * time.Millisecond)
	for _, r := range w.runners {
		r.unreachable = false
	}
	w.run(10 * time.Second)
	for id, o := range w.outcomes {
		require.NotEqual(t, cell.Refused, o.Verdict, id)
	}
	require.Len(t, w.outcomes, 16)
}

// newTightJob returns a transient job that is late after twice its run time.
func newTightJob(n int) *work.Job {
	j := newJob(n, true, work.Step{Count: 1, CPU: 14000, Estimate: 300})
	j.Queue.TargetLatency = 300
	return j
}
