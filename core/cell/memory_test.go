package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestJobMemory guards against a bound that ordinary loads reach, and against one that leaves the rest of
// the process no memory: on the machine on which 1,100 scheduled jobs of 4,000 tasks were too much, three
// times as many with 40 tasks in each occurrence are admitted, and on the smallest one 1,100.
func TestJobMemory(t *testing.T) {
	t.Parallel()
	require.Equal(t, 71<<20, cell.JobMemory(284))
	require.Zero(t, cell.JobMemory(0), "no bound where the memory is not known")
	for megabytes, jobs := range map[int]int{284: 3300, 144: 1100} {
		w := newWorld(1, 1, 64000)
		w.settings.MaxJobMemory = cell.JobMemory(megabytes)
		w.takeOver()
		w.run(time.Second)
		for i := range jobs {
			w.submit(newScheduled(i+1, w.now.Add(time.Hour)))
		}
		w.run(5 * time.Second)
		require.Len(t, w.outcomes, jobs)
		for id, o := range w.outcomes {
			require.Equal(t, cell.Accepted, o.Verdict, id)
		}
	}
}

// TestRefusedForMemory guards against jobs that are accepted beyond the memory that they may take, and
// against accepted ones that are refused or dropped for it: by a resubmission, or at a next holder that
// may use less.
func TestRefusedForMemory(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.settings.MaxJobMemory = 200 << 10
	w.takeOver()
	w.run(time.Second)
	submit := func(n int) cell.Outcome {
		j := newJob(n, false, plainStep(1))
		j.RepeatCount, j.FirstDue, j.Interval = 2, w.now.Add(10*time.Second).UnixMilli(), 1000
		w.submit(j)
		w.run(30 * time.Millisecond)
		return w.outcomes[j.ID]
	}
	accepted := 0
	o := submit(1)
	for ; o.Verdict == cell.Accepted && accepted < 1000; o = submit(accepted + 1) {
		accepted++
	}
	require.Greater(t, accepted, 10)
	require.Less(t, accepted, 200)
	require.Equal(t, cell.Refused, o.Verdict)
	require.Equal(t, cell.ReasonMemory, o.Reason)
	require.GreaterOrEqual(t, o.RetryAfter, time.Second)
	require.Equal(t, work.Unknown, w.store.state(newJob(accepted+1, false).ID))

	w.resubmit(w.submitted[newJob(1, false).ID])
	w.holder().kill()
	w.settings.MaxJobMemory = 1
	w.takeOver()
	w.run(time.Second)
	w.resubmit(w.submitted[newJob(2, false).ID])
	require.Equal(t, cell.ReasonMemory, submit(1001).Reason)
	_, answers := w.holder().cell.Answers(w.now, cell.Query{Job: *newJob(1, false, plainStep(1)), Left: []bool{true}, Now: []bool{true}})
	require.False(t, answers, "other cells would move jobs here")
	w.run(20 * time.Second)
	checkSettled(t, w)
	w.holder().exec(func() { w.holder().cell.ApplySettings(cell.Settings{}) })
	require.Equal(t, cell.Accepted, submit(1002).Verdict)
}

// TestOccurrencesOfLastingTasks guards against occurrences of lasting tasks that count as one when their
// job is accepted, although none of them ever ends and makes room for the others.
func TestOccurrencesOfLastingTasks(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.settings.MaxJobMemory = 200 << 10
	p := w.takeOver()
	w.run(time.Second)
	lasting := func(n, occurrences int) *work.Job {
		j := newJob(n, false, work.Step{Count: 10, CPU: 100, Estimate: 100, LongRunning: true})
		j.RepeatCount, j.FirstDue = occurrences, w.now.Add(200*time.Millisecond).UnixMilli()
		return j
	}
	w.submit(lasting(1, 100))
	w.submit(lasting(2, 3))
	w.run(50 * time.Millisecond)
	require.Equal(t, cell.ReasonMemory, w.outcomes[newJob(1, false).ID].Reason)
	require.Equal(t, cell.Accepted, w.outcomes[newJob(2, false).ID].Verdict)
	p.exec(func() { p.cell.ApplySettings(cell.Settings{MaxJobMemory: 1}) })
	w.submit(newJob(3, true, plainStep(1)))
	w.run(time.Second)
	require.Len(t, w.runners["r0"].runs, 30-len(w.runners["r1"].runs), "occurrences that are held back for good")
}

// TestOccurrencesHeldBack guards against occurrences that never begin, since those which are due at once
// do not fit into the memory, also if not even one of each job does.
func TestOccurrencesHeldBack(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 64000)
	p := w.takeOver()
	w.run(time.Second)
	for i := range 5 {
		j := newJob(i+1, false, work.Step{Count: 10, CPU: 1000, Estimate: 50}, work.Step{Count: 1, CPU: 1000, Estimate: 50, After: []int{0}})
		j.RepeatCount, j.FirstDue, j.Interval = 20, w.now.Add(200*time.Millisecond).UnixMilli(), 1
		w.submit(j)
	}
	w.run(100 * time.Millisecond)
	p.exec(func() { p.cell.ApplySettings(cell.Settings{MaxJobMemory: 1}) })
	w.run(250 * time.Millisecond)
	require.LessOrEqual(t, len(w.lastRuns), 5*2*11, "occurrences that were opened without memory")
	w.run(20 * time.Second)
	require.Len(t, w.finished, 5*20*11)
	checkSettled(t, w)
}

// TestHeapOfOverdueJobs guards against a holder that runs out of memory for occurrences which have all
// come due at once, as after a time without a holder. It is not parallel, since it measures the heap.
func TestHeapOfOverdueJobs(t *testing.T) {
	w := newWorld(1, 4, 64000)
	for _, r := range w.runners {
		r.unfit = true // so that the heap does not depend on how many runs fit
	}
	for i := range 200 {
		j := newScheduled(i+1, w.now.Add(-500*time.Second))
		j.Interval = 1000
		w.store.write(newRow("c0/jobs/"+j.ID, j))
	}
	w.settings.MaxJobMemory = 16 << 20
	before := heapInUse()
	w.takeOver()
	for range 10 {
		w.run(100 * time.Millisecond)
		require.Less(t, heapInUse()-before, int64(w.settings.MaxJobMemory))
	}
	require.Empty(t, w.violations)
}
