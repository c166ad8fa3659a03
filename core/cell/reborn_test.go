package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestLateStartInUnfencedIncarnation guards against a task that is started elsewhere once the leases of
// a silent runner have expired, beside a run that its next incarnation begins on the late start order.
func TestLateStartInUnfencedIncarnation(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		restart func(w *world, r *simRunner)
	}{
		{"seen in the directory", func(w *world, r *simRunner) {
			r.unreachable = true
			w.run(100 * time.Millisecond)
			r.restart()
			w.updateDirectory()
		}},
		{"seen in a reply", func(w *world, r *simRunner) {
			w.run(100 * time.Millisecond)
			r.restart()
			for holds := w.holder().holdsSent; w.holder().holdsSent < holds+2; { // the reply and the fencing
				w.run(100 * time.Microsecond)
			}
			r.unreachable = true
		}},
		{"seen in the directory, twice", func(w *world, r *simRunner) {
			r.unreachable = true
			for range 2 {
				w.run(50 * time.Millisecond)
				r.restart()
				w.updateDirectory()
			}
		}},
	} {
		for _, transient := range []bool{true, false} {
			for delay := 200 * time.Millisecond; delay < 4*time.Second; delay += 200 * time.Millisecond {
				t.Run(fmt.Sprint(test.name, ", transient ", transient, ", after ", delay), func(t *testing.T) {
					t.Parallel()
					w := newWorld(1, 2, 32000)
					w.takeOver()
					w.run(time.Second)
					r, other := w.runners["r0"], w.runners["r1"]
					other.unfit = true // so that the job starts on the first one
					r.startDelay = delay
					j := newJob(1, transient, work.Step{Count: 1, CPU: 14000, Estimate: 3000})
					w.submit(j)
					w.run(15 * time.Millisecond)
					other.unfit = false
					test.restart(w, r)
					w.run(1500 * time.Millisecond)
					r.unreachable, r.startDelay = false, 0
					w.run(20 * time.Second)
					require.Empty(t, w.violations)
					require.True(t, w.finished[work.Task{Job: j.ID}])
				})
			}
		}
	}
}
