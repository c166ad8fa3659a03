package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/fingerprint"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// TestFullRunnerLost checks how soon the tasks of a crashed runner run elsewhere if the
// runner was full, so that only holds are sent to it and can detect the crash.
func TestFullRunnerLost(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		crash func(r *simRunner)
		bound time.Duration // limit from the crash until its tasks run elsewhere
	}{
		{"silent", func(r *simRunner) { r.dead = true }, 3 * time.Second},
		{"refusing", func(r *simRunner) { r.dead, r.refusesConns = true, true }, 3 * time.Second},
		{"unhealthy", func(r *simRunner) { r.unhealthy = true }, 3 * time.Second},
		{"its address taken by another", func(r *simRunner) { r.loseAddress() }, time.Second},
	} {
		for _, transient := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(1, 2, 32000)
				w.takeOver()
				w.run(time.Second)
				w.submit(newJob(1, transient, work.Step{Count: 4, CPU: 16000, Estimate: 9000}))
				w.run(time.Second)
				lost, other := w.runners["r0"], w.runners["r1"]
				require.Len(t, lost.runs, 2)
				require.Len(t, other.runs, 2)
				test.crash(lost)
				other.cpu = 64000
				w.updateDirectory()
				w.run(test.bound)
				require.Len(t, other.runs, 4)
				lost.unhealthy = false
				w.run(40 * time.Second)
				require.Empty(t, w.violations)
				checkSettled(t, w)
			})
		}
	}
}

// TestLostRunnerProbes checks that a crashed runner gets at most 50 holds in 10 s.
func TestLostRunnerProbes(t *testing.T) {
	t.Parallel()
	for _, crash := range []func(r *simRunner){
		func(r *simRunner) { r.dead, r.refusesConns = true, true },
		func(r *simRunner) { r.loseAddress() },
	} {
		w := newWorld(1, 1, 32000)
		p := w.takeOver()
		w.run(time.Second)
		crash(w.runners["r0"])
		sent := p.holdsSent
		w.run(10 * time.Second)
		require.LessOrEqual(t, p.holdsSent-sent, 50)
	}
}

// TestRefusedAtTakeover checks that a runner which refuses connections while a holder takes
// over is used once it is back.
func TestRefusedAtTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	r := w.runners["r0"]
	r.dead, r.refusesConns = true, true
	w.takeOver()
	w.run(2 * time.Second)
	r.dead = false
	w.run(time.Second)
	w.submit(newJob(1, true, plainStep(2)))
	w.run(2 * time.Second)
	checkSettled(t, w)
}

// TestLastAttemptElsewhere lets one of two runners fail all that it runs while the other is
// full. The last attempt of a task must not go where it has failed, since the other runner
// will have capacity.
func TestLastAttemptElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	w.run(time.Second)
	w.runners["r0"].failsAll = true
	long := newJob(1, true, work.Step{Count: 2, CPU: 16000, Estimate: 3000})
	short := newJob(2, true, work.Step{Count: 2, CPU: 16000, Estimate: 60})
	w.runners["r0"].unfit = true // so that the long job starts on the other one
	w.submit(long)
	w.run(300 * time.Millisecond)
	require.Len(t, w.runners["r1"].runs, 2)
	w.runners["r0"].unfit = false
	w.submit(short)
	w.run(20 * time.Second)
	require.Equal(t, work.Succeeded, w.outcomes[long.ID].State)
	require.Equal(t, work.Succeeded, w.outcomes[short.ID].State)
	require.Empty(t, w.violations)
}

// TestLastAttemptOfGang has the runs of a gang fail on a runner that fails all, each with
// another member there, since a new holder does not know that it fails. The last run must keep
// off this runner as a whole.
func TestLastAttemptOfGang(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 3, 32000)
	w.takeOver()
	w.run(time.Second)
	bad, free, full := w.runners["r0"], w.runners["r1"], w.runners["r2"]
	bad.unfit, free.unfit = true, true
	w.submit(newJob(1, false, work.Step{Count: 2, CPU: 16000, Estimate: 12000}))
	w.run(time.Second)
	bad.unfit, full.unfit = false, true
	w.submit(newJob(2, false, work.Step{Count: 1, CPU: 16000, Estimate: 12000}))
	w.run(time.Second)
	require.Len(t, full.runs, 2)
	require.Len(t, bad.runs, 1)
	free.unfit, full.unfit = false, false
	bad.failsAll, bad.slowdown = true, 0.5 // its runs fail before the other members end
	gang := newJob(3, false, gangStep(3, 60))
	w.submit(gang)
	for range 2 {
		w.run(600 * time.Millisecond)
		w.holder().kill()
		w.takeOver()
		w.run(2 * time.Second)
	}
	require.Len(t, w.ackedFailures[work.Task{Job: gang.ID, Index: -1}], 2)
	w.run(30 * time.Second)
	checkSettled(t, w)
}

