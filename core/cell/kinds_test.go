package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// gangStep returns a step of a gang of n tasks with checkpoints, and an estimated run time
// in milliseconds.
func gangStep(n int, estimate int) work.Step {
	return work.Step{Count: n, CPU: 14000, Memory: 64, Estimate: estimate, Gang: true, Checkpointable: true}
}

// TestGangs guards against gangs that starve, or start in part, when only one of them fits
// at a time and they compete with each other and with small jobs.
func TestGangs(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	for i := range 4 {
		w.submit(newJob(i+1, i%2 == 0, gangStep(8, 400)))
	}
	for i := range 200 {
		w.after(time.Duration(i)*20*time.Millisecond, func() { w.submit(newJob(100+i, true, plainStep(2))) })
	}
	w.run(4 * time.Second)
	for i := range 4 {
		id := newJob(i+1, true).ID
		require.False(t, w.callerWaits[id], "a gang is starved")
	}
	w.run(20 * time.Second)
	checkSettled(t, w)
	require.Zero(t, w.endCounts[order.GangIncomplete])
	require.Zero(t, w.endCounts[order.GangBroken])
}

// TestGangTooLarge checks that a gang that exceeds the total capacity is refused, and that
// a step with as many tasks that need not run at once is accepted.
func TestGangTooLarge(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, true, gangStep(13, 100)))
	w.submit(newJob(2, true, plainStep(13)))
	w.run(5 * time.Second)
	require.Equal(t, cell.Refused, w.outcomes[newJob(1, true).ID].Verdict)
	require.Equal(t, cell.Accepted, w.outcomes[newJob(2, true).ID].Verdict)
}

// TestGangMemberLost checks that a gang runs again after the runner of one member has
// crashed, also if the holder is killed at that moment.
func TestGangMemberLost(t *testing.T) {
	t.Parallel()
	for _, killed := range []bool{false, true} {
		w := newWorld(1, 6, 32000)
		w.takeOver()
		w.run(time.Second)
		w.submit(newJob(1, false, gangStep(6, 2000)))
		w.run(time.Second)
		w.runners["r0"].dead = true
		w.runners["r0"].inDirectory = false
		for _, r := range w.runners {
			for range r.runs {
				w.breakGang(work.Task{Job: newJob(1, false).ID}, 1)
			}
		}
		if killed {
			w.holder().kill()
			w.takeOver()
		}
		w.updateDirectory()
		w.run(20 * time.Second)
		checkSettled(t, w)
		require.Zero(t, w.endCounts[order.GangIncomplete])
	}
}

// TestGangMemberRefused checks that the other members of a gang are stopped once a runner
// has rejected its member, instead of waiting for it until they time out.
func TestGangMemberRefused(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	w.runners["r2"].unfit = true
	w.submit(newJob(1, true, gangStep(10, 300)))
	w.run(2 * time.Second)
	checkSettled(t, w)
	require.Zero(t, w.endCounts[order.GangIncomplete])
}

// TestGangFails checks that a gang that always fails has as many attempts as a single task.
func TestGangFails(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, gangStep(4, 300))
	j.Spec = "poison"
	w.submit(j)
	w.run(20 * time.Second)
	checkSettled(t, w)
	require.Len(t, w.ackedFailures[work.Task{Job: j.ID, Index: -1}], j.Queue.MaxAttempts)
}

// TestLongRunning checks that long-running tasks are started again after any number of
// failures, a takeover and the loss of a runner, until their job is cancelled.
func TestLongRunning(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, work.Step{Count: 4, CPU: 14000, Memory: 64, Estimate: 500, LongRunning: true})
	w.submit(j)
	activeRuns := func() int {
		n := 0
		for _, r := range w.runners {
			if !r.dead {
				n += len(r.runs)
			}
		}
		return n
	}
	w.run(time.Second)
	require.Equal(t, 4, activeRuns())
	for range j.Queue.MaxAttempts + 3 {
		for _, r := range w.runners {
			for _, task := range r.sortedTasks() {
				r.end(task, order.Failed)
			}
		}
		w.run(2 * time.Second)
		require.Equal(t, 4, activeRuns(), "after all tasks failed")
	}
	w.holder().kill()
	w.takeOver()
	w.run(2 * time.Second)
	require.Equal(t, 4, activeRuns(), "after a takeover")
	before := w.endCounts[order.LeaseExpired] + w.endCounts[order.Stopped]
	w.run(20 * time.Second)
	require.Equal(t, before, w.endCounts[order.LeaseExpired]+w.endCounts[order.Stopped], "runs lapsed or stopped without a fault")
	for _, r := range w.runners {
		if len(r.runs) > 0 {
			r.dead, r.inDirectory = true, false
			break
		}
	}
	w.updateDirectory()
	w.run(4 * time.Second)
	require.Equal(t, 4, activeRuns(), "after a runner was lost")
	p := w.holder()
	p.exec(func() { p.cell.QueryState(w.now, j.ID, func(s work.State) { require.Equal(t, work.Running, s) }) })
	p.exec(func() { p.cell.Cancel(w.now, j.ID, func(work.State, bool) {}) })
	w.run(2 * time.Second)
	require.Zero(t, activeRuns())
	require.Equal(t, work.Cancelled, w.store.state(j.ID))
	require.Empty(t, w.violations)
}

