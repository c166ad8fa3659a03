package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// TestEvacuationStartsNothing guards against any kind of start on a runner whose data centre is
// evacuated: waiting and retried tasks, gangs, occurrences, resumed, lasting and opportunistic tasks,
// requests for advice, and starts by a holder that takes over meanwhile; and against runners that are not
// used again afterwards.
func TestEvacuationStartsNothing(t *testing.T) {
	t.Parallel()
	for _, takeover := range []bool{false, true} {
		w := newWorld(1, 6, 32000)
		w.setZones("a", "b")
		w.takeOver()
		w.run(time.Second)
		w.runners["r1"].failsFirst, w.runners["r2"].failsFirst = true, true
		lasting := submitLasting(w)
		load(w, 120, 8*time.Second)
		for i := range 20 {
			advised := newJob(500+i, true, plainStep(1))
			advised.Queue.RequiresAdvice = true
			filler := newJob(600+i, true, plainStep(1))
			filler.Steps[0].Opportunistic = true
			w.after(time.Duration(i)*300*time.Millisecond, func() { w.submit(advised); w.submit(filler) })
		}
		w.run(2 * time.Second)
		require.Positive(t, w.runsIn("a"))
		w.evacuate("a")
		if takeover {
			w.run(500 * time.Millisecond)
			w.holder().kill()
			w.takeOver()
		}
		w.run(500 * time.Millisecond)
		before := w.startedIn("a")
		w.run(3 * time.Second)
		require.Equal(t, before, w.startedIn("a"))
		w.evacuate()
		w.run(3 * time.Second)
		require.Greater(t, w.startedIn("a"), before, "used again")
		w.run(30 * time.Second)
		checkLasting(t, w, lasting)
		w.run(5 * time.Second)
		checkSettled(t, w)
	}
}

// TestEvacuatedRunsGoOn guards against runs in an evacuated data centre that are stopped, lose their
// lease, or end without their end being recorded.
func TestEvacuatedRunsGoOn(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.run(time.Second)
	lasting := newJob(1, false, work.Step{Count: 4, CPU: 1000, Estimate: 300, LongRunning: true, MaxPerRunner: 1})
	w.submit(lasting)
	for i := range 4 {
		w.submit(newJob(10+i, i%2 == 0, work.Step{Count: 1, CPU: 20000, Estimate: 3000}))
	}
	w.run(500 * time.Millisecond)
	require.Equal(t, 4, w.runsIn("a"))
	w.evacuate("a")
	w.run(6 * time.Second)
	require.Equal(t, 2, w.runsIn("a"), "the lasting tasks")
	require.Equal(t, map[order.EndReason]int{order.Finished: 4}, w.endCounts)
	for i := range 4 {
		require.Equal(t, cell.Accepted, w.outcomes[newJob(10+i, true).ID].Verdict)
	}
	require.Empty(t, w.violations)
	w.evacuate()
	checkLasting(t, w, lasting)
	checkSettled(t, w)
}

// TestEvacuatedStartNotResent guards against a start order on its way when an evacuation begins: it must
// neither be sent again nor carried out late, and its task must run elsewhere.
func TestEvacuatedStartNotResent(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{15 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		w := newWorld(1, 2, 32000)
		w.setZones("a", "b")
		w.takeOver()
		w.run(time.Second)
		r := w.runners["r0"]
		r.startDelay = delay
		w.submit(newJob(1, false, plainStep(4)))
		w.submit(newJob(2, true, plainStep(4)))
		for w.holder().startsSent["r0"] == 0 {
			w.run(time.Millisecond)
		}
		sent := w.holder().startsSent["r0"]
		w.evacuate("a")
		w.run(5 * time.Second)
		require.Equal(t, sent, w.holder().startsSent["r0"])
		require.Empty(t, r.highestRun, "started late after %v", delay)
		checkSettled(t, w)
	}
}

