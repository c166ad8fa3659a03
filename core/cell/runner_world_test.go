package cell_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

const simLease = 1000 // milliseconds

// simRunner is a runner that does not guard its room.
type simRunner struct {
	world   *world
	id      string
	born    int64
	life    int
	began   time.Time
	cpu     int
	kind    string
	rack    string
	listed  bool
	cut     bool
	dead    bool
	refuses bool // nothing listens at its address while it is dead
	foreign bool // it has crashed and another runner answers at its address
	fails   bool // every run
	first   bool // the first run of each task fails
	hangs   bool
	unfit   bool    // it refuses to start anything
	slow    float64 // factor of the time of runs
	drift   int64   // percent by which the clock is slow
	token   int64
	until   int64
	runs    map[work.Task]*simRun
	highest map[work.Task]int
	ends    []order.End
	last    int64
	acked   int64
	holds   []func()
	lapsed  map[int64]bool // ends before a lapse of the lease
}

type simRun struct {
	number int
	cpu    int
	began  time.Time
	took   time.Duration
	still  bool // never moves
	saved  string
}

func newSimRunner(w *world, id string, cpu int) *simRunner {
	r := &simRunner{world: w, id: id, cpu: cpu, listed: true, slow: 1, drift: int64(w.rng.IntN(3))}
	r.restart()
	return r
}

// restart begins a new life.
func (r *simRunner) restart() {
	r.life++
	r.born = r.world.now.UnixMilli() + int64(r.life)
	r.began = r.world.now.Add(-time.Duration(r.world.rng.IntN(1000)+1) * time.Millisecond)
	r.token, r.until, r.last, r.acked = 0, 0, 0, 0
	r.runs, r.highest, r.lapsed = map[work.Task]*simRun{}, map[work.Task]int{}, map[int64]bool{}
	r.ends, r.holds, r.dead = nil, nil, false
}

// failTime returns how long a call takes to fail that would time out.
func (r *simRunner) failTime(timeout time.Duration) time.Duration {
	if r != nil && r.dead && r.refuses {
		return r.world.jitter()
	}
	return timeout
}

// giveAway lets the runner crash and another one answer at its address.
func (r *simRunner) giveAway() {
	r.restart()
	r.foreign = true
}

// takeBack starts a runner anew whose address another one had.
func (r *simRunner) takeBack() {
	if r.foreign {
		r.restart()
		r.foreign = false
	}
}

func (r *simRunner) clock() int64 {
	ms := r.world.now.Sub(r.began).Milliseconds()
	return ms - ms*r.drift/100
}

func (r *simRunner) listing() cell.Listing {
	return cell.Listing{
		ID: r.id, Addr: r.id, Service: "s", Kind: r.kind, Rack: r.rack, Born: r.born, Labels: []string{"a", r.rack},
		Room: cell.Room{CPU: r.cpu, Memory: 1 << 20},
	}
}

// extend takes the deadline of an order.
func (r *simRunner) extend(deadline int64) {
	if deadline <= r.clock() {
		return
	}
	r.until = max(r.until, min(deadline, r.clock()+simLease))
	life := r.life
	var check func()
	check = func() {
		if r.life != life || r.dead {
			return
		}
		if left := r.until - r.clock(); left > 0 {
			r.world.after(time.Duration(left+1)*time.Millisecond, check)
			return
		}
		r.lapse()
	}
	r.world.after(time.Duration(r.until-r.clock()+1)*time.Millisecond, check)
}

// lapse ends everything, since the lease has run out.
func (r *simRunner) lapse() {
	for _, e := range r.ends {
		r.lapsed[e.N] = true
	}
	for _, t := range r.tasks() {
		r.end(t, order.Lapsed)
	}
}

