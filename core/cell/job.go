package cell

import (
	"slices"
	"time"

	"gypsumward/core/work"
)

// Verdict is what a caller is told of a job that it handed in.
type Verdict int

// The verdicts.
const (
	Open      Verdict = iota // it may be stored or not
	Accepted                 // it is stored, or has ended if it is transient
	Refused                  // it is not stored and never runs
	Elsewhere                // it was not taken, since the cell is being handed over
)

// Outcome is the answer to a job handed in.
type Outcome struct {
	Verdict Verdict
	State   work.State    // of an accepted job
	Reason  string        // of a refusal
	After   time.Duration // when to come back
}

// The reasons of refusals.
const (
	ReasonLoad  = "load"  // it could not be done in time
	ReasonStore = "store" // the store takes no writes
	ReasonTasks = "tasks" // no runner is large enough
)

// job is a job that has not ended, or whose end is not stored.
type job struct {
	work.Job
	arrived time.Time
	due     time.Time // after which its answer is late
	state   work.State
	tasks   [][]*task // by step of each occurrence in turn
	open    []int     // tasks of each step that are not done
	ready   int       // tasks that may be started now
	failed  int       // ends that failed
	blamed  []*runner
	row     jobRow

	advices   map[int]*advice // by step; nil if the queue needs none
	unsettled []endRef        // ends that the rows do not hold yet
	occurring int             // occurrences whose time has come
	gangs     bool            // a step is one
	blocked   time.Time       // since when a gang does not fit; zero if none waits

	inherited bool
	listed    bool // in Cell.ready
	waiting   []waiter
	cancels   []func(work.State, bool)
	asked     []question // that wait for the end
}

// waiter is a caller that waits for what becomes of a job.
type waiter struct {
	name string
	told func(Outcome)
}

// endRef names an end that a runner has listed.
type endRef struct {
	runner *runner
	life   int64
	n      int64
}

// task is one task of a job.
type task struct {
	job   *job
	step  int // of job.tasks
	index int
	last  int   // highest run known
	floor int   // below the numbers of runs that this holder starts
	fails []int // runs that failed
	done  bool
	ready bool // may be started
	run   *run // that may be alive
	tried []*runner
	saved checkpoint
}

// checkpoint is where a later run of a task may go on.
type checkpoint struct {
	run   int // that wrote it
	value string
}

func newJob(j work.Job, now time.Time) *job {
	n := &job{Job: j, arrived: now, state: work.Queued}
	steps := len(j.Steps) * j.Occurrences()
	n.tasks = make([][]*task, steps)
	n.open = make([]int, steps)
	for s := range steps {
		count := n.spec(s).Count
		n.open[s] = count
		n.tasks[s] = make([]*task, count)
		for i := range n.tasks[s] {
			n.tasks[s][i] = &task{job: n, step: s, index: i}
		}
	}
	if j.Repeat == 0 {
		n.occurring = 1
	}
	n.gangs = slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Gang })
	return n
}

// spec returns what was asked for in a step of job.tasks.
func (j *job) spec(step int) *work.Step {
	return &j.Steps[step%len(j.Steps)]
}

// task returns the task of a name, or nil.
func (j *job) task(name work.Task) *task {
	if name.Occurrence < 0 || name.Step < 0 || name.Step >= len(j.Steps) {
		return nil
	}
	at := name.Occurrence*len(j.Steps) + name.Step
	if at >= len(j.tasks) || name.Index < 0 || name.Index >= len(j.tasks[at]) {
		return nil
	}
	return j.tasks[at][name.Index]
}

func (t *task) name() work.Task {
	steps := len(t.job.Steps)
	return work.Task{Job: t.job.ID, Occurrence: t.step / steps, Step: t.step % steps, Index: t.index}
}

func (t *task) spec() *work.Step {
	return t.job.spec(t.step)
}

// turn reports whether all steps before step are done, and its time has come.
func (j *job) turn(step int) bool {
	steps := len(j.Steps)
	if step/steps >= j.occurring {
		return false
	}
	first := step - step%steps
	for _, a := range j.spec(step).After {
		if j.open[first+a] > 0 {
			return false
		}
	}
	return true
}

// refresh counts the tasks that may be started now.
func (j *job) refresh() {
	j.ready = 0
	for s := range j.tasks {
		turn := j.turn(s) && !j.state.Ended()
		for _, t := range j.tasks[s] {
			t.ready = turn && !t.done && t.run == nil
			if t.ready {
				j.ready++
			}
		}
	}
}

// complete reports whether all tasks are done.
func (j *job) complete() bool {
	for _, n := range j.open {
		if n > 0 {
			return false
		}
	}
	return true
}

// begun reports whether a task has been started.
func (j *job) begun() bool {
	for _, step := range j.tasks {
		for _, t := range step {
			if t.done || t.run != nil || t.last > 0 {
				return true
			}
		}
	}
	return false
}

func (j *job) tell(o Outcome) {
	for _, w := range j.waiting {
		w.told(o)
	}
	j.waiting = nil
}

// tellAsked answers the questions that wait for the end.
func (j *job) tellAsked(state work.State) {
	for _, q := range j.asked {
		q.told(state)
	}
	j.asked = nil
}

// brief reports whether the end of j may be near once all tasks have been started.
func (j *job) brief() bool {
	return j.occurring == j.Occurrences() && !j.Lasting()
}

// question is a question for the state of a job.
type question struct {
	at   time.Time
	told func(work.State)
}

// questionTime is how long a question waits for the end of a job.
const questionTime = 45 * time.Millisecond

// answerLate answers the questions that have waited for long.
func (j *job) answerLate(now time.Time) {
	for len(j.asked) > 0 && now.Sub(j.asked[0].at) >= questionTime && !j.state.Ended() {
		j.asked[0].told(work.Running)
		j.asked = j.asked[1:]
	}
}

func (j *job) tellCancel(state work.State, stored bool) {
	for _, w := range j.cancels {
		w(state, stored)
	}
	j.cancels = nil
}
