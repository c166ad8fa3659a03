package cell_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// maxHeapOfScheduled is the most heap that 1,100 scheduled jobs of 4,000 tasks may take, with what the
// simulated store keeps of them: a sixth of the memory of a machine of 284 MB, on which their holder
// ran out of it.
const maxHeapOfScheduled = 48 << 20

// newScheduled returns the n-th of many jobs of 40 tasks in each of 100 hourly occurrences.
func newScheduled(n int, first time.Time) *work.Job {
	j := newJob(n, false, work.Step{Count: 40, CPU: 100, Estimate: 100})
	j.RepeatCount, j.FirstDue, j.Interval = 100, first.UnixMilli(), time.Hour.Milliseconds()
	return j
}

// heapInUse returns the size of the live objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeapOfScheduledJobs guards against a holder that runs out of memory for scheduled jobs that it
// has accepted, whose occurrences are far off. It is not parallel, since it measures the heap.
func TestHeapOfScheduledJobs(t *testing.T) {
	w := newWorld(1, 4, 64000)
	w.takeOver()
	w.run(time.Second)
	before := heapInUse()
	for i := range 1100 {
		w.submit(newScheduled(i+1, w.now.Add(time.Hour)))
		if i%100 == 99 {
			w.run(200 * time.Millisecond)
			require.Less(t, heapInUse()-before, int64(maxHeapOfScheduled), "after %d jobs", i+1)
		}
	}
	w.run(time.Second)
	require.Len(t, w.outcomes, 1100)
	for id, o := range w.outcomes {
		require.Equal(t, cell.Accepted, o.Verdict, id)
	}
	require.Empty(t, w.violations)
}

// TestHeapOfLoadedJobs guards against a next holder that runs out of memory when it loads scheduled
// jobs: half of their occurrences are done, and some tasks of the next ones.
func TestHeapOfLoadedJobs(t *testing.T) {
	w := newWorld(1, 4, 64000)
	for i := range 1100 {
		j := newScheduled(i+1, w.now.Add(-505*time.Second))
		j.Interval = 10000 // 50 intervals have passed on the clock of the world
		w.store.write(newRow("c0/jobs/"+j.ID, j))
		for part := range 10 {
			row := cell.ProgressRow{First: part * 5}
			for range 5 {
				row.Done = append(row.Done, count(40))
			}
			w.store.write(newRow(partKey(j, part), row))
		}
		row := cell.ProgressRow{First: 50, Done: [][]int{count(30), nil, nil, nil, nil}}
		w.store.write(newRow(partKey(j, 10), row))
	}
	for _, r := range w.runners {
		r.unfit = true // so that the heap does not depend on how many runs fit
	}
	before := heapInUse()
	w.takeOver()
	for range 10 {
		w.run(100 * time.Millisecond)
		require.Less(t, heapInUse()-before, int64(maxHeapOfScheduled))
	}
	p := w.holder()
	n, known := 0, false
	p.exec(func() { n, known = p.cell.PendingJobs("q") })
	require.True(t, known)
	require.Zero(t, n, "jobs that are taken not to have begun")
	require.True(t, p.cell.Knows(newJob(1100, false).ID))
	require.Empty(t, w.violations)
}

// count returns the numbers from 0 to n-1.
func count(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// partKey returns the key of the row of a part of the progress of j.
func partKey(j *work.Job, part int) string {
	key := "c0/progress/" + j.ID
	if part > 0 {
		key += fmt.Sprintf(".%d", part)
	}
	return key
}

// newRepeated returns a stored job with n occurrences of the steps, the first one a second from now.
func newRepeated(w *world, n int, interval time.Duration, steps ...work.Step) *work.Job {
	j := newJob(1, false, steps...)
	j.RepeatCount, j.FirstDue, j.Interval = n, w.now.Add(time.Second).UnixMilli(), interval.Milliseconds()
	return j
}

// TestLateEndsOfOccurrence guards against ends of an occurrence that has ended, reported late by runners
// that had other runs of its tasks: none may stay unacknowledged, count as a failure of the job, or let
// a task run again. The same holds for a next holder.
func TestLateEndsOfOccurrence(t *testing.T) {
	t.Parallel()
	for _, reason := range []order.EndReason{order.Finished, order.Failed, order.LeaseExpired} {
		for _, next := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, next holder %v", reason, next), func(t *testing.T) {
				t.Parallel()
				w := newWorld(1, 3, 32000)
				w.takeOver()
				w.run(time.Second)
				j := newRepeated(w, 2, 6*time.Second, work.Step{Count: 3, CPU: 14000, Estimate: 100, Checkpointable: true})
				j.Queue.MaxAttempts = 1
				w.submit(j)
				w.run(2 * time.Second)
				require.Len(t, w.ackedFinished, 3)
				if next {
					w.holder().kill()
					w.takeOver()
					w.run(time.Second)
				}
				r, late := w.runners["r0"], work.Task{Job: j.ID, Index: 1}
				r.runs[late] = &simRun{number: w.lastRuns[late] + 1, startedAt: w.now, duration: time.Second}
				r.end(late, reason)
				starts := maps.Clone(w.lastRuns)
				w.run(time.Second)
				require.Empty(t, r.unackedEnds)
				require.Equal(t, starts, w.lastRuns, "tasks that have run again")
				require.Equal(t, work.Running, w.store.state(j.ID))
				w.run(8 * time.Second)
				require.Len(t, w.finished, 6)
				checkSettled(t, w)
			})
		}
	}
}

