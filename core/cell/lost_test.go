package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestFullRunnerLost lets a runner crash that has no room for more, so that nothing
// but holds is sent there.
func TestFullRunnerLost(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		crash func(r *simRunner)
		bound time.Duration // from the crash until its tasks run elsewhere
	}{
		{"silent", func(r *simRunner) { r.dead = true }, 3 * time.Second},
		{"refusing", func(r *simRunner) { r.dead, r.refuses = true, true }, 3 * time.Second},
		{"its address given to another", func(r *simRunner) { r.giveAway() }, time.Second},
	} {
		for _, transient := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(1, 2, 32000)
				w.takeOver()
				w.run(time.Second)
				w.submit(newJob(1, transient, work.Step{Count: 4, CPU: 16000, Estimate: 9000}))
				w.run(time.Second)
				lost, other := w.runners["r0"], w.runners["r1"]
				require.Len(t, lost.runs, 2)
				require.Len(t, other.runs, 2)
				test.crash(lost)
				other.cpu = 64000
				w.relist()
				w.run(test.bound)
				require.Len(t, other.runs, 4)
				w.run(40 * time.Second)
				settled(t, w)
			})
		}
	}
}

// TestLostRunnerProbes bounds what is sent to a runner that has crashed.
func TestLostRunnerProbes(t *testing.T) {
	t.Parallel()
	for _, crash := range []func(r *simRunner){
		func(r *simRunner) { r.dead, r.refuses = true, true },
		func(r *simRunner) { r.giveAway() },
	} {
		w := newWorld(1, 1, 32000)
		p := w.takeOver()
		w.run(time.Second)
		crash(w.runners["r0"])
		sent := p.holds
		w.run(10 * time.Second)
		require.LessOrEqual(t, p.holds-sent, 50)
	}
}

// TestRefusedAtTakeover lets a runner refuse connections while a holder takes over.
func TestRefusedAtTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	r := w.runners["r0"]
	r.dead, r.refuses = true, true
	w.takeOver()
	w.run(2 * time.Second)
	r.dead = false
	w.run(time.Second)
	w.submit(newJob(1, true, plain(2)))
	w.run(2 * time.Second)
	settled(t, w)
}
