package resubmit_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/table/memstore"
	"gypsumward/core/work"
)

const runnersPerCell = 3

// world is a simulated deployment.
type world struct {
	net     *network
	store   *memstore.Store
	zones   []string
	cells   []simCell
	faults  faults
	began   time.Time
	running sync.WaitGroup

	mu           sync.Mutex
	rng          *rand.Rand
	ended        bool        // no instance starts any more
	instances    []*instance // current incarnations
	incarnations int         // number of restarted instances
	runners      map[string]*runner
	durations    map[work.Task]time.Duration
	starts       map[string]int // number of starts, by job
	rejected     map[string]bool
	calls        map[*call]bool
	rows         chan struct{} // closed at the next write to the store
	trace        []line
	violations   []violation
	counts       map[string]int
}

// simCell is a cell and the data centre of its runners.
type simCell struct{ name, zone string }

// line is one line of the log.
type line struct {
	at    time.Time
	from  string
	pairs []any
}

// faults are the probabilities of faults of single messages, and which faults are possible.
type faults struct {
	lostReply, lostOrder, lateOrder, lostStop float64

	acrossRestart bool // late orders are carried out by a later incarnation of the runner too
	sameOrder     bool // all instances submit jobs to the cells in the same order
	uncheckedEdge bool // instances read submissions over connections that are closed
}

// newWorld returns a world with a cell in each of the data centres and three runners in each.
func newWorld(seed uint64, instances int, zones ...string) *world {
	w := &world{
		store: &memstore.Store{}, zones: zones, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)),
		runners: map[string]*runner{}, durations: map[work.Task]time.Duration{}, starts: map[string]int{}, rejected: map[string]bool{},
		calls: map[*call]bool{}, rows: make(chan struct{}), counts: map[string]int{},
	}
	w.net = newNetwork(w.random)
	for n, zone := range zones {
		w.cells = append(w.cells, simCell{fmt.Sprintf("c%d", n), zone})
		for r := range runnersPerCell {
			id := fmt.Sprintf("r%d-%d", n, r)
			w.runners[id] = &runner{world: w, id: id, zone: zone, drift: w.random(20)}
			w.runners[id].boot()
		}
	}
	w.incarnations = 1
	for n := range instances {
		i := w.startInstance(n, 1)
		w.mu.Lock()
		w.instances = append(w.instances, i)
		w.mu.Unlock()
	}
	return w
}

// random returns a random number below n.
func (w *world) random(n int64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Int64N(n)
}

// between returns a random duration.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random(int64(most-least)))
}

// after calls do with the lock held once d has passed. The caller holds the lock.
func (w *world) after(d time.Duration, do func()) {
	w.running.Add(1)
	time.AfterFunc(d, func() {
		defer w.running.Done()
		w.mu.Lock()
		defer w.mu.Unlock()
		do()
	})
}

// log appends a line to the trace. The lock may be held if from is "runner".
func (w *world) log(from string, pairs ...any) {
	if from != "runner" {
		w.mu.Lock()
		defer w.mu.Unlock()
	}
	w.trace = append(w.trace, line{time.Now(), from, pairs})
}

// lines returns the trace of a job and of what concerns all jobs.
func (w *world) lines(job string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, l := range w.trace {
		text := fmt.Sprintln(l.pairs...)
		if strings.Contains(text, job) || (!strings.Contains(text, " job ") && !strings.Contains(text, "event load ")) {
			fmt.Fprintf(&b, "%8.3f %-8s %s", l.at.Sub(w.began).Seconds(), l.from, text)
		}
	}
	return b.String()
}

// messageFaults are the faults of one order.
type messageFaults struct {
	lost, lostReply, lostStop bool
	late                      time.Duration
}

// orderFaults returns the faults of an order to a runner.
func (w *world) orderFaults(string) messageFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	chance := func(p float64) bool { return p > 0 && w.rng.Float64() < p }
	f := messageFaults{lost: chance(w.faults.lostOrder), lostReply: chance(w.faults.lostReply), lostStop: chance(w.faults.lostStop)}
	if chance(w.faults.lateOrder) {
		f.late = 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	return f
}

// directory returns the entries of the runners of a data centre.
func (w *world) directory(zone string) []cell.RunnerInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []cell.RunnerInfo
	for n := range w.cells {
		for k := range runnersPerCell {
			if r := w.runners[fmt.Sprintf("r%d-%d", n, k)]; r.zone == zone {
				entries = append(entries, r.entry())
			}
		}
	}
	return entries
}

