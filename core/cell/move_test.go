package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// labelled returns a step of n tasks for runners with a label.
func labelled(label string, n int, after ...int) work.Step {
	s := plainStep(n, after...)
	s.RequiredLabel = label
	return s
}

// TestLabelElsewhere guards against stored jobs that are refused, or accepted and never begun, since
// the runners with their label are in other cells than their home.
func TestLabelElsewhere(t *testing.T) {
	t.Parallel()
	l := newCells(1, 3, 3)
	home := l[0]
	steps := map[string][]work.Step{
		"elsewhere":      {labelled("c1", 2)},
		"two cells":      {labelled("c1", 1), labelled("c2", 2, 0), labelled("c0", 1, 1), labelled("c1", 1, 2)},
		"spread":         {{Count: 3, CPU: 1000, Estimate: 100, Gang: true, MaxPerRunner: 1, RequiredLabel: "c2"}},
		"begins at home": {plainStep(2), labelled("c2", 2, 0)},
	}
	n := 0
	for name, s := range steps {
		n++
		j := newJob(n, false, s...)
		began := home.now
		home.submit(j)
		for home.store.state(j.ID) != work.Succeeded {
			l.run(10 * time.Millisecond)
			require.Less(t, home.now.Sub(began), 6*time.Second, name)
		}
	}
	nowhere := newJob(90, false, labelled("none", 1))
	home.submit(nowhere)
	l.run(time.Second)
	require.Equal(t, cell.Refused, home.outcomes[nowhere.ID].Verdict)
	l.run(5 * time.Second)
	require.Empty(t, l.violations())
	require.Empty(t, l.rowsLeft())
}

// TestLabelLost guards against accepted jobs that wait for ever after the only runner of their cell with
// their label is gone.
func TestLabelLost(t *testing.T) {
	t.Parallel()
	l := newCells(1, 2, 3)
	home := l[0]
	for _, w := range l {
		w.runners[w.cellName+"-r0"].label = "g"
		w.updateDirectory()
	}
	l.run(100 * time.Millisecond)
	for i := range 12 {
		home.submit(newJob(i+1, false, labelled("g", 1), labelled("g", 2, 0)))
	}
	l.run(150 * time.Millisecond)
	r := home.runners["c0-r0"]
	r.dead, r.runs = true, nil
	l.run(4500 * time.Millisecond)
	home.unlist(time.Hour, r.id)
	l.run(6 * time.Second)
	for i := range 12 {
		require.Equal(t, work.Succeeded, home.store.state(newJob(i+1, false).ID), i)
	}
	l.run(2 * time.Second)
	require.Empty(t, l.violations())
	require.Empty(t, l.rowsLeft())
}

// TestRunnersOfCellLost guards against jobs that wait for ever in a cell that has lost all its runners,
// also if its holder dies while they are moved.
func TestRunnersOfCellLost(t *testing.T) {
	t.Parallel()
	for _, killedAfter := range []time.Duration{0, 1900, 2000, 2050, 2100, 2200, 2500} {
		l := newCells(1, 3, 3)
		home := l[0]
		for i := range 20 {
			home.submit(newJob(i+1, false, plainStep(2), plainStep(2, 0)))
		}
		l.run(150 * time.Millisecond)
		for _, r := range home.runners {
			r.dead, r.runs = true, nil
		}
		if killedAfter > 0 {
			home.after(killedAfter*time.Millisecond, func() {
				home.holder().kill()
				home.after(700*time.Millisecond, func() { home.takeOver() })
			})
		}
		l.run(14 * time.Second)
		for i := range 20 {
			require.Equal(t, work.Succeeded, home.store.state(newJob(i+1, false).ID), "job %d, killed after %d ms", i, killedAfter)
		}
		require.Empty(t, l.violations())
		require.Empty(t, l.rowsLeft())
	}
}