// TestLateRunOfOccurrence guards against a run of an occurrence that has ended which a runner lists: it
// is stopped, and the room beside it can be used meanwhile.
func TestLateRunOfOccurrence(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newRepeated(w, 2, 20*time.Second, plainStep(1)))
	w.run(2 * time.Second)
	require.Len(t, w.ackedFinished, 1)
	r, late := w.runners["r0"], work.Task{Job: newJob(1, false).ID}
	r.losesStops = true
	r.runs[late] = &simRun{number: 1 + w.lastRuns[late], cpu: 14000, startedAt: w.now, duration: time.Minute}
	w.submit(newJob(2, true, plainStep(1)))
	w.run(2500 * time.Millisecond) // a long poll ends meanwhile
	require.Positive(t, w.holder().stopsSent)
	w.submit(newJob(3, true, plainStep(1)))
	w.run(300 * time.Millisecond)
	require.Contains(t, w.outcomes, newJob(3, true).ID, "the rest of the runner is not used")
	r.losesStops = false
	w.run(time.Second)
	require.Empty(t, r.runs)
	require.Empty(t, r.unackedEnds)
	require.Equal(t, 1, w.endCounts[order.Stopped])
	require.Empty(t, w.violations)
}

// TestGangOfOccurrenceHeld guards against ends of members of a gang that are acknowledged before the
// rows hold the end of the gang, since its occurrence has been closed: the gang would run again if the
// runner that has reported the first end were lost with the holder. A runner whose run has been given
// up reports its end late.
func TestGangOfOccurrenceHeld(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 3, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newRepeated(w, 2, 20*time.Second, gangStep(6, 1000)))
	w.run(1300 * time.Millisecond)
	w.store.down = true
	w.runners["r1"].unreachable = true
	w.run(4 * time.Second)
	require.Equal(t, 6, w.endCounts[order.Finished])
	w.runners["r1"].unreachable = false
	w.run(time.Second)
	for id, r := range w.runners {
		require.Len(t, r.unackedEnds, 2, id)
	}
	w.store.down = false
	w.run(time.Second)
	for id, r := range w.runners {
		require.Empty(t, r.unackedEnds, id)
	}
	w.run(25 * time.Second)
	require.Len(t, w.finished, 12)
	checkSettled(t, w)
}

// TestOccurrenceAcrossParts guards against progress that a next holder loses or takes for that of
// another occurrence: each occurrence has a gang and other tasks in two rows, the third one is in
// progress when the holder is killed, and the rows of earlier ones hold no task of later ones.
func TestOccurrenceAcrossParts(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 8, 64000)
	w.takeOver()
	w.run(time.Second)
	j := newRepeated(w, 5, 3*time.Second,
		work.Step{Count: 130, CPU: 100, Estimate: 300, Gang: true, Checkpointable: true},
		work.Step{Count: 120, CPU: 1500, Estimate: 800, Checkpointable: true, After: []int{0}})
	w.submit(j)
	w.run(8 * time.Second) // the third occurrence is due at 7 s
	done := len(w.ackedFinished)
	require.Greater(t, done, 500)
	require.Less(t, done, 750)
	w.holder().kill()
	w.heal()
	w.run(time.Second)
	w.handOver()
	w.run(12 * time.Second)
	require.Len(t, w.finished, 1250)
	require.Empty(t, w.refusedWrites)
	checkSettled(t, w)
}

// TestOccurrenceBeforeItsTime guards against runs and ends that a next holder disregards since its clock
// is behind that of the previous one, so that their occurrence is not due yet for it.
func TestOccurrenceBeforeItsTime(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 64000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newRepeated(w, 2, 10*time.Second, work.Step{Count: 2, CPU: 1000, Estimate: 500}, work.Step{Count: 2, CPU: 1000, Estimate: 2500}))
	w.run(1200 * time.Millisecond)
	w.holder().kill()
	w.run(600 * time.Millisecond) // the short runs end meanwhile
	p := w.takeOver()
	p.cell.WallClock = func() int64 { return w.now.Add(-5 * time.Second).UnixMilli() }
	w.run(4 * time.Second)
	require.Len(t, w.ackedFinished, 4)
	for task, run := range w.lastRuns {
		require.Equal(t, 1, run, "%v has run again", task)
	}
	w.run(20 * time.Second)
	require.Len(t, w.finished, 8)
	checkSettled(t, w)
}

