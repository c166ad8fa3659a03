package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// urgentJob returns a transient job of n tasks of 100 ms.
func urgentJob(id, n int) *work.Job {
	j := newJob(id, true, work.Step{Count: n, CPU: 14000, Estimate: 100})
	j.Queue.TargetLatency = 60
	return j
}

// train runs enough jobs for the cell to know run times and speeds.
func train(w *world) {
	for i := range 40 {
		w.submit(urgentJob(1000+i, 2))
		w.run(200 * time.Millisecond)
	}
	w.run(time.Second)
}

// TestLostPoll loses the replies to long polls. The cell must learn of ends soon after they
// are expected, not when a poll times out.
func TestLostPoll(t *testing.T) {
	t.Parallel()
	w := newWorld(3, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	train(w)
	for _, r := range w.runners {
		r.losesPolls = true
	}
	w.run(time.Second)
	for i := range 10 {
		j := urgentJob(i+1, 4)
		submitted := w.now
		w.submit(j)
		for w.callerWaits[j.ID] && w.now.Sub(submitted) < 5*time.Second {
			w.run(5 * time.Millisecond)
		}
		require.Less(t, w.now.Sub(submitted), 230*time.Millisecond, "job %d", i)
		w.run(time.Second)
	}
	for _, r := range w.runners {
		r.losesPolls = false
	}
	w.run(2 * time.Second)
	checkSettled(t, w)
}

// TestTurnsSlow makes one of several runners eight times slower while the others have room.
// Its tasks must be done elsewhere in time, and after a few it must get none that is urgent.
func TestTurnsSlow(t *testing.T) {
	t.Parallel()
	w := newWorld(3, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	train(w)
	slow := w.runners["r0"]
	slow.slowdown = 8
	late := 0
	before := 0
	for i := range 30 {
		if i == 20 {
			before = len(slow.highestRun)
		}
		j := urgentJob(i+1, 6)
		submitted := w.now
		w.submit(j)
		for w.callerWaits[j.ID] && w.now.Sub(submitted) < 5*time.Second {
			w.run(5 * time.Millisecond)
		}
		require.Less(t, w.now.Sub(submitted), 420*time.Millisecond, "job %d", i)
		if w.now.Sub(submitted) > 260*time.Millisecond {
			late++
		}
		w.run(300 * time.Millisecond)
	}
	require.LessOrEqual(t, late, 4)
	require.LessOrEqual(t, len(slow.highestRun)-before, 1, "tasks on the slow runner: %s", fmt.Sprint(slow.highestRun))
	checkSettled(t, w)
}