// changedRows returns a channel that is closed at the next write to the store.
func (w *world) changedRows() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rows
}

func (w *world) rowsChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.rows)
	w.rows = make(chan struct{})
}

// live returns the instances that have not been killed.
func (w *world) live() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*instance
	for _, i := range w.instances {
		if !i.dead.Load() {
			live = append(live, i)
		}
	}
	return live
}

// choose returns a random instance that takes clients, or nil if there is none.
func (w *world) choose() *instance {
	var open []*instance
	for _, i := range w.live() {
		if !i.draining.Load() {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[w.random(int64(len(open)))]
}

func (w *world) addCall(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = true
}

func (w *world) removeCall(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

// breakCalls breaks the connections of the clients of an instance.
func (w *world) breakCalls(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		if c.to == i {
			c.breakOff()
		}
	}
}

// violation is a guarantee that was violated for a job.
type violation struct {
	at   time.Duration
	job  string
	text string
}

func (v violation) String() string {
	return fmt.Sprintf("%.3f job %s: %s", v.at.Seconds(), v.job, v.text)
}

// violate records a violation. The caller holds the lock.
func (w *world) violate(job, format string, args ...any) {
	v := violation{time.Since(w.began), job, fmt.Sprintf(format, args...)}
	w.trace = append(w.trace, line{time.Now(), "VIOLATED", []any{v}})
	w.violations = append(w.violations, v)
}

// setFaults sets the faults from now on.
func (w *world) setFaults(f faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

func (w *world) currentFaults() faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// checkStart records a start and the guarantees that it violates. The caller holds the lock.
func (w *world) checkStart(r *runner, s order.Start, x *run) {
	id := s.Task.Job
	w.trace = append(w.trace, line{time.Now(), "runner", []any{"event", "start", "runner", r.id, "job", id, "task", s.Task.Index, "run", s.Run, "by", x.by, "length", x.duration}})
	w.starts[id]++
	for _, other := range w.runners {
		if o := other.runs[s.Task]; o != nil && !other.down {
			w.violate(id, "TWICE %s runs task %d run %d by %s for %v, %s starts run %d by %s", other.id, s.Task.Index, o.number, o.by, time.Since(o.startedAt), r.id, s.Run, x.by)
		}
	}
	if w.rejected[id] {
		w.violate(id, "REFUSED %s starts task %d run %d", r.id, s.Task.Index, s.Run)
	}
}

// refused records that all submissions of a job were refused.
func (w *world) refused(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejected[id] = true
	if w.starts[id] > 0 {
		w.violate(id, "REFUSED although %d starts", w.starts[id])
	}
}

// late records a submission that was answered after its deadline.
func (w *world) late(id string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["late"]++
	w.violate(id, "LATE answered after %v", took)
}

// count counts the outcome of a submission.
func (w *world) count(answered bool, o cell.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !answered {
		w.counts["unanswered"]++
		return
	}
	w.counts[o.Verdict.String()]++
}

// submitJob lets a client submit a new job.
func (w *world) submitJob(n int) {
	j := work.Job{
		ID: fmt.Sprintf("%016x", n), Spec: "x", Transient: true,
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatency: 400},
	}
	w.mu.Lock()
	step := work.Step{Count: 1 + w.rng.IntN(4), CPU: 500 + 500*w.rng.IntN(3), Memory: 64}
	step.Estimate = 60 + w.rng.IntN(840)
	deadline, slowdown := clientDeadline, 1.0
	if w.rng.IntN(4) == 0 { // on runners that are slower than they were
		deadline, slowdown = patientDeadline, 2+2*w.rng.Float64()
	}
	for index := range step.Count {
		length := float64(step.Estimate) * slowdown * (0.7 + 0.6*w.rng.Float64())
		w.durations[work.Task{Job: j.ID, Index: index}] = time.Duration(length) * time.Millisecond
	}
	w.mu.Unlock()
	j.Steps = []work.Step{step}
	w.running.Go(func() { w.client(j, deadline) })
}

// end ends all instances and waits until nothing runs any more.
func (w *world) end() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, i := range w.live() {
		i.kill()
	}
	time.Sleep(20 * time.Second) // late orders arrive, and goroutines of the code under test end
	w.running.Wait()
}
