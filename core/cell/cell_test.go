package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// newJob returns a job with an id made of n, in a queue that allows three attempts.
func newJob(n int, transient bool, steps ...work.Step) *work.Job {
	return &work.Job{
		ID: fmt.Sprintf("%016x", n), Spec: "x", Transient: transient, Steps: steps,
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatency: 20000},
	}
}

// plainStep returns a step of n tasks of 100 ms that depends on the given steps.
func plainStep(n int, after ...int) work.Step {
	return work.Step{Count: n, CPU: 14000, Memory: 64, Estimate: 100, After: after}
}

// load submits jobs evenly over a time. Half of them are transient; some have two steps,
// are gangs, keep checkpoints, recur or fail in every run.
func load(w *world, jobs int, over time.Duration) {
	for i := range jobs {
		steps := []work.Step{plainStep(1 + i%4)}
		if i%3 == 0 {
			steps = append(steps, plainStep(2, 0))
		}
		j := newJob(i+1, i%2 == 0, steps...)
		if i%13 == 7 {
			j.Steps[0].Estimate = 1500
		}
		if i%11 == 5 {
			j.Spec = "poison"
		}
		j.Steps[0].Gang = i%5 == 3
		j.Steps[0].Checkpointable = i%7 == 2
		if i%10 == 8 && !j.Transient {
			j.RepeatCount, j.FirstDue, j.Interval = 2, w.now.Add(over/2).UnixMilli(), 700
		}
		w.after(over*time.Duration(i)/time.Duration(jobs), func() { w.submit(j) })
	}
}

// checkSettled checks that no guarantee was violated, that every accepted job has the
// expected end, and that neither runs nor unacknowledged ends nor rows of jobs are left.
func checkSettled(t require.TestingT, w *world) {
	require.Empty(t, w.violations)
	for id, r := range w.runners {
		if !r.dead && r.inDirectory {
			require.Empty(t, r.runs, "runs left on %s", id)
			require.Empty(t, r.unackedEnds, "unacknowledged ends on %s", id)
		}
	}
	require.Empty(t, w.store.scan("c0/jobs/"))
	require.Empty(t, w.store.scan("c0/progress/"))
	for id, j := range w.submitted {
		outcome, answered := w.outcomes[id]
		require.True(t, answered, "job %s has no outcome", id)
		if outcome.Verdict == cell.Refused {
			continue
		}
		want := work.Succeeded
		if isPoison(j) {
			want = work.Failed
		}
		state := outcome.State
		if !j.Transient {
			state = w.store.state(id)
		}
		require.Equal(t, want, state, "job %s", id)
	}
}

// TestNoFaults checks that a load without faults ends as expected.
func TestNoFaults(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	load(w, 60, 5*time.Second)
	w.run(30 * time.Second)
	checkSettled(t, w)
}

// faultScenario is a fault or a sequence of faults. The fault function starts it.
type faultScenario struct {
	name  string
	fault func(w *world)
}

