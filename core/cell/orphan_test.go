package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// TestOrphansStopped checks that the runs of a transient job are kept for a while after the
// holder was killed, and stopped if the caller does not resubmit the job.
func TestOrphansStopped(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
	w.run(time.Second)
	w.submit(j)
	w.run(time.Second)
	require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs))
	w.callerWaits[j.ID] = false
	w.holder().kill()
	w.takeOver()
	w.run(200 * time.Millisecond)
	require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), "runs stopped before the caller could resubmit the job")
	w.run(2 * time.Second)
	require.Empty(t, w.runners["r0"].runs)
	require.Empty(t, w.runners["r1"].runs)
}

// TestOrphansEndBeforeResubmission guards against runs of a transient job that a new holder keeps
// until a caller that was lost with the previous one submits the job again, to any cell.
func TestOrphansEndBeforeResubmission(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name            string
		takeover        time.Duration // after the last heartbeat of the holder
		load            time.Duration // until the rows are read
		unreachableFrom time.Duration // from when on the new holder reaches no runner; zero if it does
	}{
		{"taken over soon", 640 * time.Millisecond, 0, 0},
		{"taken over late", 900 * time.Millisecond, 0, 0},
		{"rows read late", 700 * time.Millisecond, 500 * time.Millisecond, 0},
		{"rows read very late", 700 * time.Millisecond, 3 * time.Second, 0},
		{"runners lost before the stop", 700 * time.Millisecond, 0, 60 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 2, 32000)
			w.takeOver()
			j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
			w.run(time.Second)
			w.submit(j)
			w.run(time.Second)
			w.callerWaits[j.ID] = false
			lost := w.now
			w.holder().kill()
			w.loadDelay = test.load
			w.run(w.holder().aliveAt.Add(test.takeover).Sub(w.now))
			p := w.takeOver()
			if test.unreachableFrom > 0 {
				w.run(test.unreachableFrom)
				p.unreachableRunners = map[string]bool{"r0": true, "r1": true}
			}
			w.run(lost.Add(cell.DefaultResubmitAfter).Sub(w.now))
			require.Empty(t, w.runners["r0"].runs)
			require.Empty(t, w.runners["r1"].runs)
		})
	}
}

// TestOrphansOfCallerLostEarlier guards against runs of a transient job that outlast the resubmission
// of its caller, which was lost some time before the holder, unnoticed.
func TestOrphansOfCallerLostEarlier(t *testing.T) {
	t.Parallel()
	for _, earlier := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(earlier.String(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 2, 32000)
			w.takeOver()
			j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
			w.run(time.Second)
			w.submit(j)
			w.run(time.Second)
			w.callerWaits[j.ID] = false
			lost := w.now
			w.run(earlier)
			w.holder().kill()
			w.run(w.holder().aliveAt.Add(700 * time.Millisecond).Sub(w.now))
			w.takeOver()
			w.run(max(0, lost.Add(cell.DefaultResubmitAfter).Sub(w.now)))
			require.Empty(t, w.runners["r0"].runs)
			require.Empty(t, w.runners["r1"].runs)
		})
	}
}

// TestOrphansSpareOthers guards against an orphaned run that is stopped so late that the lease of its
// runner, which must not outlive the time of its caller, ends the other runs there too.
func TestOrphansSpareOthers(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	w.run(time.Second)
	left := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	stays := newJob(2, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	w.submit(left)
	w.submit(stays)
	w.run(500 * time.Millisecond)
	r := w.runners["r0"]
	for r.leaseUntil-r.clock() < 900 { // so that the lease outlives the takeover
		w.run(time.Millisecond)
	}
	w.callerWaits[left.ID] = false
	w.holder().kill()
	w.run(700 * time.Millisecond)
	w.takeOver()
	w.run(2 * time.Second)
	require.Empty(t, w.violations)
	require.Zero(t, w.endCounts[order.LeaseExpired])
	require.Len(t, r.runs, 1)
	require.Equal(t, 1, r.runs[work.Task{Job: stays.ID}].number, "the run of the job whose caller waits goes on")
}

// TestResubmittedWhileStopped guards against a second run of a transient task beside the first
// one: the caller submits its job again while the new holder stops the runs that nobody had
// claimed.
func TestResubmittedWhileStopped(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
	w.run(time.Second)
	w.submit(j)
	w.run(time.Second)
	w.callerWaits[j.ID] = false
	w.holder().kill()
	p := w.takeOver()
	for p.stopsSent == 0 {
		w.run(time.Millisecond)
	}
	require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), "runs ended before the caller submitted the job again")
	w.submit(j)
	w.run(time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), "the job was not started again")
}