// TestLastAttemptAfterTakeover kills the holder after each failed run of a job on the runner
// that fails all. The last holder must run it on the other one.
func TestLastAttemptAfterTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	w.run(time.Second)
	w.runners["r0"].failsAll, w.runners["r1"].unfit = true, true
	j := newJob(1, false, work.Step{Count: 1, CPU: 16000, Estimate: 60})
	w.submit(j)
	for range 2 {
		failures := len(w.ackedFailures[work.Task{Job: j.ID}])
		for range 500 {
			if len(w.ackedFailures[work.Task{Job: j.ID}]) > failures {
				break
			}
			w.run(10 * time.Millisecond)
		}
		w.holder().kill()
		w.takeOver()
	}
	require.Len(t, w.ackedFailures[work.Task{Job: j.ID}], 2)
	w.runners["r1"].unfit = false
	w.run(20 * time.Second)
	checkSettled(t, w)
}

// TestSilentRunner cuts a runner off for a while. Its runs must go on if they outlive the
// silence; otherwise their tasks start elsewhere, but not before the leases have expired.
func TestSilentRunner(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		silence time.Duration
		lapsed  bool
	}{{300 * time.Millisecond, false}, {3 * time.Second, true}} {
		w := newWorld(1, 2, 32000)
		w.takeOver()
		w.run(time.Second)
		w.runners["r1"].unfit = true // so that the job starts on the other one
		j := newJob(1, true, work.Step{Count: 2, CPU: 16000, Estimate: 4000})
		w.submit(j)
		w.run(time.Second)
		require.Len(t, w.runners["r0"].runs, 2)
		w.runners["r1"].unfit = false
		w.runners["r0"].unreachable = true
		w.run(test.silence)
		w.runners["r0"].unreachable = false
		w.run(20 * time.Second)
		require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
		require.Empty(t, w.violations)
		if test.lapsed {
			require.Equal(t, 2, w.endCounts[order.LeaseExpired])
		} else {
			require.Equal(t, map[order.EndReason]int{order.Finished: 2}, w.endCounts, "neither given up nor started again")
		}
	}
}

// TestUnlisted removes runners that answer from the directory, as the store does with those
// that could not reach it for some time. They are back soon if they are alive, so their runs
// must go on and further tasks must start there meanwhile, but not later, and never on one
// that was leaving or does not answer.
func TestUnlisted(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		prepare func(r *simRunner)
		after   time.Duration // from the removal to the submission
		starts  bool
	}{
		{"answers", func(*simRunner) {}, 100 * time.Millisecond, true},
		{"answers, later", func(*simRunner) {}, 1800 * time.Millisecond, true},
		{"answers, but is gone by now", func(*simRunner) {}, 2200 * time.Millisecond, false},
		{"was leaving", func(r *simRunner) { r.draining = true }, 100 * time.Millisecond, false},
		{"silent", func(r *simRunner) { r.unreachable = true }, 1500 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 1, 32000)
			w.takeOver()
			w.run(time.Second)
			r := w.runners["r0"]
			w.submit(newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 3000}))
			w.run(100 * time.Millisecond)
			require.Len(t, r.runs, 1)
			test.prepare(r)
			w.updateDirectory()
			r.inDirectory = false
			w.updateDirectory()
			for range 5 { // the directory is read again and again
				w.run(test.after / 5)
				w.updateDirectory()
			}
			w.submit(newJob(2, true, work.Step{Count: 1, CPU: 14000, Estimate: 100}))
			w.run(60 * time.Millisecond)
			if test.starts {
				require.Len(t, r.runs, 2)
			} else {
				require.NotContains(t, r.highestRun, work.Task{Job: newJob(2, true).ID})
			}
			require.Zero(t, w.endCounts[order.Stopped], "the run goes on")
			r.inDirectory, r.unreachable, r.draining = true, false, false
			w.updateDirectory()
			w.run(20 * time.Second)
			checkSettled(t, w)
		})
	}
}