// TestRunnerOfEvacuatedZone guards against a runner whose entry names an evacuated data centre only
// later, which gets a start order again that it has not answered, or further ones.
func TestRunnerOfEvacuatedZone(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.evacuate("c")
	w.run(time.Second)
	r := w.runners["r0"]
	r.startDelay = 200 * time.Millisecond
	w.submit(newJob(1, true, plainStep(8)))
	w.run(10 * time.Millisecond)
	require.Equal(t, 2, w.holder().startsSent["r0"])
	r.zone = "c"
	w.updateDirectory()
	w.run(5 * time.Second)
	require.Equal(t, 2, w.holder().startsSent["r0"])
	checkSettled(t, w)
}

// TestUnknownEvacuations guards against a holder that starts work before it knows which data centres
// are evacuated, or accepts work that it may not start.
func TestUnknownEvacuations(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.setZones("a", "b")
	p := w.takeOver()
	p.cell.ApplySettings(cell.Settings{AwaitEvacuations: true})
	stored := newJob(1, false, plainStep(2))
	w.submit(stored) // accepted, since the rows have not been loaded
	w.run(time.Second)
	w.submit(newJob(2, true, plainStep(1)))
	w.run(time.Second)
	require.Empty(t, p.startsSent)
	require.Equal(t, cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonStore, RetryAfter: time.Second}, w.outcomes[newJob(2, true).ID])
	w.evacuate("a")
	w.run(time.Second)
	require.Equal(t, work.Succeeded, w.store.state(stored.ID))
	require.Zero(t, w.startedIn("a"))
	w.evacuate()
	checkSettled(t, w)
}

// TestEvacuatedRefusal guards against jobs that wait for evacuated runners, are accepted for them, or are
// refused as if they were too large.
func TestEvacuatedRefusal(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.run(time.Second)
	refused := cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonEvacuated, RetryAfter: time.Second}
	for i := range 2 { // both runners are full, so that other jobs wait
		w.submit(newJob(1+i, true, work.Step{Count: 1, CPU: 32000, Estimate: 1000}))
	}
	w.run(100 * time.Millisecond)
	w.submit(newJob(10, true, plainStep(1)))
	w.evacuate("a")
	w.run(100 * time.Millisecond)
	require.NotContains(t, w.outcomes, newJob(10, true).ID, "it fits on the other runner")
	w.evacuate("a", "b")
	w.run(10 * time.Millisecond)
	require.Equal(t, refused, w.outcomes[newJob(10, true).ID], "it waited")
	w.submit(newJob(11, true, plainStep(1)))
	w.submit(newJob(12, false, plainStep(1)))
	w.submit(newJob(13, true, labelled("none", 1)))
	w.run(10 * time.Millisecond)
	require.Equal(t, refused, w.outcomes[newJob(11, true).ID])
	require.Equal(t, refused, w.outcomes[newJob(12, true).ID])
	require.Equal(t, cell.ReasonNoRunnerFits, w.outcomes[newJob(13, true).ID].Reason)
	w.run(2 * time.Second)
	require.Equal(t, work.Succeeded, w.outcomes[newJob(1, true).ID].State, "it ran")
	w.evacuate("b")
	w.submit(newJob(14, true, plainStep(1)))
	w.run(time.Second)
	require.Equal(t, work.Succeeded, w.outcomes[newJob(14, true).ID].State)
	checkSettled(t, w)
}

// TestEvacuatedLastOthers guards against a job that waits for evacuated runners after the other runners
// have gone.
func TestEvacuatedLastOthers(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.run(time.Second)
	w.evacuate("a")
	w.submit(newJob(1, true, work.Step{Count: 1, CPU: 32000, Estimate: 6000}))
	w.run(100 * time.Millisecond)
	w.submit(newJob(2, true, plainStep(1)))
	w.unlist(10*time.Second, "r1")
	w.run(3 * time.Second)
	require.Equal(t, cell.ReasonEvacuated, w.outcomes[newJob(2, true).ID].Reason)
}

