package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// maxIdle is the longest time for which a task that is ready and fits may wait beside free runners.
const maxIdle = 3 * time.Second

// TestRunnersWithLastingTasks guards against runners that get no work for good after a failure
// because they are never without a run: each runs a lasting task, and a job that fails at each start
// has tried them all.
func TestRunnersWithLastingTasks(t *testing.T) {
	t.Parallel()
	for _, lasting := range []bool{true, false} {
		w := newWorld(1, 6, 32000)
		w.takeOver()
		w.run(time.Second)
		w.submit(newJob(1, false, work.Step{Count: 6, CPU: 2000, Estimate: 1000, MaxPerRunner: 1, LongRunning: true}))
		w.run(3 * time.Second)
		bad := newJob(2, false, work.Step{Count: 1, CPU: 1000, Estimate: 100, LongRunning: lasting})
		bad.Spec = "poison"
		w.submit(bad)
		w.run(5 * time.Second)
		w.holder().exec(func() { w.holder().cell.Cancel(w.now, bad.ID, func(work.State, bool) {}) })
		w.run(4 * time.Second)
		began := w.now
		for i := range 10 {
			j := newJob(i+10, false, work.Step{Count: 1, CPU: 1000, Estimate: 200})
			w.submit(j)
			w.run(200 * time.Millisecond)
		}
		w.run(began.Add(2*time.Second + maxIdle).Sub(w.now))
		for i := range 10 {
			require.Equal(t, work.Succeeded, w.store.state(newJob(i+10, false).ID), "job %d", i)
		}
		require.Empty(t, w.violations)
	}
}

// TestLastingTrial guards against a runner that gets no more work after a failure because its trial is
// a task that lasts. The runner is sound again, and beside the trial it runs one that was there before.
func TestLastingTrial(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, work.Step{Count: 1, CPU: 2000, Estimate: 1000, LongRunning: true}))
	w.run(time.Second)
	r := w.runners["r0"]
	r.failsAll = true
	w.submit(newJob(2, false, work.Step{Count: 1, CPU: 1000, Estimate: 100}))
	w.run(200 * time.Millisecond)
	require.NotZero(t, w.endCounts[order.Failed])
	r.failsAll = false
	w.holder().exec(func() { w.holder().cell.Cancel(w.now, newJob(2, false).ID, func(work.State, bool) {}) })
	w.submit(newJob(3, false, work.Step{Count: 1, CPU: 2000, Estimate: 1000, LongRunning: true}))
	w.run(time.Second)
	require.Len(t, r.runs, 2)
	w.submit(newJob(4, false, work.Step{Count: 1, CPU: 1000, Estimate: 200}))
	w.run(maxIdle)
	require.Equal(t, work.Succeeded, w.store.state(newJob(4, false).ID))
	require.Len(t, r.runs, 2)
	require.Empty(t, w.violations)
}

// TestLastAttemptBesideLastingTasks guards against a last attempt that waits for runners which never
// have room, since tasks that last fill them, or not within the time of the job. The one runner with
// room fails all for a while and is sound again.
func TestLastAttemptBesideLastingTasks(t *testing.T) {
	t.Parallel()
	for _, lasting := range []bool{true, false} {
		w := newWorld(1, 3, 32000)
		w.takeOver()
		w.run(time.Second)
		w.runners["r0"].unfit = true
		w.submit(newJob(1, false, work.Step{Count: 2, CPU: 30000, Estimate: 60000, MaxPerRunner: 1, LongRunning: lasting}))
		w.run(time.Second)
		require.Len(t, w.runners["r1"].runs, 1)
		require.Len(t, w.runners["r2"].runs, 1)
		w.runners["r0"].unfit, w.runners["r0"].failsAll = false, true
		j := newJob(2, false, work.Step{Count: 1, CPU: 4000, Estimate: 200})
		j.Queue.TargetLatency = 1000
		w.submit(j)
		for range 5000 {
			if w.endCounts[order.Failed] == 2 {
				break
			}
			w.run(time.Millisecond)
		}
		require.Equal(t, 2, w.endCounts[order.Failed])
		w.runners["r0"].failsAll = false
		w.run(maxIdle)
		require.Equal(t, work.Succeeded, w.store.state(j.ID))
		require.Empty(t, w.violations)
	}
}