// TestOccurrences checks that a job with three occurrences runs each one at its time and
// not before, and that one that came due while there was no holder is made up for.
func TestOccurrences(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, plainStep(2), plainStep(1, 0))
	j.RepeatCount, j.FirstDue, j.Interval = 3, w.now.Add(2*time.Second).UnixMilli(), 1500
	w.submit(j)
	w.run(1900 * time.Millisecond)
	require.Empty(t, w.finished)
	w.run(600 * time.Millisecond)
	require.Len(t, w.finished, 3)
	w.holder().kill()
	w.run(4 * time.Second)
	w.takeOver()
	w.run(500 * time.Millisecond)
	require.Len(t, w.finished, 9, "an occurrence that came due without a holder was not made up for")
	w.run(2 * time.Second)
	checkSettled(t, w)
}

// TestCheckpointsKept guards against the loss of a checkpoint whose end has been
// acknowledged when the holder is killed before the next run.
func TestCheckpointsKept(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, work.Step{Count: 1, CPU: 14000, Memory: 64, Estimate: 3000, Checkpointable: true})
	w.submit(j)
	w.run(time.Second)
	for _, r := range w.runners {
		for _, task := range r.sortedTasks() {
			r.end(task, order.LeaseExpired)
		}
	}
	for _, r := range w.runners {
		r.unfit = true
	}
	w.run(400 * time.Millisecond)
	w.holder().kill()
	w.heal()
	w.run(1500 * time.Millisecond)
	task := work.Task{Job: j.ID}
	require.Equal(t, w.checkpointPrefix(task)+"1", w.resumedFrom[task])
	w.run(20 * time.Second)
	checkSettled(t, w)
}

// TestGangEndsHeld checks that while the store is unreachable, no end of a gang member is
// acknowledged before its effects are stored.
func TestGangEndsHeld(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 3, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, gangStep(6, 1000)))
	w.run(300 * time.Millisecond)
	w.store.down = true
	w.run(2 * time.Second)
	require.Equal(t, 6, w.endCounts[order.Finished])
	for id, r := range w.runners {
		require.Len(t, r.unackedEnds, 2, id)
	}
	w.store.down = false
	w.run(5 * time.Second)
	checkSettled(t, w)
}

// TestSpreadOfOccurrences guards against two tasks of a step on one runner, beyond the limit, from the
// second occurrence of a job on: two larger runners, which take more than one, join meanwhile.
func TestSpreadOfOccurrences(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, plainStep(1), work.Step{Count: 4, CPU: 10000, Estimate: 800, MaxPerRunner: 1, After: []int{0}})
	j.RepeatCount, j.FirstDue, j.Interval = 5, w.now.Add(time.Second).UnixMilli(), 2500
	w.submit(j)
	w.run(2 * time.Second)
	for _, id := range []string{"r8", "r9"} {
		w.join(id)
		w.runners[id].cpu = 64000
	}
	w.updateDirectory()
	for range 1200 {
		w.run(10 * time.Millisecond)
		for id, r := range w.runners {
			spread := map[int]int{}
			for task := range r.runs {
				if task.Step == 1 {
					spread[task.Occurrence]++
					require.LessOrEqual(t, spread[task.Occurrence], 1, "occurrence %d on %s", task.Occurrence, id)
				}
			}
		}
	}
	w.run(10 * time.Second)
	checkSettled(t, w)
}

// TestGangWithoutRunners guards against jobs that are held back for the sake of a gang which no runner
// known can ever hold, since none has its label.
func TestGangWithoutRunners(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	step := gangStep(4, 100)
	step.RequiredLabel = "nowhere"
	g := newJob(1, false, step)
	g.Queue.TargetLatency = 10
	w.submit(g)
	for i := range 60 {
		j := newJob(i+2, false, work.Step{Count: 1, CPU: 2000, Estimate: 100})
		w.submit(j)
		w.run(100 * time.Millisecond)
		if i >= 10 {
			require.Equal(t, work.Succeeded, w.store.state(newJob(i-8, false).ID), "a job of a second ago")
		}
	}
	require.Zero(t, w.endCounts[order.GangIncomplete])
	require.Empty(t, w.violations)
}
