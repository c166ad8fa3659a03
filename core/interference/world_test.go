package interference_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gypsumward/core/interference"
)

// load is a randomly drawn load on a set of runners with known factors of interference.
type load struct {
	rng      *rand.Rand
	now      time.Time
	start    time.Time
	kinds    []loadKind
	factors  map[[2]int]float64 // by kind and kind beside; 1 if missing
	runners  []*loadRunner
	model    *interference.Model
	events   endings
	observed map[[2]int]int // number of observed runs of a kind beside another
	runs     int
	place    func(l *load, k int) *loadRunner // nil means at random

	hardJobs float64 // standard deviation of the logarithm of the run time between jobs
	hardRuns float64 // and between runs of a job
	slowFor  time.Duration
	slowBy   float64 // factor by which runners become slower for slowFor, at random times
}

// loadKind is a kind of tasks.
type loadKind struct {
	name     interference.Kind
	runTime  float64 // in seconds
	estimate float64 // factor by which it is wrong
	rate     float64 // jobs a second
	tasks    int     // largest number of tasks of a job
	period   time.Duration
	active   float64 // part of the period in which jobs arrive
}

// loadRunner is a runner with a number of slots.
type loadRunner struct {
	id        string
	slots     int
	speed     float64
	slowUntil time.Time
	runs      []*loadRun
	counts    []int // of runs by kind
	updated   time.Time
}

// loadRun is a run. Work is the run time that is left at speed one without neighbours.
type loadRun struct {
	kind    int
	job     string
	started time.Time
	work    float64
	rate    float64   // speed since the last change
	beside  []float64 // seconds by kind
	event   *ending
}

// ending is an event of a load.
type ending struct {
	at    time.Time
	index int
	do    func()
}

type endings []*ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

func (e *endings) Push(v any) {
	v.(*ending).index = len(*e)
	*e = append(*e, v.(*ending))
}

func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	last.index = -1
	return last
}

// drawLoad draws kinds, runners, job sizes and errors of estimates. No pair interferes yet.
func drawLoad(seed uint64) *load {
	rng := rand.New(rand.NewPCG(seed, 5))
	l := &load{
		rng: rng, now: time.Unix(5000, 0), start: time.Unix(5000, 0), factors: map[[2]int]float64{}, model: interference.New(),
		observed: map[[2]int]int{}, hardJobs: 0.4 * rng.Float64(), hardRuns: 0.1 + 0.3*rng.Float64(), slowBy: 1,
	}
	runners, slots := 4+rng.IntN(16), 3+rng.IntN(5)
	for i := range runners {
		l.runners = append(l.runners, &loadRunner{id: fmt.Sprint("r", i), slots: slots, speed: math.Exp(0.3 * rng.NormFloat64()), updated: l.now})
	}
	n := 3 + rng.IntN(5)
	for _, r := range l.runners {
		r.counts = make([]int, n)
	}
	utilization := 0.3 + 0.5*rng.Float64()
	for i := range n {
		k := loadKind{
			name: interference.Kind{Queue: fmt.Sprint("q", i), Size: rng.IntN(3)}, runTime: 0.1 + 0.6*rng.Float64(),
			estimate: math.Exp(0.8 * rng.NormFloat64()), tasks: 1 + rng.IntN(8), active: 0.3 + 0.7*rng.Float64(),
			period: time.Duration(2+rng.IntN(20)) * time.Second,
		}
		k.rate = utilization * float64(runners*slots) / float64(n) / k.runTime / (float64(k.tasks+1) / 2) / k.active
		l.kinds = append(l.kinds, k)
	}
	return l
}

// at schedules do at a time after d.
func (l *load) at(d time.Duration, do func()) *ending {
	e := &ending{at: l.now.Add(d), do: do}
	heap.Push(&l.events, e)
	return e
}

// run simulates d, with an update of the model each second.
func (l *load) run(d time.Duration, onUpdate func([]interference.Change)) {
	if l.runs == 0 && l.now.Equal(l.start) {
		for i := range l.kinds {
			l.scheduleArrival(i)
		}
		if l.slowFor > 0 {
			l.scheduleSlowness()
		}
	}
	end := l.now.Add(d)
	var update func()
	update = func() {
		changes := l.model.Update(l.now)
		if onUpdate != nil {
			onUpdate(changes)
		}
		if l.now.Add(time.Second).Before(end) {
			l.at(time.Second, update)
		}
	}
	l.at(time.Second, update)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(*ending)
		l.now = e.at
		e.do()
	}
	l.now = end
}

