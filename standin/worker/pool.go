package worker

import (
	"encoding/json"
	"slices"
	"time"

	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/standin/kind"
)

const (
	keepSeen       = time.Minute      // time for which an outcome is kept after it was seen
	keepUnseen     = 10 * time.Minute // time for which an outcome is kept that its holder has not seen
	sweepInterval  = time.Second      // least time between two sweeps of old outcomes
	throttledSpeed = 0.5              // speed of a throttled task, as a fraction of full speed
)

// Settings holds the settings of a worker.
type Settings struct {
	Addr   string        // IP address and port to listen on
	Cores  float64       // number of cores; zero means no limit
	Memory int64         // memory in bytes; zero means no limit
	Lag    time.Duration // least age of the reported usage
	Times  *kind.Times   // run times of tasks
}

// Default holds the default settings, except that Times is nil.
var Default = Settings{Addr: "127.0.0.1:0", Cores: 32, Memory: 128 << 30, Lag: 2 * time.Second}

// Pool holds the tasks of a worker. Its methods take the current time, which must
// not decrease from call to call. The zero value, with Settings set, is an empty
// pool. A Pool is not safe for concurrent use.
type Pool struct {
	Settings Settings

	running      []*task              // in the order of their starts
	ended        []*task              // in the order of their outcomes
	byID         map[string]*task     // latest run by id
	lastWatch    map[string]time.Time // time at which each holder last watched
	lastOutcome  int64                // number of the last outcome
	advancedTo   time.Time            // time up to which the tasks have advanced
	lastSweep    time.Time            // time of the last sweep of old outcomes
	usageSamples [2]target.Usage      // samples of the usage; the older one is reported
	sampledAt    [2]time.Time         // times of the samples
}

// task is one run of a task.
type task struct {
	target.TaskState
	holder        string          // holder that the task reports to
	lease         time.Duration   // time without a watch after which it is stopped; zero means no limit
	heldSince     time.Time       // time of the start or of the last change of holder
	cores         float64         // cores in use
	memory        int64           // bytes in use
	remaining     time.Duration   // run time left at full speed
	speed         float64         // 1, or less when throttled
	output        json.RawMessage // output if it succeeds
	failure       string          // why it will fail; empty if it succeeds
	outcomeNumber int64           // number of the outcome
	endedAt       time.Time       // time of the outcome
	seenAt        time.Time       // time at which the holder had seen the outcome; zero if it has not
}

// Start starts the tasks, even if they exceed the capacity, and returns their
// state. Tasks of a kind for which fails returns true fail at once.
func (p *Pool) Start(now time.Time, s target.Start, fails func(kind string) bool) target.Started {
	p.Advance(now)
	if p.byID == nil {
		p.byID = make(map[string]*task)
		p.lastWatch = make(map[string]time.Time)
	}
	started := target.Started{Tasks: []target.TaskState{}}
	for _, w := range s.Tasks {
		t := p.newTask(now, s, w)
		if fails(w.Kind) {
			t.remaining, t.failure = 0, "the worker fails"
		}
		p.running = append(p.running, t)
		p.byID[w.ID] = t
		started.Tasks = append(started.Tasks, t.TaskState)
	}
	p.Advance(now)
	return started
}

// newTask returns a running task for the work w of s.
func (p *Pool) newTask(now time.Time, s target.Start, w target.Task) *task {
	in := kind.ParseInput(w.Input)
	t := &task{
		TaskState: target.TaskState{ID: w.ID, Phase: target.Running},
		holder:    s.Holder,
		lease:     s.Lease.Duration(),
		heldSince: now,
		cores:     w.Cores,
		memory:    w.Memory,
		remaining: p.Settings.Times.RunTime(w.Kind, w.ID, in),
		speed:     1,
		output:    kind.NewOutput(w.Kind, w.Input),
	}
	if in.Cores > 0 {
		t.cores = in.Cores
	}
	if in.Memory > 0 {
		t.memory = in.Memory
	}
	if in.Fail {
		t.failure = "the input asks to fail"
	}
	return t
}