// TestAdviceOfEndedOccurrence guards against a reply of the adviser for an occurrence that has ended.
func TestAdviceOfEndedOccurrence(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 64000)
	p := w.takeOver()
	w.run(time.Second)
	j := newRepeated(w, 2, 4*time.Second, plainStep(1))
	j.Queue.RequiresAdvice = true
	w.submit(j)
	w.run(3 * time.Second)
	require.Len(t, w.ackedFinished, 1)
	p.exec(func() {
		p.cell.AdviceAnswered(w.now, w.now, work.Task{Job: j.ID}, []string{"r0"}, order.Advice{Replied: true, Tickets: map[string]string{"r0": "x"}})
	})
	w.run(10 * time.Second)
	checkSettled(t, w)
}

// TestRepeatedSubmittedAgain guards against runs of a transient job with occurrences that runners reject
// since they have carried out runs with the same numbers: its caller left when one occurrence had been
// closed, and another one submits it again.
func TestRepeatedSubmittedAgain(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	counts := counters{}
	p.cell.Metrics = counts
	w.run(time.Second)
	j := newRepeated(w, 2, 2*time.Second, plainStep(2))
	j.Transient = true
	w.submitted[j.ID] = j
	var outcome cell.Outcome
	submit := func(caller string) {
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller}, func(o cell.Outcome) { outcome = o })
		})
	}
	submit("a")
	w.run(2 * time.Second)
	require.Len(t, w.finished, 2)
	p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "a") })
	w.run(100 * time.Millisecond)
	submit("b")
	w.run(4 * time.Second)
	require.Equal(t, work.Succeeded, outcome.State)
	require.Empty(t, w.violations)
	require.Equal(t, 6, counts["starts"])
	require.Zero(t, counts["not_started_"+order.Superseded.String()])
}

// counters implements cell.Metrics. It holds the counts by name.
type counters map[string]int

func (c counters) Count(what string, n int)      { c[what] += n }
func (c counters) Observe(string, time.Duration) {}

// queries implements cell.Neighbours. It records the questions and does not reply.
type queries struct{ list []cell.Query }

func (q *queries) Search(query cell.Query)            { q.list = append(q.list, query) }
func (q *queries) Move(string, cell.MovedJob)         {}
func (q *queries) ReportEnds(string, []cell.MovedEnd) {}

// TestQueryOfScheduledJob guards against a job that moves to a cell which cannot run its later
// occurrences, since the question leaves out a step that is done in the open one.
func TestQueryOfScheduledJob(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.runners["r1"].label = "g"
	p := w.takeOver()
	asked := &queries{}
	p.cell.Neighbours = asked
	w.run(time.Second)
	w.submit(newRepeated(w, 2, 20*time.Second, plainStep(1), labelled("g", 1, 0)))
	w.run(100 * time.Millisecond)
	w.runners["r1"].draining = true
	w.updateDirectory()
	w.run(2 * time.Second)
	require.Len(t, w.finished, 1)
	require.NotEmpty(t, asked.list)
	require.Equal(t, []bool{true, true}, asked.list[0].Left)
	require.Equal(t, []bool{false, true}, asked.list[0].Now)
}

// TestScheduledJobMoves guards against progress of closed occurrences that is lost when a job moves to
// another cell, and is taken back by its home there.
func TestScheduledJobMoves(t *testing.T) {
	t.Parallel()
	l := newCells(1, 2, 3)
	home := l[0]
	for _, w := range l {
		w.runners[w.cellName+"-r0"].label = "g"
		w.updateDirectory()
	}
	l.run(100 * time.Millisecond)
	j := newRepeated(home, 4, 8*time.Second, labelled("g", 2), labelled("g", 1, 0))
	home.submit(j)
	lose := func(w, other *world) {
		for _, x := range l {
			x.runners[x.cellName+"-r0"].draining = x == w
			x.updateDirectory()
		}
		require.Positive(t, len(other.runners))
	}
	l.run(3 * time.Second)
	require.Len(t, home.ackedFinished, 3)
	lose(home, l[1])
	l.run(8 * time.Second) // the second occurrence, in the other cell
	require.Len(t, home.ackedFinished, 6)
	require.Equal(t, "c1", home.holder().cell.MovedTo(j.ID))
	lose(l[1], home)
	l.run(8 * time.Second) // the third one, at home
	require.Len(t, home.ackedFinished, 9)
	require.Empty(t, home.holder().cell.MovedTo(j.ID))
	home.holder().kill()
	home.takeOver()
	l.run(10 * time.Second)
	require.Equal(t, work.Succeeded, home.store.state(j.ID))
	require.Len(t, home.finished, 12)
	require.Empty(t, l.violations())
	require.Empty(t, l.rowsLeft())
}