// faultScenarios are the faults that a cell must tolerate, alone and in combination.
var faultScenarios = []faultScenario{
	{"holder killed", func(w *world) { w.holder().kill(); w.after(80*time.Millisecond, func() { w.takeOver() }) }},
	{"holder killed, taken over late", func(w *world) { w.holder().kill(); w.after(3*time.Second, func() { w.takeOver() }) }},
	{"holder frozen and taken over", func(w *world) {
		p := w.holder()
		p.frozenUntil = w.now.Add(4 * time.Second)
		w.after(2*time.Second, func() { w.takeOver(); p.disconnect() })
	}},
	{"holder cut off from the store and taken over", func(w *world) {
		p := w.holder()
		p.storeUnreachable = true
		w.after(2*time.Second, func() { w.takeOver(); p.disconnect() })
	}},
	{"two holders killed in turn", func(w *world) {
		w.holder().kill()
		w.after(50*time.Millisecond, func() {
			w.takeOver()
			w.after(30*time.Millisecond, func() { w.holder().kill(); w.after(100*time.Millisecond, func() { w.takeOver() }) })
		})
	}},
	{"store down", func(w *world) {
		w.store.down = true
		w.after(3*time.Second, func() { w.store.down = false })
	}},
	{"store loses results", func(w *world) { w.faults.lostWriteResult = 0.4 }},
	{"store loses results, holder killed", func(w *world) {
		w.faults.lostWriteResult = 0.5
		w.after(time.Second, func() { w.holder().kill(); w.takeOver() })
	}},
	{"jobs resubmitted", func(w *world) { w.faults.resubmission = 0.7; w.faults.lostWriteResult = 0.2 }},
	{"store slow across a takeover", func(w *world) {
		p := w.holder()
		p.writeDelay = 2500 * time.Millisecond
		w.after(400*time.Millisecond, func() { w.takeOver() })
		w.after(6*time.Second, p.disconnect)
	}},
	{"holder cut off, with runners that only it can reach", func(w *world) {
		p := w.holder()
		p.storeUnreachable = true
		p.unreachableRunners = map[string]bool{"r0": true, "r1": true, "r2": true}
		w.after(2*time.Second, func() {
			w.takeOver().unreachableRunners = map[string]bool{"r3": true, "r4": true, "r5": true}
			p.disconnect()
		})
		w.after(6*time.Second, func() { w.holder().unreachableRunners = nil })
	}},
	{"holder cut off and taken over once its lease has expired, each reaching some runners", func(w *world) {
		p := w.holder()
		p.storeUnreachable = true
		p.unreachableRunners = map[string]bool{"r0": true, "r1": true, "r2": true}
		w.after(simHolderLease+5*time.Millisecond, func() {
			w.takeOver().unreachableRunners = map[string]bool{"r3": true, "r4": true, "r5": true}
			w.after(3*time.Second, p.disconnect)
		})
		w.after(6*time.Second, func() { w.holder().unreachableRunners = nil })
	}},
	{"first runs fail, store loses results, holders killed", func(w *world) {
		for _, r := range w.runners {
			r.failsFirst = true
		}
		w.faults.lostWriteResult = 0.3
		for i := range 4 {
			w.after(time.Duration(i+1)*600*time.Millisecond, func() { w.holder().kill(); w.takeOver() })
		}
	}},
	{"directory loses runners, holder killed", func(w *world) {
		w.submitLong()
		w.after(100*time.Millisecond, func() {
			w.unlist(3*time.Second, "r0", "r1", "r2")
			w.join("r9")
		})
		w.after(500*time.Millisecond, func() { w.holder().kill(); w.after(100*time.Millisecond, func() { w.takeOver() }) })
	}},
	{"directory loses runners that are silent for a while, holder killed", func(w *world) {
		w.unlist(2500*time.Millisecond, "r0", "r1", "r2")
		w.join("r9")
		w.runners["r0"].unreachable, w.runners["r1"].unreachable = true, true
		w.after(600*time.Millisecond, func() {
			w.runners["r0"].unreachable, w.runners["r1"].unreachable = false, false
			w.after(30*time.Millisecond, w.submitLong)
		})
		w.after(900*time.Millisecond, func() { w.holder().kill(); w.after(100*time.Millisecond, func() { w.takeOver() }) })
	}},
	{"handed over while the directory lacks runners", func(w *world) {
		w.submitLong()
		w.after(100*time.Millisecond, func() {
			w.unlist(2*time.Second, "r0", "r1")
			w.join("r9")
		})
		w.after(300*time.Millisecond, w.handOver)
		w.after(500*time.Millisecond, w.handOver)
	}},
	{"orders delayed", func(w *world) { w.faults.delayedOrder = 0.1 }},
	{"orders delayed, holder killed", func(w *world) {
		w.faults.delayedOrder = 0.1
		w.after(time.Second, func() { w.holder().kill(); w.takeOver() })
	}},
	{"replies to orders lost", func(w *world) { w.faults.lostReply = 0.1 }},
	{"runner restarted with the same id", func(w *world) {
		r := w.runners["r1"]
		r.dead = true
		w.after(300*time.Millisecond, func() { r.restart(); w.updateDirectory() })
	}},
	{"runner restarted without a directory update", func(w *world) { w.runners["r1"].restart() }},
	{"runners restarted, orders delayed", func(w *world) {
		w.faults.delayedOrder = 0.2
		w.after(500*time.Millisecond, func() { w.runners["r1"].restart(); w.runners["r2"].restart() })
	}},
	{"runner lost, its address taken by another", func(w *world) {
		r := w.runners["r2"]
		r.loseAddress()
		w.after(3*time.Second, func() { r.inDirectory = false; w.updateDirectory() })
	}},
	{"runner lost for a while, its address taken by another", func(w *world) {
		r := w.runners["r2"]
		r.dead = true
		w.after(200*time.Millisecond, func() { r.loseAddress() })
		w.after(1500*time.Millisecond, func() { r.reclaimAddress(); w.updateDirectory() })
	}},
	{"runner lost", func(w *world) {
		w.runners["r2"].dead = true
		w.after(4*time.Second, func() { w.runners["r2"].inDirectory = false; w.updateDirectory() })
	}},
	{"runner cut off", func(w *world) {
		w.runners["r3"].unreachable = true
		w.after(4*time.Second, func() { w.runners["r3"].unreachable = false })
	}},
	{"runner cut off, holder killed", func(w *world) {
		w.runners["r3"].unreachable = true
		w.after(100*time.Millisecond, func() { w.holder().kill(); w.takeOver() })
		w.after(4*time.Second, func() { w.runners["r3"].unreachable = false })
	}},
	{"runner fails all", func(w *world) { w.runners["r0"].failsAll = true }},
	{"runner hangs", func(w *world) {
		w.runners["r0"].hangs = true
		w.after(5*time.Second, func() { w.runners["r0"].hangs = false })
	}},
	{"runner slow", func(w *world) { w.runners["r0"].slowdown = 8 }},
}

// TestFaults injects each fault, with four seeds, into a load of jobs of all kinds, and
// checks that all jobs end and no guarantee is violated.
func TestFaults(t *testing.T) {
	t.Parallel()
	for _, test := range faultScenarios {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := newWorld(seed, 6, 32000)
				w.takeOver()
				load(w, 80, 6*time.Second)
				w.after(1500*time.Millisecond, func() { test.fault(w) })
				w.run(12 * time.Second)
				w.faults = faults{delay: 2 * time.Millisecond}
				w.run(60 * time.Second)
				require.Empty(t, w.violations, "seed %d", seed)
				checkSettled(t, w)
			}
		})
	}
}