// scheduleArrival schedules the next job of a kind, and all later ones.
func (l *load) scheduleArrival(kind int) {
	k := &l.kinds[kind]
	l.at(time.Duration(l.rng.ExpFloat64()/k.rate*float64(time.Second)), func() {
		if phase := l.now.Sub(l.start) % k.period; float64(phase) < k.active*float64(k.period) {
			l.arrive(kind)
		}
		l.scheduleArrival(kind)
	})
}

// scheduleSlowness makes a random runner slow for a time, again and again.
func (l *load) scheduleSlowness() {
	l.at(time.Duration(l.rng.ExpFloat64()*float64(20*time.Second)), func() {
		r := l.runners[l.rng.IntN(len(l.runners))]
		l.advance(r)
		r.slowUntil = l.now.Add(l.slowFor)
		l.reschedule(r)
		l.at(l.slowFor, func() {
			l.advance(r)
			l.reschedule(r)
		})
		l.scheduleSlowness()
	})
}

// arrive starts the tasks of a job for which there are free slots.
func (l *load) arrive(kind int) {
	k := &l.kinds[kind]
	hardness, job := math.Exp(l.hardJobs*l.rng.NormFloat64()), fmt.Sprint("j", l.rng.Uint64())
	for range 1 + l.rng.IntN(k.tasks) {
		r := l.freeRunner()
		if l.place != nil {
			r = l.place(l, kind)
		}
		if r == nil {
			return
		}
		l.advance(r)
		r.counts[kind]++
		r.runs = append(r.runs, &loadRun{
			kind: kind, job: job, started: l.now, work: k.runTime * hardness * math.Exp(l.hardRuns*l.rng.NormFloat64()),
			beside: make([]float64, len(l.kinds)),
		})
		l.reschedule(r)
	}
}

// freeRunner returns a random runner with a free slot, or nil if there is none.
func (l *load) freeRunner() *loadRunner {
	from := l.rng.IntN(len(l.runners))
	for i := range l.runners {
		if r := l.runners[(from+i)%len(l.runners)]; len(r.runs) < r.slots {
			return r
		}
	}
	return nil
}

// present reports whether a run of a kind other than x is on r.
func (r *loadRunner) present(kind int, x *loadRun) bool {
	return r.counts[kind] > 1 || (r.counts[kind] == 1 && x.kind != kind)
}

// rate returns the speed of a run.
func (l *load) rate(r *loadRunner, x *loadRun) float64 {
	rate := r.speed
	if l.now.Before(r.slowUntil) {
		rate /= l.slowBy
	}
	for p, f := range l.factors {
		if p[0] == x.kind && r.present(p[1], x) {
			rate /= f
		}
	}
	return rate
}

// advance updates the work that is left of all runs on r. It is to be called before each change.
func (l *load) advance(r *loadRunner) {
	passed := l.now.Sub(r.updated).Seconds()
	for _, x := range r.runs {
		x.work -= passed * x.rate
		for kind := range r.counts {
			if r.present(kind, x) {
				x.beside[kind] += passed
			}
		}
	}
	r.updated = l.now
}

// reschedule schedules the ends of all runs on r. It is to be called after each change.
func (l *load) reschedule(r *loadRunner) {
	for _, x := range r.runs {
		rate := l.rate(r, x)
		if rate == x.rate {
			continue // its end is scheduled already
		}
		x.rate = rate
		if x.event != nil && x.event.index >= 0 {
			heap.Remove(&l.events, x.event.index)
		}
		left := time.Duration(max(x.work, 0) / rate * float64(time.Second))
		x.event = l.at(left, func() { l.end(r, x) })
	}
}

// end observes the end of a run.
func (l *load) end(r *loadRunner, x *loadRun) {
	l.advance(r)
	for i, other := range r.runs {
		if other == x {
			r.runs = append(r.runs[:i], r.runs[i+1:]...)
			r.counts[x.kind]--
			break
		}
	}
	l.reschedule(r)
	elapsed := l.now.Sub(x.started).Seconds()
	if elapsed <= 0 {
		return
	}
	l.runs++
	k := l.kinds[x.kind]
	o := interference.Observation{Kind: k.name, Runner: r.id, Job: x.job, RunTime: elapsed, Expected: k.runTime * k.estimate}
	for kind, seconds := range x.beside {
		if seconds > 0 {
			o.Beside = append(o.Beside, interference.Neighbour{Kind: l.kinds[kind].name, Fraction: seconds / elapsed})
			l.observed[[2]int{x.kind, kind}]++
		}
	}
	l.model.Observe(l.now, o)
}

// index returns the number of a kind.
func (l *load) index(k interference.Kind) int {
	for i := range l.kinds {
		if l.kinds[i].name == k {
			return i
		}
	}
	return -1
}

// isTrue reports whether a pair interferes.
func (l *load) isTrue(p interference.Pair) bool {
	return l.factors[[2]int{l.index(p.Kind), l.index(p.Beside)}] > 1
}
