package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestStoredInTime has a store that takes 60 ms for a write, and runners of which half are
// slow. The result of a stored job reaches its caller once its end is written, so its tasks
// must not go where they would end just in time.
func TestStoredInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 8, 32000)
	for i, id := range []string{"r0", "r1", "r2", "r3"} {
		r := w.runners[id]
		r.kind = "slow"
		r.slowdown = 1.6 + float64(i)/100
	}
	p := w.takeOver()
	p.writeDelay = 50 * time.Millisecond
	w.run(time.Second)
	late := 0
	for n := range 60 {
		j := newJob(n+1, false, work.Step{Count: 1, CPU: 20000, Estimate: 100})
		j.Queue.Stretch, j.Queue.TargetLatency = 0, 285
		if n < 20 {
			j.Queue.TargetLatency = 2000 // so that the slow ones are known
		}
		w.submit(j)
		w.run(285 * time.Millisecond)
		if n >= 20 && w.store.state(j.ID) != work.Succeeded {
			late++
		}
		w.run(100 * time.Millisecond)
	}
	require.LessOrEqual(t, late, 2)
}
