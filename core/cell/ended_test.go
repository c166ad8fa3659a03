package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestEndsRemoved checks that the states of ended jobs are reported for
// DefaultEndRetention, and that their rows are removed afterwards, with faults of the
// store, and also for jobs that ended under a previous holder.
func TestEndsRemoved(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(w *world){
		"calm":                func(*world) {},
		"store loses results": func(w *world) { w.faults.lostWriteResult = 0.5 },
		"store down":          func(w *world) { w.store.down = true; w.after(5*time.Second, func() { w.store.down = false }) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(3, 4, 32000)
			w.takeOver()
			const jobs = 120
			for i := range jobs {
				w.after(time.Duration(i)*20*time.Millisecond, func() { w.submit(newJob(i+1, false, plainStep(1))) })
			}
			w.run(10 * time.Second)
			w.holder().kill()
			w.takeOver()
			w.run(cell.DefaultEndRetention - 10*time.Second)
			require.Len(t, w.store.scan("c0/ends/"), jobs)
			p := w.holder()
			p.exec(func() {
				p.cell.QueryState(w.now, fmt.Sprintf("%016x", 1), func(s work.State) { require.Equal(t, work.Succeeded, s) })
			})
			fault(w)
			w.run(40 * time.Second)
			require.Empty(t, w.store.scan("c0/ends/"))
			require.Empty(t, w.violations)
			p.exec(func() {
				p.cell.QueryState(w.now, fmt.Sprintf("%016x", 1), func(s work.State) { require.Equal(t, work.Unknown, s) })
			})
		})
	}
}
