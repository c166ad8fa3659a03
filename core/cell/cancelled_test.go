package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestCancelledNotStartedAgain guards against a transient job that runs after its cancellation was
// acknowledged, since its instance, to which the outcome was lost, submits it again.
func TestCancelledNotStartedAgain(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	w.submitted[j.ID] = j
	var outcomes []cell.Outcome
	submit := func(caller string) {
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller, Resubmitted: true}, func(o cell.Outcome) { outcomes = append(outcomes, o) })
		})
	}
	submit("a#1")
	w.run(100 * time.Millisecond)
	require.Len(t, w.runners["r0"].runs, 1)
	p.exec(func() { p.cell.Cancel(w.now, j.ID, func(work.State, bool) {}) })
	w.run(time.Second)
	submit("a#2")
	w.run(time.Second)
	cancelled := cell.Outcome{Verdict: cell.Accepted, State: work.Cancelled}
	require.Equal(t, []cell.Outcome{cancelled, cancelled}, outcomes)
	require.Empty(t, w.runners["r0"].runs)
}

// TestLeftStartedAgain checks that a transient job that was cancelled since its only caller was lost
// starts again when it is submitted again, and not beside its former runs.
func TestLeftStartedAgain(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 1000})
	w.submitted[j.ID] = j
	var last cell.Outcome
	submit := func(caller string) {
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller, Resubmitted: true}, func(o cell.Outcome) { last = o })
		})
	}
	submit("a#1")
	w.run(100 * time.Millisecond)
	p.exec(func() { p.cell.AttemptLost(w.now, j.ID, "a#1") })
	for attempt := 0; attempt < 200 && last.Verdict != cell.Accepted; attempt++ {
		submit("a#2")
		w.run(20 * time.Millisecond)
	}
	require.Equal(t, cell.Outcome{Verdict: cell.Accepted, State: work.Succeeded}, last)
	require.Empty(t, w.violations)
}

// TestCancelOfJobStartedAgain guards against an acknowledged cancellation that has no effect: the job
// was left by its first caller, and cancelled for that, and submitted again.
func TestCancelOfJobStartedAgain(t *testing.T) {
	t.Parallel()
	for _, startedAgain := range []bool{true, false} {
		w := newWorld(1, 1, 32000)
		p := w.takeOver()
		w.run(time.Second)
		j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
		w.submitted[j.ID] = j
		submit := func(caller string) (o cell.Outcome) {
			p.exec(func() {
				p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller}, func(v cell.Outcome) { o = v })
			})
			w.run(500 * time.Millisecond)
			return o
		}
		submit("a#1")
		p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "a#1") })
		w.run(time.Second)
		if startedAgain {
			submit("b#1")
			require.Len(t, w.runners["r0"].runs, 1)
		}
		var state work.State
		p.exec(func() { p.cell.Cancel(w.now, j.ID, func(s work.State, _ bool) { state = s }) })
		require.Equal(t, work.Cancelled, state)
		w.run(time.Second)
		require.Empty(t, w.runners["r0"].runs)
		require.Equal(t, cell.Outcome{Verdict: cell.Accepted, State: work.Cancelled}, submit("c#1"))
		require.Empty(t, w.runners["r0"].runs)
	}
}

// TestStateOfJobStartedAgain guards against a job that is reported as cancelled while it runs: it was
// left by its first caller, and submitted again.
func TestStateOfJobStartedAgain(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	w.submitted[j.ID] = j
	state := func() (state work.State) {
		p.exec(func() { p.cell.QueryState(w.now, j.ID, func(s work.State) { state = s }) })
		w.run(time.Second)
		return state
	}
	p.exec(func() { p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "a#1"}, func(cell.Outcome) {}) })
	w.run(500 * time.Millisecond)
	p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "a#1") })
	w.run(time.Second)
	require.Equal(t, work.Cancelled, state())
	p.exec(func() { p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "b#1"}, func(cell.Outcome) {}) })
	w.run(500 * time.Millisecond)
	require.Equal(t, work.Running, state())
}
