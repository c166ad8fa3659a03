package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// opportunisticStep returns a step of n opportunistic tasks with checkpoints, and an
// estimated run time in milliseconds.
func opportunisticStep(n, estimate int) work.Step {
	return work.Step{Count: n, CPU: 8000, Memory: 64, Estimate: estimate, Opportunistic: true, Checkpointable: true}
}

// TestOpportunistic checks that opportunistic tasks run only on the processors that others
// leave, and take no capacity from other tasks.
func TestOpportunistic(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, opportunisticStep(6, 5000)))
	w.run(time.Second)
	opportunisticRuns := 0
	for _, r := range w.runners {
		opportunisticRuns += len(r.runs)
		require.LessOrEqual(t, len(r.runs), 4, "more opportunistic tasks than unused processors allow")
	}
	require.Equal(t, 6, opportunisticRuns)
	w.submit(newJob(2, true, work.Step{Count: 8, CPU: 14000, Memory: 64, Estimate: 1000}))
	w.run(500 * time.Millisecond)
	runs := 0
	for _, r := range w.runners {
		runs += len(r.runs)
	}
	require.Equal(t, 14, runs, "opportunistic tasks take capacity from others")
	w.run(40 * time.Second)
	checkSettled(t, w)
}

// TestServingComesFirst submits serving tasks when all runners have opportunistic tasks,
// and checks that these are stopped on the runners chosen and finish elsewhere.
func TestServingComesFirst(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, opportunisticStep(16, 4000)))
	w.run(time.Second)
	serving := newJob(2, false, work.Step{Count: 2, CPU: 6000, Memory: 64, Estimate: 500, LongRunning: true, TailLatencyTarget: 40})
	w.submit(serving)
	w.run(time.Second)
	running := 0
	for _, r := range w.runners {
		for task := range r.runs {
			if task.Job == serving.ID {
				running++
			}
		}
	}
	require.Equal(t, 2, running)
	w.run(30 * time.Second)
	require.Equal(t, work.Succeeded, w.store.state(newJob(1, false).ID))
	p := w.holder()
	p.exec(func() { p.cell.Cancel(w.now, serving.ID, func(work.State, bool) {}) })
	w.run(2 * time.Second)
	require.Empty(t, w.violations)
}

// TestAdvice checks that jobs of a queue that requires advice end, with restarted runners,
// lost replies of the adviser and of runners, and takeovers, and that without faults no
// start order lacks a valid ticket.
func TestAdvice(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(w *world){
		"calm":         func(*world) {},
		"replies lost": func(w *world) { w.faults.lostReply = 0.1 },
		"runners restarted": func(w *world) {
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
				j := newJob(i+1, i%2 == 0, plainStep(1+i%4), plainStep(2, 0))
				j.Queue.RequiresAdvice = true
				w.after(time.Duration(i)*200*time.Millisecond, func() { w.submit(j) })
			}
			w.after(time.Second, func() { fault(w) })
			w.run(10 * time.Second)
			w.faults = faults{delay: 2 * time.Millisecond}
			w.run(40 * time.Second)
			checkSettled(t, w)
			if name == "calm" {
				require.Zero(t, w.endCounts[order.EndReason("unadvised")])
			}
		})
	}
}

// TestTicketsEnd guards against start orders with expired tickets, in a step that takes
// longer than a ticket is valid.
func TestTicketsEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 12, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 30, CPU: 14000, Estimate: 1000})
	j.Queue.RequiresAdvice = true
	w.submit(j)
	w.run(20 * time.Second)
	checkSettled(t, w)
	require.Zero(t, w.endCounts[order.EndReason("unadvised")])
}
