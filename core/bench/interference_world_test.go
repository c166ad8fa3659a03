//go:build bench

package bench_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// Sizes of the experiments on interference.
const (
	cellRunners  = 16
	cellCPU      = 32000 // thousandths of a core of a runner
	cellTaskCPU  = 4000
	cellKinds    = 6
	cellTasks    = 4 // largest number of tasks of a job
	cellTick     = 20 * time.Millisecond
	cellLatency  = 2000 // target latency of the queues, in milliseconds
	cellRunTime  = 200  // mean run time of a task without neighbours, in milliseconds
	cellHardness = 0.2  // standard deviation of the logarithm of run times
)

// interferencePairs are the factors by which tasks of a kind take longer beside those of another
// one, by kind and kind beside it.
var interferencePairs = map[[2]int]float64{{0, 1}: 2, {2, 0}: 1.6}

// cellWorld runs a cell and its runners. It implements cell.OrderSender.
type cellWorld struct {
	loop    *fleet.Loop
	cell    *cell.Cell
	rng     *rand.Rand
	runners map[string]*cellRunner
	list    []cell.RunnerInfo
	pairs   map[[2]int]float64
	kinds   map[string]int // by job
	works   map[work.Task]time.Duration

	submitted int
	answered  int       // jobs that were submitted while measuring
	overs     []float64 // response times of those that succeeded, relative to the run time of the longest task
	victims   []float64 // those of the kinds that are slowed down
}

// cellRunner is a runner of a cellWorld.
type cellRunner struct {
	id      string
	speed   float64
	runs    []*cellRun // in order of their starts
	counts  [cellKinds]int
	updated time.Time
	ends    []order.EndedRun
	lastEnd int64
	holds   []func() // that wait for an end
}

// cellRun is a run. Work is its time that is left at speed one without neighbours.
type cellRun struct {
	task   work.Task
	number int
	kind   int
	work   float64 // in seconds
	total  float64 // in seconds
	rate   float64
	event  int // number of the last scheduled end
}

// newCellWorld returns a world with jobs at a fraction of what the runners can do.
func newCellWorld(load float64, pairs map[[2]int]float64, on bool, seed uint64) *cellWorld {
	w := &cellWorld{
		loop: fleet.NewLoop(), rng: rand.New(rand.NewPCG(seed, 12)), runners: map[string]*cellRunner{}, pairs: pairs,
		kinds: map[string]int{}, works: map[work.Task]time.Duration{},
	}
	for i := range cellRunners {
		id := fmt.Sprint("r", i)
		w.runners[id] = &cellRunner{id: id, speed: 0.8 + 0.4*w.rng.Float64(), updated: w.loop.Now()}
		w.list = append(w.list, cell.RunnerInfo{
			ID: id, Addr: id, Service: "s", Incarnation: 1, Capacity: cell.Resources{CPU: cellCPU, Memory: 1 << 20},
		})
	}
	w.cell = cell.New(cell.Term{Cell: "c", HolderKey: "c/cells/holder", Epoch: 1, TermNumber: 1}, cell.Settings{Interference: on}, w.loop.Now())
	w.cell.Orders, w.cell.WallClock = w, func() int64 { return w.loop.Now().UnixMilli() }
	slots := float64(cellRunners * cellCPU / cellTaskCPU)
	w.schedule(load * slots / (cellRunTime / 1000.0) / (cellTasks + 1) * 2)
	return w
}