// TestEvacuatedCapacity guards against jobs that are accepted as if evacuated runners did their part of
// the work, and are late.
func TestEvacuatedCapacity(t *testing.T) {
	t.Parallel()
	refused := func(evacuated ...string) int {
		w := newWorld(1, 8, 32000)
		w.setZones("a", "b", "c", "d")
		w.takeOver()
		w.run(time.Second)
		w.evacuate(evacuated...)
		n := 0
		for i := range 16 {
			w.submit(newTightJob(i + 1))
		}
		w.run(10 * time.Second)
		for _, o := range w.outcomes {
			if o.Verdict == cell.Refused {
				require.Equal(t, cell.ReasonLoad, o.Reason)
				n++
			}
		}
		checkSettled(t, w)
		return n
	}
	require.Zero(t, refused())
	require.Greater(t, refused("a", "b", "c"), 4)
}

// TestEvacuatedGangReservesNothing guards against small jobs that are held back for a gang that needs
// evacuated runners.
func TestEvacuatedGangReservesNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.run(time.Second)
	for i := range 4 {
		w.submit(newJob(1+i, true, work.Step{Count: 1, CPU: 20000, Estimate: 1000}))
	}
	g := gangStep(4, 100)
	g.MaxPerRunner = 1
	w.submit(newJob(10, false, g))
	w.run(100 * time.Millisecond)
	w.evacuate("a")
	w.run(2 * time.Second)
	began := w.now
	w.submit(newJob(20, true, plainStep(1)))
	for w.callerWaits[newJob(20, true).ID] {
		w.run(10 * time.Millisecond)
	}
	require.Less(t, w.now.Sub(began), 500*time.Millisecond)
	w.evacuate()
	w.run(time.Second)
	checkSettled(t, w)
}

// TestEvacuatedCellMoves guards against stored jobs that wait in a cell whose runners are all evacuated
// while others can run them, and against a wrong reason if none can.
func TestEvacuatedCellMoves(t *testing.T) {
	t.Parallel()
	l := newCells(1, 3, 2)
	home := l[0]
	for i, w := range l {
		w.setZones(string(rune('a' + i)))
		w.updateDirectory()
	}
	evacuate := func(zones ...string) {
		for _, w := range l {
			w.evacuate(zones...)
		}
	}
	l.run(100 * time.Millisecond)
	for i := range 12 {
		home.submit(newJob(i+1, false, plainStep(2), plainStep(2, 0)))
	}
	l.run(150 * time.Millisecond)
	evacuate("a")
	home.submit(newJob(20, false, plainStep(1)))
	l.run(200 * time.Millisecond)
	before := home.startedIn("a")
	l.run(5 * time.Second)
	require.Equal(t, before, home.startedIn("a"))
	for i := range 12 {
		require.Equal(t, work.Succeeded, home.store.state(newJob(i+1, false).ID), i)
	}
	require.Equal(t, work.Succeeded, home.store.state(newJob(20, false).ID), "submitted meanwhile")
	evacuate("a", "b", "c")
	home.submit(newJob(30, false, labelled("c1", 1)))
	home.submit(newJob(31, false, plainStep(1)))
	home.submit(newJob(32, false, labelled("none", 1)))
	l.run(time.Second)
	for _, n := range []int{30, 31} {
		require.Equal(t, cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonEvacuated, RetryAfter: time.Second}, home.outcomes[newJob(n, false).ID], fmt.Sprint(n))
	}
	require.Equal(t, cell.ReasonNoRunnerFits, home.outcomes[newJob(32, false).ID].Reason)
	evacuate()
	home.submit(newJob(33, false, labelled("c1", 1)))
	l.run(4 * time.Second)
	require.Equal(t, work.Succeeded, home.store.state(newJob(33, false).ID))
	require.Empty(t, l.violations())
	require.Empty(t, l.rowsLeft())
}