// tasks returns the tasks that run, in a fixed order.
func (r *simRunner) tasks() []work.Task {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b work.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

func (r *simRunner) start(s order.Start) order.Reply {
	w := r.world
	if s.Token < r.token {
		return order.Reply{Verdict: order.Fenced, Clock: r.clock()}
	}
	r.token = s.Token
	if x := r.runs[s.Task]; x != nil && x.number == s.Run {
		r.extend(s.Deadline)
		return order.Reply{Verdict: order.Done, Clock: r.clock()}
	}
	if s.Run <= r.highest[s.Task] {
		r.extend(s.Deadline)
		return order.Reply{Verdict: order.Old, Clock: r.clock()}
	}
	if s.Deadline <= r.clock() {
		return order.Reply{Verdict: order.Late, Clock: r.clock()}
	}
	if r.unfit {
		return order.Reply{Verdict: order.Unfit, Clock: r.clock()}
	}
	if !w.ticketHolds(s, r) {
		w.hows["unadvised"]++
		return order.Reply{Verdict: order.Unadvised, Clock: r.clock()}
	}
	r.extend(s.Deadline)
	r.judge(s)
	step := w.asked[s.Task.Job].Steps[s.Task.Step]
	took := time.Duration(float64(step.Estimate)*(0.7+0.6*w.rng.Float64())*r.slow) * time.Millisecond
	if step.Fills {
		step.CPU = 0
	}
	x := &simRun{number: s.Run, cpu: step.CPU, began: w.now, took: took, saved: s.Saved}
	r.runs[s.Task], r.highest[s.Task] = x, s.Run
	w.from[s.Task] = s.Saved
	if r.hangs {
		x.still = true
		return order.Reply{Verdict: order.Done, Clock: r.clock()}
	}
	how := order.Finished
	if r.fails || (r.first && s.Run == 1) || poisonous(w.asked[s.Task.Job]) {
		how = order.Failed
	}
	r.begin(s.Task, x, step, how)
	return order.Reply{Verdict: order.Done, Clock: r.clock()}
}

// begin lets a run work until its end.
func (r *simRunner) begin(t work.Task, x *simRun, step work.Step, how order.How) {
	w := r.world
	switch {
	case step.Gang && how == order.Finished:
		w.joinGang(r, t, x, step.Count)
	case step.Lasting && step.Tail > 0 && how == order.Finished:
		r.watchHarm(t, x)
	case step.Lasting && how == order.Finished:
	default:
		life := r.life
		w.after(x.took, func() {
			if r.life == life && r.runs[t] == x {
				r.end(t, how)
			}
		})
	}
}

func poisonous(j *work.Job) bool { return j.Spec == "poison" }

// judge records what a start breaks.
func (r *simRunner) judge(s order.Start) {
	w := r.world
	j := w.asked[s.Task.Job]
	if j == nil || j.Spec != s.Spec {
		w.breaks("UNASKED %v", s.Task)
		return
	}
	used := 0
	if !j.Steps[s.Task.Step].Fills {
		used = j.Steps[s.Task.Step].CPU
	}
	for _, x := range r.runs {
		used += x.cpu
	}
	if used > r.cpu {
		w.breaks("LIMIT %s %v: %d of %d", r.id, s.Task, used, r.cpu)
	}
	for _, other := range w.runners {
		if x := other.runs[s.Task]; x != nil && !other.dead {
			w.breaks("TWICE %v runs on %s (run %d) and starts on %s (run %d)", s.Task, other.id, x.number, r.id, s.Run)
		}
	}
	if j.Transient {
		return
	}
	if s.Saved != "" && !strings.HasPrefix(s.Saved, w.savedBy(s.Task)) {
		w.breaks("UNASKED %v from %q", s.Task, s.Saved)
	}
	if due := j.Due(s.Task.Occurrence); w.now.UnixMilli() < due {
		w.breaks("ORDER %v before its time", s.Task)
	}
	if !j.Steps[s.Task.Step].Lasting {
		r.judgeKept(s, j)
	}
}

// judgeKept records what a start of a task breaks that ends by itself.
func (r *simRunner) judgeKept(s order.Start, j *work.Job) {
	w := r.world
	name := fmt.Sprint(s.Task)
	if w.done[name] {
		w.breaks("TWICE %v was done", s.Task)
	}
	if len(w.failures[w.unit(s.Task)]) >= j.Queue.Attempts {
		w.breaks("BUDGET %v", s.Task)
	}
	for _, a := range j.Steps[s.Task.Step].After {
		for i := range j.Steps[a].Count {
			before := work.Task{Job: j.ID, Occurrence: s.Task.Occurrence, Step: a, Index: i}
			if !w.ended[before] {
				w.breaks("ORDER %v before %v", s.Task, before)
			}
		}
	}
}

func (r *simRunner) end(t work.Task, how order.How) {
	x := r.runs[t]
	if x == nil {
		return
	}
	delete(r.runs, t)
	if how == order.Finished {
		r.world.ended[t] = true
	}
	r.world.hows[how]++
	r.last++
	r.ends = append(r.ends, order.End{N: r.last, Task: t, Run: x.number, How: how, Saved: r.save(t, x)})
	if how != order.Finished {
		r.world.breakGang(t, x.number)
	}
	holds := r.holds
	r.holds = nil
	for _, h := range holds {
		h()
	}
}

// save returns a new checkpoint of a run that keeps some.
func (r *simRunner) save(t work.Task, x *simRun) string {
	if j := r.world.asked[t.Job]; j == nil || !j.Steps[t.Step].Checkpoint {
		return ""
	}
	if r.world.now.Sub(x.began) > 30*time.Millisecond {
		x.saved = r.world.savedBy(t) + fmt.Sprint(x.number)
	}
	return x.saved
}

func (r *simRunner) stop(s order.Stop) order.Reply {
	if s.Token < r.token {
		return order.Reply{Verdict: order.Fenced, Clock: r.clock()}
	}
	r.token = s.Token
	r.highest[s.Task] = max(r.highest[s.Task], s.Run)
	x, life := r.runs[s.Task], r.life
	if x != nil && x.number == s.Run {
		r.world.after(30*time.Millisecond, func() {
			if r.life == life && r.runs[s.Task] == x {
				r.end(s.Task, order.Stopped)
			}
		})
	}
	return order.Reply{Verdict: order.Done, Clock: r.clock()}
}

func (r *simRunner) hold(h order.Hold, answer func(order.Held)) {
	if h.Token < r.token {
		answer(order.Held{Verdict: order.Fenced, Clock: r.clock()})
		return
	}
	r.token = h.Token
	r.extend(h.Deadline)
	r.acknowledge(h.Acked)
	life := r.life
	told := false
	reply := func() {
		if told || r.life != life || r.dead {
			return
		}
		told = true
		if h.Token < r.token {
			answer(order.Held{Verdict: order.Fenced, Clock: r.clock()})
			return
		}
		answer(r.list())
	}
	if h.Wait == 0 || len(r.ends) > 0 {
		reply()
		return
	}
	r.holds = append(r.holds, reply)
	r.world.after(h.Wait, reply)
}

func (r *simRunner) acknowledge(through int64) {
	w := r.world
	for len(r.ends) > 0 && r.ends[0].N <= through {
		e := r.ends[0]
		r.ends = r.ends[1:]
		if r.lapsed[e.N] {
			continue
		}
		name := fmt.Sprint(e.Task)
		switch e.How {
		case order.Finished:
			w.done[name] = true
		case order.Failed:
			unit := w.unit(e.Task)
			if w.failures[unit] == nil {
				w.failures[unit] = map[int]bool{}
			}
			w.failures[unit][e.Run] = true
		default:
		}
	}
}

func (r *simRunner) list() order.Held {
	h := order.Held{Verdict: order.Done, Clock: r.clock(), Born: r.born}
	for _, t := range r.tasks() {
		x := r.runs[t]
		percent := 100 * float64(r.world.now.Sub(x.began)) / float64(x.took)
		switch j := r.world.asked[t.Job]; {
		case x.still:
			percent = 0
		case j != nil && j.Steps[t.Step].Lasting:
			percent = 100 // at work
		}
		h.Active = append(h.Active, order.Active{Task: t, Run: x.number, Percent: percent, Saved: r.save(t, x)})
	}
	h.Ends = append(h.Ends, r.ends...)
	return h
}