// Advance advances all tasks to the time now. It returns the time at which the
// next task ends or its lease expires, or the zero time if none is running.
func (p *Pool) Advance(now time.Time) time.Time {
	for {
		factor := p.speedFactor()
		t, at := p.nextEnd(factor)
		if t == nil || at.After(now) {
			p.advanceRunning(now, factor)
			p.dropOutcomes(now)
			return at
		}
		p.advanceRunning(at, factor)
		p.finish(t, at)
	}
}

// speedFactor returns the speed of unthrottled tasks as a fraction of full speed.
func (p *Pool) speedFactor() float64 {
	cores, memory, _ := p.demand()
	factor := 1.0
	if p.Settings.Cores > 0 && cores > p.Settings.Cores {
		factor = p.Settings.Cores / cores
	}
	if p.Settings.Memory > 0 && memory > p.Settings.Memory {
		factor = min(factor, float64(p.Settings.Memory)/float64(memory))
	}
	return factor
}

// demand returns the cores and memory that the running tasks use and their
// number.
func (p *Pool) demand() (cores float64, memory int64, running int) {
	for _, t := range p.running {
		cores += t.cores
		memory += t.memory
	}
	return cores, memory, len(p.running)
}

// nextEnd returns the task that ends first, by completion or by the expiry of its
// lease, and the time of its end. The task is nil if none is running.
func (p *Pool) nextEnd(factor float64) (*task, time.Time) {
	var first *task
	var at time.Time
	for _, t := range p.running {
		ends := p.advancedTo.Add(time.Duration(float64(t.remaining) / (factor * t.speed)))
		if leaseEnd := p.leaseEnd(t); t.lease > 0 && leaseEnd.Before(ends) {
			ends = leaseEnd
		}
		if first == nil || ends.Before(at) {
			first, at = t, ends
		}
	}
	return first, at
}

// leaseEnd returns the time at which the lease of a task expires.
func (p *Pool) leaseEnd(t *task) time.Time {
	from := t.heldSince
	if w := p.lastWatch[t.holder]; w.After(from) {
		from = w
	}
	return from.Add(t.lease)
}

// advanceRunning reduces the remaining run times of running tasks up to the time
// to. It does nothing if to is not after p.advancedTo.
func (p *Pool) advanceRunning(to time.Time, factor float64) {
	if !to.After(p.advancedTo) {
		return
	}
	if !p.advancedTo.IsZero() {
		for _, t := range p.running {
			t.remaining -= time.Duration(float64(to.Sub(p.advancedTo)) * factor * t.speed)
		}
	}
	p.advancedTo = to
}

// finish records the outcome of a task that completed or whose lease expired.
func (p *Pool) finish(t *task, now time.Time) {
	switch {
	case t.lease > 0 && !p.leaseEnd(t).After(now):
		p.recordOutcome(t, now, target.Stopped, "the lease lapsed")
	case t.failure != "":
		p.recordOutcome(t, now, target.Failed, t.failure)
	default:
		t.Output = t.output
		p.recordOutcome(t, now, target.Done, "")
	}
}

// recordOutcome moves a running task to the ended ones and numbers its outcome.
func (p *Pool) recordOutcome(t *task, now time.Time, phase target.Phase, reason string) {
	p.lastOutcome++
	p.running = slices.DeleteFunc(p.running, func(r *task) bool { return r == t })
	p.ended = append(p.ended, t)
	t.Phase, t.Reason = phase, reason
	t.outcomeNumber, t.endedAt = p.lastOutcome, now
	t.RunTime = span.Of(now.Sub(t.heldSince).Round(time.Microsecond))
}

// dropOutcomes drops expired outcomes, at most once per sweep interval.
func (p *Pool) dropOutcomes(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	p.ended = slices.DeleteFunc(p.ended, func(t *task) bool {
		if !t.isExpired(now) {
			return false
		}
		if p.byID[t.ID] == t {
			delete(p.byID, t.ID)
		}
		return true
	})
}

// isExpired reports whether the outcome of t need not be kept any longer.
func (t *task) isExpired(now time.Time) bool {
	if !t.seenAt.IsZero() {
		return now.Sub(t.seenAt) > keepSeen
	}
	return now.Sub(t.endedAt) > keepUnseen
}