// TestNoRefusalWithRuns guards against a refusal of a job of which runs are left here: the caller
// would start it in another cell beside them.
func TestNoRefusalWithRuns(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 1000})
	w.run(time.Second)
	w.submit(j)
	w.run(100 * time.Millisecond)
	w.callerWaits[j.ID] = false
	w.holder().kill()
	p := w.takeOver()
	w.run(100 * time.Millisecond)
	require.Len(t, w.runners["r0"].runs, 2)
	var outcomes []cell.Outcome
	p.exec(func() {
		p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "b", RoomOnly: true}, func(o cell.Outcome) { outcomes = append(outcomes, o) })
	})
	w.run(3 * time.Second)
	require.Equal(t, []cell.Outcome{{Verdict: cell.Accepted, State: work.Succeeded}}, outcomes)
	require.Zero(t, p.stopsSent)
	require.Empty(t, w.violations)
}

// TestFailureCountedOnce guards against counting a failure twice that the previous holder
// has stored but not acknowledged, so that the runner reports it again.
func TestFailureCountedOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	j := newJob(1, false, plainStep(1))
	j.Queue.MaxAttempts = 2
	w.submitted[j.ID] = j
	key := "c0/jobs/" + j.ID
	w.store.write(newRow(key, j))
	w.store.write(newRow("c0/progress/"+j.ID, cell.ProgressRow{
		Done: [][]int{nil}, Failures: []cell.TaskFailures{{Runs: []int{1}}},
	}))
	r := w.runners["r0"]
	task := work.Task{Job: j.ID}
	r.highestRun[task], r.lastEnd = 1, 1
	r.unackedEnds = []order.EndedRun{{Number: 1, Task: task, Run: 1, Reason: order.Failed}}
	w.takeOver()
	w.run(5 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, work.Succeeded, w.store.state(j.ID))
}

// TestCallersLeave checks that the runs of a transient job are stopped once its last caller
// has left, and not before.
func TestCallersLeave(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 6, CPU: 14000, Estimate: 60000})
	w.submitted[j.ID] = j
	var outcomes []cell.Outcome
	for _, caller := range []string{"a", "b"} {
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller}, func(o cell.Outcome) { outcomes = append(outcomes, o) })
		})
	}
	w.run(time.Second)
	p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "a") })
	w.run(time.Second)
	require.Len(t, w.runners["r0"].runs, 2, "runs stopped while another caller waits")
	p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "b") })
	w.run(time.Second)
	require.Empty(t, w.runners["r0"].runs)
	require.Empty(t, w.runners["r1"].runs)
	require.Empty(t, outcomes)
}

// TestRoomOnly submits jobs that are to be refused unless they start at once: with room, as
// many tasks as there are places, and one more while those before it still wait.
func TestRoomOnly(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	p := w.takeOver()
	w.run(time.Second)
	var verdicts []cell.Verdict
	submit := func(id, tasks int, roomOnly bool) {
		j := newJob(id, true, work.Step{Count: tasks, CPU: 14000, Estimate: 1000})
		w.submitted[j.ID] = j
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "a", RoomOnly: roomOnly}, func(o cell.Outcome) {
				verdicts = append(verdicts, o.Verdict)
				require.True(t, o.Verdict != cell.Refused || o.Reason == cell.ReasonNoRoom, o.Reason)
			})
		})
	}
	submit(1, 5, true)
	require.Equal(t, []cell.Verdict{cell.Refused}, verdicts, "five tasks at four places")
	submit(2, 3, true)
	submit(3, 2, true)
	require.Equal(t, []cell.Verdict{cell.Refused, cell.Refused}, verdicts, "one place is left")
	submit(4, 1, true)
	submit(5, 1, true)
	require.Equal(t, []cell.Verdict{cell.Refused, cell.Refused, cell.Refused}, verdicts, "no place is left")
	submit(6, 1, false)
	w.run(5 * time.Second)
	require.Equal(t, []cell.Verdict{cell.Refused, cell.Refused, cell.Refused, cell.Accepted, cell.Accepted, cell.Accepted}, verdicts)
}