// TestCrowdedCell guards against a job that waits in its cell for runners that are taken for good, while
// another cell has room.
func TestCrowdedCell(t *testing.T) {
	t.Parallel()
	l := newCells(1, 2, 3)
	home := l[0]
	lasting := newJob(1, false, work.Step{Count: 6, CPU: 16000, Estimate: 100, LongRunning: true, RequiredLabel: "c0"})
	home.submit(lasting)
	l.run(2 * time.Second)
	j := newJob(2, false, plainStep(2))
	home.submit(j)
	l.run(2500 * time.Millisecond)
	require.Equal(t, work.Succeeded, home.store.state(j.ID))
	ended := work.Unknown
	l.cancel(lasting.ID, func(s work.State) { ended = s })
	l.run(time.Second)
	require.Equal(t, work.Cancelled, ended)
	require.Empty(t, l.violations())
}

// TestCancelWhileMoving cancels jobs at any moment around their moves. Each cancellation takes effect,
// and no task runs on.
func TestCancelWhileMoving(t *testing.T) {
	t.Parallel()
	for ms := 0; ms < 400; ms += 7 {
		l := newCells(uint64(ms), 2, 2)
		home := l[0]
		j := newJob(1, false, plainStep(1), labelled("c1", 1, 0), labelled("c0", 1, 1))
		j.Steps[1].Estimate = 400
		home.submit(j)
		l.run(500*time.Millisecond + time.Duration(ms)*3*time.Millisecond)
		ended := work.Unknown
		l.cancel(j.ID, func(s work.State) { ended = s })
		l.run(3 * time.Second)
		require.True(t, ended == work.Cancelled || ended == work.Succeeded, "%d ms: %s", ms, ended)
		l.run(3 * time.Second)
		require.Equal(t, ended, home.store.state(j.ID))
		for _, r := range home.allRunners() {
			require.Empty(t, r.runs)
		}
		require.Empty(t, l.violations())
		require.Empty(t, l.rowsLeft())
	}
}

// TestEndKeptForHome guards against an end in another cell that is forgotten before the home of the job,
// which has no holder for long, has taken note of it. The home would pass the job on once more.
func TestEndKeptForHome(t *testing.T) {
	t.Parallel()
	for _, replaced := range []bool{false, true} {
		l := newCells(1, 2, 2)
		home, away := l[0], l[1]
		j := newJob(1, false, labelled("c1", 1))
		home.submit(j)
		for home.finished[work.Task{Job: j.ID}] == false {
			l.run(time.Millisecond)
		}
		home.holder().kill()
		l.run(100 * time.Second)
		if replaced {
			away.holder().kill()
			away.takeOver()
		}
		l.run(300 * time.Second)
		home.takeOver()
		l.run(5 * time.Second)
		require.Equal(t, work.Succeeded, home.store.state(j.ID))
		require.Empty(t, l.violations())
		require.Empty(t, l.rowsLeft())
		l.run(400 * time.Second)
		require.Empty(t, away.store.scan("c1/ends/"))
	}
}

