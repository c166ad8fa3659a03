package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestRunNumbersRiseAfterCancel guards against a job that is submitted again after it was cancelled, and
// whose runs get the numbers of the runs before.
func TestRunNumbersRiseAfterCancel(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	w.submitted[j.ID] = j
	for attempt := 1; attempt <= 3; attempt++ {
		runner, caller := fmt.Sprint("r", attempt-1), fmt.Sprint("a#", attempt)
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller, Resubmitted: attempt > 1}, func(cell.Outcome) {})
		})
		w.run(100 * time.Millisecond)
		require.Contains(t, w.runners[runner].runs, work.Task{Job: j.ID})
		require.Equal(t, attempt, w.runners[runner].runs[work.Task{Job: j.ID}].number)
		p.exec(func() { p.cell.AttemptLost(w.now, j.ID, caller) })
		w.runners[runner].draining = true
		w.join(fmt.Sprint("r", attempt))
		w.run(500 * time.Millisecond)
		require.Empty(t, w.runners[runner].runs)
	}
	require.Empty(t, w.violations)
}