// TestAttemptLost submits a job twice for one caller, as after a lost connection. The job
// must go on when the first attempt is lost, and end when the caller leaves or both
// attempts are lost.
func TestAttemptLost(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *cell.Cell, now time.Time, id string){
		"second attempt lost": func(c *cell.Cell, now time.Time, id string) { c.AttemptLost(now, id, "a#2") },
		"caller left":         func(c *cell.Cell, now time.Time, id string) { c.CallerLeft(now, id, "a#2") },
		"caller of another instance left, then both attempts lost": func(c *cell.Cell, now time.Time, id string) {
			c.CallerLeft(now, id, "b#2")
			c.AttemptLost(now, id, "a#2")
		},
	} {
		w := newWorld(1, 2, 32000)
		p := w.takeOver()
		w.run(time.Second)
		j := newJob(1, true, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
		w.submitted[j.ID] = j
		for _, caller := range []string{"a#1", "a#2"} {
			p.exec(func() { p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller}, func(cell.Outcome) {}) })
		}
		w.run(time.Second)
		p.exec(func() { p.cell.AttemptLost(w.now, j.ID, "a#1") })
		w.run(time.Second)
		require.Equal(t, 2, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), name)
		p.exec(func() { leave(p.cell, w.now, j.ID) })
		w.run(time.Second)
		require.Zero(t, len(w.runners["r0"].runs)+len(w.runners["r1"].runs), name)
	}
}

// TestCancel cancels a job before it is stored, soon after its submission, and while it
// runs.
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
		p.exec(func() {
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

// TestCancelBeforeRowsAreRead guards against an acknowledged cancellation that nobody carries out:
// it reaches a new holder that does not know its jobs yet, or that has received the job again.
func TestCancelBeforeRowsAreRead(t *testing.T) {
	t.Parallel()
	for _, resubmitted := range []bool{false, true} {
		w := newWorld(1, 2, 32000)
		w.takeOver()
		w.run(time.Second)
		j := newJob(1, false, work.Step{Count: 2, CPU: 14000, Estimate: 60000})
		w.submit(j)
		w.run(time.Second)
		w.holder().kill()
		w.loadDelay = 100 * time.Millisecond
		p := w.takeOver()
		if resubmitted {
			w.submitOnce(j, true, 1)
		}
		var states []work.State
		p.exec(func() {
			p.cell.Cancel(w.now, j.ID, func(s work.State, stored bool) {
				require.True(t, stored)
				states = append(states, s)
			})
		})
		w.run(90 * time.Millisecond)
		require.Empty(t, states, "answered before the rows were read")
		w.run(time.Second)
		require.Equal(t, []work.State{work.Cancelled}, states)
		require.Equal(t, work.Cancelled, w.store.state(j.ID))
		require.Empty(t, w.runners["r0"].runs)
		require.Empty(t, w.runners["r1"].runs)
	}
}

// TestCancelAtTheEndOfATerm checks that a cancellation that waits for the rows is answered as
// open when the term ends.
func TestCancelAtTheEndOfATerm(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.loadDelay = time.Second
	p := w.takeOver()
	var answers []bool
	p.exec(func() {
		p.cell.Cancel(w.now, "j", func(s work.State, stored bool) {
			require.Equal(t, work.Unknown, s)
			answers = append(answers, stored)
		})
		p.cell.Depose(w.now, "test")
	})
	require.Equal(t, []bool{false}, answers)
}

// TestLease guards against tasks that run twice when a holder is cut off from the store and
// the next holder reaches only a new runner: the runs of the previous holder must have
// lapsed before the next one starts their tasks, and it must start nothing more.
func TestLease(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		jobs   int
		tasks  int
		silent time.Duration // from the cut to the takeover
	}{
		{"taken over after silence", 1, 14, 2 * time.Second},
		{"taken over once its lease has expired", 1, 14, simHolderLease + 10*time.Millisecond},
		{"with queued tasks", 12, 8, 2 * time.Second},
		{"with queued tasks, taken over once its lease has expired", 12, 8, simHolderLease + 10*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 6, 32000)
			w.runners["r5"].inDirectory = false
			p := w.takeOver()
			w.run(time.Second)
			for i := range test.jobs {
				w.submit(newJob(i+1, true, work.Step{Count: test.tasks, CPU: 14000, Estimate: 9000}))
			}
			w.run(time.Second)
			p.storeUnreachable = true
			p.unreachableRunners = map[string]bool{"r5": true}
			w.run(test.silent)
			w.runners["r5"].inDirectory = true
			w.takeOver().unreachableRunners = map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true, "r4": true}
			p.disconnect()
			w.run(40 * time.Second)
			require.Empty(t, w.violations)
			require.NotEmpty(t, w.runners["r5"].highestRun, "the new holder started no tasks")
		})
	}
}

// TestNoStartWithoutLease checks that a holder that is cut off from the store starts no more
// queued tasks once its lease has expired.
func TestNoStartWithoutLease(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	p := w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, true, work.Step{Count: 12, CPU: 14000, Estimate: 900}))
	p.storeUnreachable = true
	w.run(1500 * time.Millisecond)
	starts := len(w.runners["r0"].highestRun) + len(w.runners["r1"].highestRun)
	require.Less(t, starts, 12)
	w.run(10 * time.Second)
	require.Equal(t, starts, len(w.runners["r0"].highestRun)+len(w.runners["r1"].highestRun))
}