// schedule schedules the arrivals of jobs at a rate a second, until the end of measuring.
func (w *cellWorld) schedule(rate float64) {
	var next func()
	next = func() {
		w.submit()
		if w.loop.Now().Sub(fleet.NewLoop().Now()) < warmUp+measured {
			w.loop.After(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	w.loop.After(time.Second, next)
}

// submit submits a job of a random kind.
func (w *cellWorld) submit() {
	w.submitted++
	id, kind, arrived := fmt.Sprintf("%016x", w.submitted), w.rng.IntN(cellKinds), w.loop.Now()
	w.kinds[id] = kind
	estimate := cellRunTime/2 + w.rng.IntN(cellRunTime)
	step := work.Step{Count: 1 + w.rng.IntN(cellTasks), CPU: cellTaskCPU, Memory: 64, Estimate: estimate}
	longest := time.Duration(0)
	for i := range step.Count {
		d := time.Duration(float64(estimate) * math.Exp(cellHardness*w.rng.NormFloat64()) * float64(time.Millisecond))
		w.works[work.Task{Job: id, Index: i}] = d
		longest = max(longest, d)
	}
	isMeasured := arrived.Sub(fleet.NewLoop().Now()) >= warmUp
	j := work.Job{
		ID: id, Spec: "x", Transient: true, Steps: []work.Step{step},
		Queue: work.Queue{Name: fmt.Sprint("q", kind), Service: "s", MaxAttempts: 3, Stretch: 3, TargetLatency: cellLatency},
	}
	w.exec(func() {
		w.cell.Submit(w.loop.Now(), cell.Submission{Job: j, Caller: id}, func(o cell.Outcome) { w.answer(o, kind, arrived, longest, isMeasured) })
	})
}

// answer counts the outcome of a job.
func (w *cellWorld) answer(o cell.Outcome, kind int, arrived time.Time, longest time.Duration, isMeasured bool) {
	if !isMeasured {
		return
	}
	w.answered++
	if o.Verdict != cell.Accepted || o.State != work.Succeeded {
		return
	}
	over := float64(w.loop.Now().Sub(arrived)) / float64(longest)
	w.overs = append(w.overs, over)
	for pair := range w.pairs {
		if pair[0] == kind {
			w.victims = append(w.victims, over)
		}
	}
}

// exec runs do and a pass of the cell.
func (w *cellWorld) exec(do func()) {
	do()
	w.cell.RunPass(w.loop.Now())
}

// run simulates the holder and all jobs.
func (w *cellWorld) run() {
	w.exec(func() {
		w.cell.UpdateDirectory(w.loop.Now(), w.list)
		w.cell.LoadJobs(w.loop.Now(), nil, nil)
	})
	w.loop.Every(cellTick, func() {
		w.exec(func() {
			w.cell.ExtendLease(w.loop.Now().Add(time.Second))
			w.cell.Reported(w.cell.RunnerSet(w.loop.Now()))
			w.cell.Tick(w.loop.Now())
		})
	})
	w.loop.Run(warmUp + measured + drain/2)
}

// clock returns the reading of the clock of all runners, in milliseconds.
func (w *cellWorld) clock() int64 { return w.loop.Now().UnixMilli() + 100000 }

// Start implements cell.OrderSender.
func (w *cellWorld) Start(to order.Target, s order.Start) {
	w.loop.After(fleet.MessageDelay, func() {
		r, seconds := w.runners[to.ID], w.works[s.Task].Seconds()
		w.advance(r)
		x := &cellRun{task: s.Task, number: s.Run, kind: w.kinds[s.Task.Job], work: seconds, total: seconds}
		r.runs = append(r.runs, x)
		r.counts[x.kind]++
		w.reschedule(r)
		w.reply(func() {
			w.cell.StartAnswered(w.loop.Now(), to.ID, s, order.Reply{Verdict: order.Done, Clock: w.clock()})
		})
	})
}

// Stop implements cell.OrderSender.
func (w *cellWorld) Stop(to order.Target, s order.Stop) {
	w.loop.After(fleet.MessageDelay, func() {
		r := w.runners[to.ID]
		if i := slices.IndexFunc(r.runs, func(x *cellRun) bool { return x.task == s.Task && x.number == s.Run }); i >= 0 {
			w.end(r, r.runs[i], order.Stopped)
		}
		w.reply(func() {
			w.cell.StopAnswered(w.loop.Now(), to.ID, s, order.Reply{Verdict: order.Done, Clock: w.clock()})
		})
	})
}

// Hold implements cell.OrderSender.
func (w *cellWorld) Hold(to order.Target, h order.Hold, ticket int64) {
	w.loop.After(fleet.MessageDelay, func() {
		r := w.runners[to.ID]
		for len(r.ends) > 0 && r.ends[0].Number <= h.AckedThrough {
			r.ends = r.ends[1:]
		}
		replied := false
		answer := func() {
			if replied {
				return
			}
			replied = true
			v := w.holdReply(r)
			w.reply(func() { w.cell.HoldAnswered(w.loop.Now(), to.ID, h, ticket, v) })
		}
		if h.Wait == 0 || len(r.ends) > 0 {
			answer()
			return
		}
		r.holds = append(r.holds, answer)
		w.loop.After(h.Wait, answer)
	})
}

// reply delivers a reply to the cell.
func (w *cellWorld) reply(do func()) {
	w.loop.After(fleet.MessageDelay, func() { w.exec(do) })
}

// holdReply returns the runs and the ends of a runner.
func (w *cellWorld) holdReply(r *cellRunner) order.HoldReply {
	w.advance(r)
	v := order.HoldReply{Verdict: order.Done, Clock: w.clock(), Incarnation: 1, Ends: append([]order.EndedRun(nil), r.ends...)}
	for _, x := range r.runs {
		v.Running = append(v.Running, order.ActiveRun{Task: x.task, Run: x.number, Percent: 100 * (1 - x.work/x.total)})
	}
	return v
}

// advance updates the work that is left of the runs on r. It is to be called before each change.
func (w *cellWorld) advance(r *cellRunner) {
	passed := w.loop.Now().Sub(r.updated).Seconds()
	for _, x := range r.runs {
		x.work -= passed * x.rate
	}
	r.updated = w.loop.Now()
}

// reschedule schedules the ends of the runs on r. It is to be called after each change.
func (w *cellWorld) reschedule(r *cellRunner) {
	for _, x := range r.runs {
		rate := r.speed
		for pair, factor := range w.pairs {
			if pair[0] == x.kind && r.counts[pair[1]] > 0 {
				rate /= factor
			}
		}
		if rate == x.rate {
			continue
		}
		x.rate = rate
		x.event++
		event := x.event
		w.loop.After(time.Duration(max(x.work, 0)/rate*float64(time.Second)), func() {
			if x.event == event {
				w.end(r, x, order.Finished)
			}
		})
	}
}

// end ends a run and answers the holds that wait.
func (w *cellWorld) end(r *cellRunner, x *cellRun, reason order.EndReason) {
	w.advance(r)
	r.runs = slices.DeleteFunc(r.runs, func(other *cellRun) bool { return other == x })
	x.event = 0
	r.counts[x.kind]--
	w.reschedule(r)
	r.lastEnd++
	r.ends = append(r.ends, order.EndedRun{Number: r.lastEnd, Task: x.task, Run: x.number, Reason: reason})
	holds := r.holds
	r.holds = nil
	for _, answer := range holds {
		answer()
	}
}
