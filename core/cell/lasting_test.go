package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// submitLasting submits a job with some tasks that last, to run beside a load.
func submitLasting(w *world) *work.Job {
	j := newJob(8000, false, work.Step{Count: 4, CPU: 1000, Memory: 64, Estimate: 300, LongRunning: true})
	w.submit(j)
	return j
}

// checkLasting checks that each task of a lasting job is at work within the time after which the
// platform counts it as lost, and cancels the job. It does nothing if the job was refused.
func checkLasting(t require.TestingT, w *world, j *work.Job) {
	const lostAfter = 6 * time.Second
	if w.outcomes[j.ID].Verdict == cell.Refused {
		return
	}
	atWork := func() int {
		n := 0
		for _, r := range w.runners {
			for task := range r.runs {
				if task.Job == j.ID && !r.dead {
					n++
				}
			}
		}
		return n
	}
	for end := w.now.Add(lostAfter); atWork() < j.Steps[0].Count && w.now.Before(end); {
		w.run(20 * time.Millisecond)
	}
	require.Equal(t, j.Steps[0].Count, atWork(), "lasting tasks at work")
	p := w.holder()
	p.exec(func() { p.cell.Cancel(w.now, j.ID, func(work.State, bool) {}) })
	w.run(5 * time.Second)
	require.Equal(t, work.Cancelled, w.store.state(j.ID))
	delete(w.submitted, j.ID)
}

// TestFaultsBesideLastingTasks injects each fault into a load of jobs of all kinds beside tasks that
// last, so that no runner is ever without a run.
func TestFaultsBesideLastingTasks(t *testing.T) {
	t.Parallel()
	for _, test := range faultScenarios {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				w := newWorld(seed+100, 6, 32000)
				w.takeOver()
				lasting := submitLasting(w)
				load(w, 80, 6*time.Second)
				w.after(1500*time.Millisecond, func() { test.fault(w) })
				w.run(12 * time.Second)
				w.faults = faults{delay: 2 * time.Millisecond}
				w.run(60 * time.Second)
				require.Empty(t, w.violations, "seed %d", seed)
				checkLasting(t, w, lasting)
				checkSettled(t, w)
			}
		})
	}
}