// TestPreviousHolderGoesOn has a runner that the next holder of a cell cannot reach and the
// previous one can, while the latter does not know yet that it was replaced and starts a task
// there. The next one must not start that task before all leases of the previous one have
// expired; once that has said that it has ended, it need not wait as long.
func TestPreviousHolderGoesOn(t *testing.T) {
	t.Parallel()
	for _, ended := range []bool{false, true} {
		w := newWorld(1, 2, 32000)
		previous := w.takeOver()
		w.run(time.Second)
		w.runners["r1"].unfit = true
		j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 2500})
		w.submit(j)
		w.run(20 * time.Millisecond)
		require.Len(t, w.runners["r0"].runs, 1)
		w.runners["r1"].unfit = false
		next := w.takeOverFrom(w.now.Add(600 * time.Millisecond))
		next.unreachableRunners = map[string]bool{"r0": true}
		if ended {
			previous.kill()
			next.exec(func() { next.cell.PreviousEnded(w.now, nil, true) })
		}
		w.run(1200 * time.Millisecond)
		require.Equal(t, ended, len(w.runners["r1"].runs) == 1)
		w.run(15 * time.Second)
		require.Empty(t, w.violations)
		require.True(t, w.finished[work.Task{Job: j.ID}])
	}
}

// TestMissingAtTakeover has a runner that the directory has lost while it runs a task, and one
// that has joined meanwhile, when another holder takes over. It does not know the former, so it
// must not take the task for ended before all leases have expired; or it must learn of that
// runner from the previous holder, which may not have read the directory since, and then go on
// at once.
func TestMissingAtTakeover(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ told, read bool }{{false, true}, {true, true}, {false, false}, {true, false}} {
		w := newWorld(1, 3, 32000)
		w.runners["r2"].inDirectory = false
		previous := w.takeOver()
		w.run(time.Second)
		j := newJob(1, true, work.Step{Count: 4, CPU: 16000, Estimate: 2500})
		w.submit(j)
		w.run(100 * time.Millisecond)
		w.runners["r0"].inDirectory = false
		w.runners["r2"].inDirectory = true
		if test.read {
			w.updateDirectory()
			w.run(100 * time.Millisecond)
		}
		require.Len(t, w.runners["r0"].runs, 2)
		occupied, complete := previous.cell.Occupied()
		require.True(t, complete)
		require.Len(t, occupied, 2)
		next := w.takeOver()
		previous.kill()
		if test.told {
			next.exec(func() { next.cell.PreviousEnded(w.now, occupied, complete) })
		}
		w.run(900 * time.Millisecond)
		if test.told {
			require.Len(t, w.runners["r0"].runs, 2, "their leases were extended")
			require.Empty(t, w.runners["r2"].runs)
		}
		w.run(20 * time.Second)
		require.Empty(t, w.violations)
		require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
	}
}

// TestLostDuringTakeover has a runner that is silent when another holder takes over, and that
// the directory loses thereafter. The previous holder has told that it may have runs there, so
// the next one must wait for it.
func TestLostDuringTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	previous := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 3, CPU: 16000, Estimate: 2500})
	w.submit(j)
	w.run(100 * time.Millisecond)
	r := w.runners["r0"]
	require.Len(t, r.runs, 2)
	r.unreachable = true
	occupied, complete := previous.cell.Occupied()
	previous.kill()
	next := w.takeOver()
	next.exec(func() { next.cell.PreviousEnded(w.now, occupied, complete) })
	w.run(50 * time.Millisecond)
	r.inDirectory = false
	w.updateDirectory()
	w.run(300 * time.Millisecond)
	r.unreachable = false
	w.run(20 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
}