// TestAnyMoves moves jobs between cells under faults drawn at random: holders are killed or replaced,
// replies are lost, orders are late, runners die and return. No task runs twice, and all jobs end.
func TestAnyMoves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l := newCells(rapid.Uint64().Draw(t, "seed"), 3, 3)
		home := l[0]
		jobs := rapid.IntRange(3, 20).Draw(t, "jobs")
		for i := range jobs {
			var steps []work.Step
			for s := range rapid.IntRange(1, 3).Draw(t, "steps") {
				step := labelled(rapid.SampledFrom([]string{"", "c0", "c1", "c2"}).Draw(t, "label"), rapid.IntRange(1, 3).Draw(t, "tasks"))
				if s > 0 {
					step.After = []int{s - 1}
				}
				step.Gang = rapid.IntRange(0, 5).Draw(t, "gang") == 0
				if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
					step.Estimate = 1200
				}
				step.Checkpointable = rapid.Bool().Draw(t, "checkpoint")
				steps = append(steps, step)
			}
			j := newJob(i+1, false, steps...)
			if rapid.IntRange(0, 9).Draw(t, "poison") == 0 {
				j.Spec = "poison"
			}
			home.after(time.Duration(rapid.IntRange(0, 3000).Draw(t, "at"))*time.Millisecond, func() { home.submit(j) })
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			w := l[rapid.IntRange(0, 2).Draw(t, "cell")]
			at := time.Duration(rapid.IntRange(0, 5000).Draw(t, "time")) * time.Millisecond
			fault := rapid.SampledFrom(moveFaults).Draw(t, "fault")
			w.after(at, func() { fault.fault(w) })
		}
		for _, evacuate := range drawEvacuations(t, 5*time.Second, "c0", "c1", "c2") {
			for _, w := range l {
				evacuate(w)
			}
		}
		l.run(10 * time.Second)
		for _, w := range l {
			w.heal()
			for _, r := range w.runners {
				if r.dead {
					r.restart()
				}
			}
			w.updateDirectory()
		}
		l.run(60 * time.Second)
		require.Empty(t, l.violations())
		require.Empty(t, l.rowsLeft())
		for i := range jobs {
			id := fmt.Sprintf("%016x", i+1)
			o, answered := home.outcomes[id]
			require.True(t, answered)
			if o.Verdict == cell.Accepted {
				want := work.Succeeded
				if isPoison(home.submitted[id]) {
					want = work.Failed
				}
				require.Equal(t, want, home.store.state(id), id)
			}
		}
	})
}

// moveFaults are the faults of TestAnyMoves.
var moveFaults = []faultScenario{
	{"killed", func(w *world) { w.holder().kill(); w.after(time.Second, func() { w.takeOver() }) }},
	{"killed, and the next holder reaches no runner", func(w *world) {
		w.holder().kill()
		w.after(100*time.Millisecond, func() {
			p := w.takeOver()
			p.unreachableRunners = map[string]bool{}
			for id := range w.runners {
				p.unreachableRunners[id] = true
			}
			w.after(4*time.Second, func() { clear(p.unreachableRunners) })
		})
	}},
	{"handed over", func(w *world) { w.handOver() }},
	{"frozen", func(w *world) {
		p := w.holder()
		p.frozenUntil = w.now.Add(3 * time.Second)
		w.after(1500*time.Millisecond, func() { w.takeOver(); p.disconnect() })
	}},
	{"replies lost", func(w *world) {
		w.faults.lostReply, w.faults.lostWriteResult = 0.2, 0.2
		w.after(3*time.Second, func() { w.faults.lostReply, w.faults.lostWriteResult = 0, 0 })
	}},
	{"orders late", func(w *world) {
		w.faults.delayedOrder = 0.2
		w.after(2*time.Second, func() { w.faults.delayedOrder = 0 })
	}},
	{"runners dead", func(w *world) {
		for _, r := range w.runners {
			r.restart()
			r.dead = true
		}
		w.after(3*time.Second, func() {
			for _, r := range w.runners {
				r.restart()
			}
			w.updateDirectory()
		})
	}},
	{"one runner unreachable", func(w *world) {
		r := w.runners[w.cellName+"-r0"]
		r.unreachable = true
		w.after(2500*time.Millisecond, func() { r.unreachable = false })
	}},
	{"store down", func(w *world) {
		w.store.down = true
		w.after(2*time.Second, func() { w.store.down = false })
	}},
}

// TestLastingInTwoCells guards against a lasting task that never runs, since its job stays in a cell
// where other tasks of it run and no runner can run this one.
func TestLastingInTwoCells(t *testing.T) {
	t.Parallel()
	l := newCells(1, 2, 2)
	here, there := labelled("c0", 1), labelled("c1", 1)
	here.LongRunning, there.LongRunning = true, true
	l[0].submit(newJob(1, false, here, there))
	l.run(9 * time.Second)
	running := 0
	for _, r := range l[0].allRunners() {
		running += len(r.runs)
	}
	require.Equal(t, 2, running)
	require.Empty(t, l.violations())
}
