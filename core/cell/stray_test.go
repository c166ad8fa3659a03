package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// TestStrayStopped lets a holder die whose caller never comes back.
func TestStrayStopped(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
	w.run(time.Second)
	w.submit(j)
	w.run(time.Second)
	require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs))
	w.open[j.ID] = false
	w.holder().kill()
	w.takeOver()
	w.run(200 * time.Millisecond)
	require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), "kept for the caller to come back")
	w.run(2 * time.Second)
	require.Empty(t, w.runners["r0"].runs)
	require.Empty(t, w.runners["r1"].runs)
}

// TestFailureCountedOnce lets a holder die after it has stored a failure that the
// runner still lists.
func TestFailureCountedOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	j := newJob(1, false, plain(1))
	j.Queue.Attempts = 2
	w.asked[j.ID] = j
	key := "c0/jobs/" + j.ID
	w.store.write(newRow(key, j))
	w.store.write(newRow("c0/progress/"+j.ID, cell.ProgressRow{
		Done: [][]int{nil}, Failures: []cell.TaskFailures{{Runs: []int{1}}},
	}))
	r := w.runners["r0"]
	task := work.Task{Job: j.ID}
	r.highest[task], r.last = 1, 1
	r.ends = []order.End{{N: 1, Task: task, Run: 1, How: order.Failed}}
	w.takeOver()
	w.run(5 * time.Second)
	require.Empty(t, w.broken)
	require.Equal(t, work.Succeeded, w.store.state(j.ID))
}

// TestLeft lets the caller of a transient job leave.
func TestLeft(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 6, CPU: 14000, Estimate: 60000})
	w.asked[j.ID] = j
	var told []cell.Outcome
	for _, caller := range []string{"a", "b"} {
		p.tell(func() {
			p.cell.Submit(w.now, cell.Handed{Job: *j, Caller: caller}, func(o cell.Outcome) { told = append(told, o) })
		})
	}
	w.run(time.Second)
	p.tell(func() { p.cell.Leave(w.now, j.ID, "a") })
	w.run(time.Second)
	require.Len(t, w.runners["r0"].runs, 2, "the other caller waits")
	p.tell(func() { p.cell.Leave(w.now, j.ID, "b") })
	w.run(time.Second)
	require.Empty(t, w.runners["r0"].runs)
	require.Empty(t, w.runners["r1"].runs)
	require.Empty(t, told)
}

// TestCancel cancels a stored job while it runs, and before it is stored.
func TestCancel(t *testing.T) {
	t.Parallel()
	for _, wait := range []time.Duration{0, 5 * time.Millisecond, time.Second} {
		w := newWorld(1, 2, 32000)
		p := w.takeOver()
		w.run(time.Second)
		j := newJob(1, false, work.Step{Count: 6, CPU: 14000, Estimate: 60000})
		w.submit(j)
		w.run(wait)
		var states []work.State
		p.tell(func() {
			p.cell.Cancel(w.now, j.ID, func(s work.State, stored bool) {
				require.True(t, stored)
				states = append(states, s)
			})
		})
		w.run(time.Second)
		require.Equal(t, []work.State{work.Cancelled}, states)
		require.Equal(t, work.Cancelled, w.store.state(j.ID))
		require.Empty(t, w.runners["r0"].runs)
	}
}

// TestLease lets a holder that is cut from the store be replaced by one that reaches
// none of its runners, but a new one. What the former one does must have lapsed, and it
// must start nothing more.
func TestLease(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		jobs   int
		tasks  int
		silent time.Duration // from the cut to the new holder
	}{
		{"replaced after silence", 1, 14, 2 * time.Second},
		{"replaced once its tenure is over", 1, 14, simTenure + 10*time.Millisecond},
		{"with tasks that wait", 12, 8, 2 * time.Second},
		{"with tasks that wait, replaced once its tenure is over", 12, 8, simTenure + 10*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 6, 32000)
			w.runners["r5"].listed = false
			p := w.takeOver()
			w.run(time.Second)
			for i := range test.jobs {
				w.submit(newJob(i+1, true, work.Step{Count: test.tasks, CPU: 14000, Estimate: 9000}))
			}
			w.run(time.Second)
			p.cut = true
			p.blind = map[string]bool{"r5": true}
			w.run(test.silent)
			w.runners["r5"].listed = true
			w.takeOver().blind = map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true, "r4": true}
			p.release()
			w.run(40 * time.Second)
			require.Empty(t, w.broken)
			require.NotEmpty(t, w.runners["r5"].highest, "the new holder starts tasks")
		})
	}
}

// TestNoStartWithoutTenure lets a holder that is cut from the store have tasks that wait.
func TestNoStartWithoutTenure(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	p := w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, true, work.Step{Count: 12, CPU: 14000, Estimate: 900}))
	p.cut = true
	w.run(1500 * time.Millisecond)
	starts := len(w.runners["r0"].highest) + len(w.runners["r1"].highest)
	require.Less(t, starts, 12)
	w.run(10 * time.Second)
	require.Equal(t, starts, len(w.runners["r0"].highest)+len(w.runners["r1"].highest))
}
