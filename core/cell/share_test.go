package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// filler returns a step of n tasks that fill.
func filler(n, estimate int) work.Step {
	return work.Step{Count: n, CPU: 8000, Memory: 64, Estimate: estimate, Fills: true, Checkpoint: true}
}

// TestFills lets tasks that fill run beside full runners, and checks that they take no
// room and work only on what is left.
func TestFills(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, filler(6, 5000)))
	w.run(time.Second)
	filling := 0
	for _, r := range w.runners {
		filling += len(r.runs)
		require.LessOrEqual(t, len(r.runs), 4, "more than the processors that are left")
	}
	require.Equal(t, 6, filling)
	w.submit(newJob(2, true, work.Step{Count: 8, CPU: 14000, Memory: 64, Estimate: 1000}))
	w.run(500 * time.Millisecond)
	runs := 0
	for _, r := range w.runners {
		runs += len(r.runs)
	}
	require.Equal(t, 14, runs, "what fills keeps nothing from others")
	w.run(40 * time.Second)
	settled(t, w)
}

// TestServingComesFirst hands in serving tasks where all runners have tasks that fill:
// these make room, and come back elsewhere.
func TestServingComesFirst(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, filler(16, 4000)))
	w.run(time.Second)
	serving := newJob(2, false, work.Step{Count: 2, CPU: 6000, Memory: 64, Estimate: 500, Lasting: true, Tail: 40})
	w.submit(serving)
	w.run(time.Second)
	at := 0
	for _, r := range w.runners {
		for task := range r.runs {
			if task.Job == serving.ID {
				at++
			}
		}
	}
	require.Equal(t, 2, at)
	w.run(30 * time.Second)
	require.Equal(t, work.Succeeded, w.store.state(newJob(1, false).ID))
	p := w.holder()
	p.tell(func() { p.cell.Cancel(w.now, serving.ID, func(work.State, bool) {}) })
	w.run(2 * time.Second)
	require.Empty(t, w.broken)
}

// TestAdvice runs jobs of a queue that needs advice, with runners that start anew, lost
// answers of the adviser and takeovers.
func TestAdvice(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(w *world){
		"calm":         func(*world) {},
		"answers lost": func(w *world) { w.faults.lost = 0.1 },
		"runners anew": func(w *world) {
			for i, id := range []string{"r0", "r3", "r5"} {
				w.after(time.Duration(i)*time.Second, func() { w.runners[id].restart() })
			}
		},
		"holder killed": func(w *world) { w.holder().kill(); w.after(100*time.Millisecond, func() { w.takeOver() }) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 12, 32000)
			w.takeOver()
			w.run(time.Second)
			for i := range 30 {
				j := newJob(i+1, i%2 == 0, plain(1+i%4), plain(2, 0))
				j.Queue.Advised = true
				w.after(time.Duration(i)*200*time.Millisecond, func() { w.submit(j) })
			}
			w.after(time.Second, func() { fault(w) })
			w.run(10 * time.Second)
			w.faults = faults{delay: 2 * time.Millisecond}
			w.run(40 * time.Second)
			settled(t, w)
			if name == "calm" {
				require.Zero(t, w.hows[order.How("unadvised")])
			}
		})
	}
}

// TestTicketsEnd runs a step for longer than a ticket holds: no start has one that has
// ended.
func TestTicketsEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 12, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 30, CPU: 14000, Estimate: 1000})
	j.Queue.Advised = true
	w.submit(j)
	w.run(20 * time.Second)
	settled(t, w)
	require.Zero(t, w.hows[order.How("unadvised")])
}
