package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestSpeedByKind checks that the speed estimate of a runner that has run nothing comes from
// the others of its machine kind: with two kinds, one of them slow, urgent work avoids the
// untried slow runners once a few of their kind are measured.
func TestSpeedByKind(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 16, 32000)
	for i := range 16 {
		r := w.runners[fmt.Sprintf("r%d", i)]
		r.kind = "a"
		if i%2 == 1 {
			r.kind, r.slowdown = "b", 3
		}
	}
	w.takeOver()
	w.run(time.Second)
	urgent := func(n int) {
		j := newJob(n, true, work.Step{Count: 1, CPU: 20000, Estimate: 100})
		j.Queue.TargetLatency = 1
		w.submit(j)
		w.run(time.Second)
	}
	for i := range 12 {
		urgent(i + 1)
	}
	starts := func() (slow, untried int) {
		for _, r := range w.runners {
			if r.kind == "b" {
				slow += len(r.highestRun)
			}
			if r.kind == "b" && len(r.highestRun) == 0 {
				untried++
			}
		}
		return slow, untried
	}
	before, untried := starts()
	require.Positive(t, untried)
	for i := range 20 {
		urgent(i + 101)
	}
	after, _ := starts()
	require.LessOrEqual(t, after-before, 1)
	checkSettled(t, w)
}
