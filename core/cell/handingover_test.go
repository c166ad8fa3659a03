package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestHandingOverWithRuns guards against a job with runs here that counts as not accepted by a cell
// that is handed over: its instance would submit it to another cell.
func TestHandingOverWithRuns(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 1000})
	w.run(time.Second)
	w.submit(j)
	w.run(100 * time.Millisecond)
	w.callerWaits[j.ID] = false
	w.holder().kill()
	p := w.takeOver()
	w.run(100 * time.Millisecond)
	require.Len(t, w.runners["r0"].runs, 2)
	verdict := func(j *work.Job) (v cell.Verdict) {
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "b"}, func(o cell.Outcome) { v = o.Verdict })
		})
		return v
	}
	p.exec(p.cell.Drain)
	require.Equal(t, cell.OutcomeUnknown, verdict(j))
	require.Equal(t, cell.HandingOver, verdict(newJob(2, true, work.Step{Count: 1, CPU: 1, Estimate: 1})))
}