// TestMissingAtSecondTakeover has a second takeover before the first is complete, so that the
// holder between them does not know a runner that runs a task. The last one must not take its
// word for all.
func TestMissingAtSecondTakeover(t *testing.T) {
	t.Parallel()
	for _, told := range []bool{false, true} {
		w := newWorld(1, 3, 32000)
		w.takeOver()
		w.run(time.Second)
		j := newJob(1, true, work.Step{Count: 5, CPU: 16000, Estimate: 2500})
		w.submit(j)
		w.run(100 * time.Millisecond)
		w.runners["r0"].inDirectory = false
		w.holder().kill()
		between := w.takeOver()
		w.run(500 * time.Millisecond)
		require.Zero(t, between.runnerSet)
		occupied, complete := between.cell.Occupied()
		require.False(t, complete)
		between.kill()
		w.join("r9")
		last := w.takeOver()
		if told {
			last.exec(func() { last.cell.PreviousEnded(w.now, occupied, complete) })
		}
		w.run(20 * time.Second)
		require.Empty(t, w.violations)
		require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
	}
}

// TestHandedOverDuringTakeover has a holder hand the cell over before it has taken over from a
// previous one that goes on extending leases, as it has not learned yet that it was replaced.
// The last holder must wait for the first one as well.
func TestHandedOverDuringTakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	first := w.takeOver()
	w.run(time.Second)
	w.runners["r1"].unfit = true
	j := newJob(1, false, work.Step{Count: 2, CPU: 16000, Estimate: 2500})
	w.submit(j)
	w.run(210 * time.Millisecond) // the first holder has just extended its lease
	require.Len(t, w.runners["r0"].runs, 2)
	w.runners["r1"].unfit = false
	w.runners["r0"].inDirectory = false
	w.join("r9")
	first.unreachableRunners = map[string]bool{"r1": true, "r9": true} // they would tell of the next holder
	next := w.takeOver()
	w.run(50 * time.Millisecond)
	require.Zero(t, next.cell.RunnerSet(w.now))
	w.handOver()
	w.run(20 * time.Second)
	checkSettled(t, w)
}

// TestRunnerSet checks that a runner that the directory has lost is reported as long as it may
// be used, also while an order to it is not answered, so that the next holder knows of it.
func TestRunnerSet(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	p := w.takeOver()
	w.run(time.Second)
	both := p.cell.RunnerSet(w.now)
	require.Equal(t, fingerprint.Of(slices.Values([]string{"r0", "r1"})), both)
	w.runners["r0"].inDirectory = false
	w.updateDirectory()
	w.runners["r0"].unreachable = true
	for range 15 {
		require.Equal(t, both, p.cell.RunnerSet(w.now))
		w.run(100 * time.Millisecond)
	}
	w.run(time.Second)
	require.Equal(t, fingerprint.Of(slices.Values([]string{"r1"})), p.cell.RunnerSet(w.now))
}

// TestJoinedSinceHeartbeat has a runner join right after a heartbeat and be lost by the
// directory, with tasks that may run there, before the next one. No report of the holder that
// is killed names it.
func TestJoinedSinceHeartbeat(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newWorld(seed, 2, 32000)
		w.runners["r1"].unfit = true
		w.takeOver()
		w.run(1210 * time.Millisecond)
		j := newJob(1, true, work.Step{Count: 4, CPU: 16000, Estimate: 2500})
		w.submit(j)
		w.join("r9")
		w.run(100 * time.Millisecond)
		w.runners["r1"].unfit = false
		w.runners["r9"].inDirectory = false
		w.holder().kill()
		w.takeOver()
		w.run(20 * time.Second)
		require.Empty(t, w.violations)
		require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
	}
}

// TestSmallerAfterRestart guards against starts beyond the capacity of a runner that has come back under
// its id as a smaller one, before the directory says so.
func TestSmallerAfterRestart(t *testing.T) {
	t.Parallel()
	for _, unlisted := range []time.Duration{100 * time.Millisecond, time.Second} {
		w := newWorld(1, 2, 32000)
		w.takeOver()
		w.run(time.Second)
		for i := range 40 {
			w.submit(newJob(i+1, i%2 == 0, work.Step{Count: 4, CPU: 7000, Estimate: 300}))
		}
		w.run(time.Second)
		r := w.runners["r0"]
		r.restart()
		r.cpu = 10000
		w.after(unlisted, w.updateDirectory)
		w.run(60 * time.Second)
		require.Empty(t, w.violations)
		checkSettled(t, w)
	}
}