// TestOccurrencesOfEarlierBuild reads the progress of several occurrences from one row, as earlier builds
// have written it: what was done must not run again, also at the next holder after the row was divided.
func TestOccurrencesOfEarlierBuild(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 320000)
	j := newJob(1, false, work.Step{Count: 150, CPU: 1000, Estimate: 500}, work.Step{Count: 2, CPU: 1000, Estimate: 100, After: []int{0}})
	j.RepeatCount, j.FirstDue, j.Interval = 5, w.now.Add(-time.Second).UnixMilli(), 100
	w.submitted[j.ID] = j
	row := cell.ProgressRow{Done: [][]int{count(150), count(2), count(150), count(2), count(100), nil, count(150), count(2), nil, nil}}
	w.store.write(newRow("c0/jobs/"+j.ID, j))
	w.store.write(newRow(partKey(j, 0), row))
	w.finished[work.Task{Job: j.ID, Occurrence: 2}] = true // by the holder of the earlier build
	for i := range 100 {
		w.finished[work.Task{Job: j.ID, Occurrence: 2, Index: i}] = true
	}
	w.takeOver()
	w.run(300 * time.Millisecond)
	rows := w.store.scan("c0/progress/")
	require.Len(t, rows, 4)
	require.Equal(t, row.Done, readDone(t, rows, 10), "what earlier builds read")
	w.holder().kill()
	w.heal()
	w.run(20 * time.Second)
	require.Equal(t, work.Succeeded, w.store.state(j.ID))
	require.Empty(t, w.violations)
	started := map[int]int{}
	for task := range w.lastRuns {
		started[task.Occurrence]++
	}
	require.Equal(t, map[int]int{2: 52, 4: 152}, started)
}

// readDone returns the indexes of the finished tasks of the given number of steps, as all builds read
// them from the rows of the progress of a job.
func readDone(t *testing.T, rows []table.Row, steps int) [][]int {
	done := make([][]int, steps)
	for _, row := range rows {
		var p cell.ProgressRow
		require.NoError(t, json.Unmarshal(row.Value, &p))
		for s, list := range p.Done {
			done[p.First+s] = append(done[p.First+s], list...)
		}
	}
	for s, list := range done { // the first row may still hold what the others do
		slices.Sort(list)
		done[s] = slices.Compact(list)
	}
	return done
}

// TestAnyFaultsWithOccurrences injects one to four faults, drawn at random, while jobs with many
// occurrences run: with gangs, checkpoints and dependencies, in one or several rows, some due at once,
// and with little memory. All must end once the faults are over, and no guarantee may be violated.
func TestAnyFaultsWithOccurrences(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 8).Draw(t, "runners"), 64000)
		w.endsPerReply = rapid.SampledFrom([]int{2, 10, 500}).Draw(t, "ends")
		w.settings.MaxJobMemory = rapid.SampledFrom([]int{0, 60 << 10, 400 << 10}).Draw(t, "memory")
		w.takeOver()
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			steps := []work.Step{{Count: rapid.IntRange(1, 70).Draw(t, "tasks"), CPU: 1000, Estimate: 100}}
			steps[0].Gang = rapid.Bool().Draw(t, "gang")
			steps[0].Checkpointable = rapid.Bool().Draw(t, "checkpoints")
			if rapid.Bool().Draw(t, "second step") {
				steps = append(steps, work.Step{Count: 2, CPU: 1000, Estimate: 200, After: []int{0}})
			}
			j := newJob(i+1, false, steps...)
			j.RepeatCount = rapid.IntRange(1, 12).Draw(t, "occurrences")
			j.FirstDue = w.now.UnixMilli() + int64(rapid.IntRange(-5000, 3000).Draw(t, "first"))
			j.Interval = int64(rapid.IntRange(0, 1000).Draw(t, "interval"))
			w.submit(j)
		}
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			scenario := faultScenarios[rapid.IntRange(0, len(faultScenarios)-1).Draw(t, "fault")]
			at := time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond
			w.after(at, func() { scenario.fault(w) })
		}
		w.run(15 * time.Second)
		w.heal()
		w.run(60 * time.Second)
		require.Empty(t, w.refusedWrites)
		checkSettled(t, w)
	})
}
