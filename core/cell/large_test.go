package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestLargeJobs guards against rows that are too large for the store: the progress of jobs with as many
// tasks as are accepted, each with a checkpoint and some with failures. The holder is killed while
// they run.
func TestLargeJobs(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		steps []work.Step
		fails bool
	}{
		{"1,200 tasks", []work.Step{{Count: 1200, CPU: 100, Estimate: 4000, Checkpointable: true}}, false},
		{"4,000 tasks", []work.Step{{Count: work.MaxTasks, CPU: 100, Estimate: 4000, Checkpointable: true}}, false},
		{"4,000 tasks, the first run of each fails", []work.Step{{Count: work.MaxTasks, CPU: 1000, Estimate: 1500, Checkpointable: true}}, true},
		{"64 steps", manySteps(), false},
		{"a gang of 900", []work.Step{{Count: 900, CPU: 100, Estimate: 4000, Checkpointable: true, Gang: true}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 16, 64000)
			for _, r := range w.runners {
				r.failsFirst = test.fails
			}
			w.takeOver()
			w.run(time.Second)
			w.submit(newJob(1, false, test.steps...))
			for i := range 10 {
				w.after(time.Duration(i)*500*time.Millisecond, func() { w.submit(newJob(i+2, false, plainStep(1))) })
			}
			w.run(4 * time.Second)
			w.holder().kill()
			w.heal()
			w.run(40 * time.Second)
			require.Empty(t, w.violations)
			require.Empty(t, w.refusedWrites)
			checkSettled(t, w)
		})
	}
}

// manySteps returns as many steps as a job may have, each after all earlier ones of the first half.
func manySteps() []work.Step {
	steps := make([]work.Step, work.MaxSteps)
	for i := range steps {
		steps[i] = work.Step{Count: work.MaxTasks / work.MaxSteps, CPU: 100, Estimate: 100, Checkpointable: true}
		for a := range min(i, 2) {
			steps[i].After = append(steps[i].After, a)
		}
	}
	return steps
}

// TestProgressOfEarlierBuild reads the progress of a job from one row, as earlier builds have written
// it. Finished tasks must not run again, also after the next change of the holder.
func TestProgressOfEarlierBuild(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 320000)
	j := newJob(1, false, work.Step{Count: 600, CPU: 10000, Estimate: 1000})
	w.submitted[j.ID] = j
	row := cell.ProgressRow{Done: [][]int{nil}}
	for i := range 600 {
		if i%10 != 0 {
			row.Done[0] = append(row.Done[0], i)
		}
	}
	w.store.write(newRow("c0/jobs/"+j.ID, j))
	w.store.write(newRow("c0/progress/"+j.ID, row))
	w.takeOver()
	w.run(300 * time.Millisecond)
	require.Equal(t, 3, len(w.store.scan("c0/progress/")))
	w.holder().kill()
	w.heal()
	w.run(20 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, work.Succeeded, w.store.state(j.ID))
	require.Empty(t, w.store.scan("c0/progress/"))
	for _, r := range w.runners {
		for task := range r.highestRun {
			require.Zero(t, task.Index%10, "task %v was done", task)
		}
	}
}

// TestMalformedWrite guards against a write that the store refuses as malformed and that is sent again
// for good: it must not hold up the writes of other jobs, and its own job must get an answer.
func TestMalformedWrite(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		key   string
		state work.State
	}{
		{"insert", "c0/jobs/", work.Unknown},
		{"progress", "c0/progress/", work.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 4, 64000)
			w.takeOver()
			w.run(time.Second)
			odd := newJob(1, false, plainStep(2), plainStep(2, 0))
			w.store.odd = test.key + odd.ID
			w.submit(odd)
			for i := range 40 {
				w.submit(newJob(i+2, false, plainStep(1+i%3), plainStep(1, 0)))
			}
			w.run(20 * time.Second)
			require.LessOrEqual(t, len(w.refusedWrites), 8, "%v", w.refusedWrites)
			require.Equal(t, test.state, w.store.state(odd.ID))
			_, answered := w.outcomes[odd.ID]
			require.True(t, answered)
			delete(w.submitted, odd.ID)
			for id := range w.submitted {
				require.Equal(t, cell.Accepted, w.outcomes[id].Verdict, id)
			}
			checkSettled(t, w)
		})
	}
}

// TestJobTooLarge guards against a job that is accepted though its row is too large for the store.
func TestJobTooLarge(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 64000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, plainStep(1))
	j.Steps[0].PreferredRack = strings.Repeat("x", simMaxRow)
	w.submit(j)
	w.run(time.Second)
	require.Equal(t, cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonTooLarge}, w.outcomes[j.ID])
	require.Empty(t, w.refusedWrites)
}
