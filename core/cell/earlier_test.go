package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// TestEarlierRunStillStops guards against a second run of a task beside an earlier one that is found
// after the end of a later one, and that is still being stopped.
func TestEarlierRunStillStops(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newWorld(seed, 2, 32000)
		w.takeOver()
		w.run(time.Second)
		j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
		w.submit(j)
		w.run(200 * time.Millisecond)
		task := work.Task{Job: j.ID}
		other := w.runners["r0"]
		if other.runs[task] != nil {
			other = w.runners["r1"]
		}
		other.lastEnd++
		other.unackedEnds = append(other.unackedEnds, order.EndedRun{Number: other.lastEnd, Task: task, Run: 2, Reason: order.Stopped})
		w.holder().kill()
		p := w.takeOver()
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "b#1", Resubmitted: true}, func(cell.Outcome) {})
		})
		w.run(time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
		require.Equal(t, 1, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), "seed %d: the task was not started again", seed)
	}
}
