package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

func newJob(n int, transient bool, steps ...work.Step) *work.Job {
	return &work.Job{
		ID: fmt.Sprintf("%016x", n), Spec: "x", Transient: transient, Steps: steps,
		Queue: work.Queue{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Target: 20000},
	}
}

// plain returns a step of n tasks.
func plain(n int, after ...int) work.Step {
	return work.Step{Count: n, CPU: 14000, Memory: 64, Estimate: 100, After: after}
}

// load hands in jobs over a time, half of them transient, some of two steps.
func load(w *world, jobs int, over time.Duration) {
	for i := range jobs {
		steps := []work.Step{plain(1 + i%4)}
		if i%3 == 0 {
			steps = append(steps, plain(2, 0))
		}
		j := newJob(i+1, i%2 == 0, steps...)
		if i%13 == 7 {
			j.Steps[0].Estimate = 1500
		}
		if i%11 == 5 {
			j.Spec = "poison"
		}
		j.Steps[0].Gang = i%5 == 3
		j.Steps[0].Checkpoint = i%7 == 2
		if i%10 == 8 && !j.Transient {
			j.Repeat, j.First, j.Interval = 2, w.now.Add(over/2).UnixMilli(), 700
		}
		w.after(over*time.Duration(i)/time.Duration(jobs), func() { w.submit(j) })
	}
}

// settled checks that every job has come to its end as promised.
func settled(t require.TestingT, w *world) {
	require.Empty(t, w.broken)
	for id, r := range w.runners {
		if !r.dead && r.listed {
			require.Empty(t, r.runs, "runs left on %s", id)
			require.Empty(t, r.ends, "ends not acknowledged on %s", id)
		}
	}
	require.Empty(t, w.store.scan("c0/jobs/"))
	require.Empty(t, w.store.scan("c0/progress/"))
	for id, j := range w.asked {
		o, answered := w.answers[id]
		require.True(t, answered, "job %s has no answer", id)
		if o.Verdict == cell.Refused {
			continue
		}
		want := work.Succeeded
		if poisonous(j) {
			want = work.Failed
		}
		state := o.State
		if !j.Transient {
			state = w.store.state(id)
		}
		require.Equal(t, want, state, "job %s", id)
	}
}

func TestCalm(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	load(w, 60, 5*time.Second)
	w.run(30 * time.Second)
	settled(t, w)
}

// happening is a fault at some moment.
type happening struct {
	name  string
	fault func(w *world)
}

// happenings are the faults that a cell bears, alone and together.
var happenings = []happening{
	{"holder killed", func(w *world) { w.holder().kill(); w.after(80*time.Millisecond, func() { w.takeOver() }) }},
	{"holder killed, taken over late", func(w *world) { w.holder().kill(); w.after(3*time.Second, func() { w.takeOver() }) }},
	{"holder frozen and replaced", func(w *world) {
		p := w.holder()
		p.frozen = w.now.Add(4 * time.Second)
		w.after(2*time.Second, func() { w.takeOver(); p.release() })
	}},
	{"holder cut from the store and replaced", func(w *world) {
		p := w.holder()
		p.cut = true
		w.after(2*time.Second, func() { w.takeOver(); p.release() })
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
	{"store loses answers", func(w *world) { w.faults.write = 0.4 }},
	{"store loses answers, holder killed", func(w *world) {
		w.faults.write = 0.5
		w.after(time.Second, func() { w.holder().kill(); w.takeOver() })
	}},
	{"jobs handed in again", func(w *world) { w.faults.again = 0.7; w.faults.write = 0.2 }},
	{"store slow across a takeover", func(w *world) {
		p := w.holder()
		p.slow = 2500 * time.Millisecond
		w.after(400*time.Millisecond, func() { w.takeOver() })
		w.after(6*time.Second, p.release)
	}},
	{"holder cut off, with runners that only it reaches", func(w *world) {
		p := w.holder()
		p.cut = true
		p.blind = map[string]bool{"r0": true, "r1": true, "r2": true}
		w.after(2*time.Second, func() {
			w.takeOver().blind = map[string]bool{"r3": true, "r4": true, "r5": true}
			p.release()
		})
		w.after(6*time.Second, func() { w.holder().blind = nil })
	}},
	{"holder cut off and replaced once its tenure is over, each reaching some runners", func(w *world) {
		p := w.holder()
		p.cut = true
		p.blind = map[string]bool{"r0": true, "r1": true, "r2": true}
		w.after(simTenure+5*time.Millisecond, func() {
			w.takeOver().blind = map[string]bool{"r3": true, "r4": true, "r5": true}
			w.after(3*time.Second, p.release)
		})
		w.after(6*time.Second, func() { w.holder().blind = nil })
	}},
	{"first runs fail, store loses answers, holders killed", func(w *world) {
		for _, r := range w.runners {
			r.first = true
		}
		w.faults.write = 0.3
		for i := range 4 {
			w.after(time.Duration(i+1)*600*time.Millisecond, func() { w.holder().kill(); w.takeOver() })
		}
	}},
	{"orders late", func(w *world) { w.faults.late = 0.1 }},
	{"orders late, holder killed", func(w *world) {
		w.faults.late = 0.1
		w.after(time.Second, func() { w.holder().kill(); w.takeOver() })
	}},
	{"answers of orders lost", func(w *world) { w.faults.lost = 0.1 }},
	{"runner restarted under its id", func(w *world) {
		r := w.runners["r1"]
		r.dead = true
		w.after(300*time.Millisecond, func() { r.restart(); w.relist() })
	}},
	{"runner restarted unnoticed", func(w *world) { w.runners["r1"].restart() }},
	{"runner restarted, orders late", func(w *world) {
		w.faults.late = 0.2
		w.after(500*time.Millisecond, func() { w.runners["r1"].restart(); w.runners["r2"].restart() })
	}},
	{"runner lost, its address given to another", func(w *world) {
		r := w.runners["r2"]
		r.giveAway()
		w.after(3*time.Second, func() { r.listed = false; w.relist() })
	}},
	{"runner lost for a while, its address given to another", func(w *world) {
		r := w.runners["r2"]
		r.dead = true
		w.after(200*time.Millisecond, func() { r.giveAway() })
		w.after(1500*time.Millisecond, func() { r.takeBack(); w.relist() })
	}},
	{"runner lost", func(w *world) {
		w.runners["r2"].dead = true
		w.after(4*time.Second, func() { w.runners["r2"].listed = false; w.relist() })
	}},
	{"runner cut off", func(w *world) {
		w.runners["r3"].cut = true
		w.after(4*time.Second, func() { w.runners["r3"].cut = false })
	}},
	{"runner cut off, holder killed", func(w *world) {
		w.runners["r3"].cut = true
		w.after(100*time.Millisecond, func() { w.holder().kill(); w.takeOver() })
		w.after(4*time.Second, func() { w.runners["r3"].cut = false })
	}},
	{"runner fails all", func(w *world) { w.runners["r0"].fails = true }},
	{"runner hangs", func(w *world) {
		w.runners["r0"].hangs = true
		w.after(5*time.Second, func() { w.runners["r0"].hangs = false })
	}},
	{"runner slow", func(w *world) { w.runners["r0"].slow = 8 }},
}

// TestFaults plays each fault against a load of jobs of all kinds.
func TestFaults(t *testing.T) {
	t.Parallel()
	for _, test := range happenings {
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
				require.Empty(t, w.broken, "seed %d", seed)
				settled(t, w)
			}
		})
	}
}
