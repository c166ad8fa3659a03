package cell

import (
	"iter"
	"slices"
	"time"

	"gypsumward/core/work"
)

// Verdict is the decision on a submitted job.
type Verdict int

// The verdicts on a submitted job.
const (
	OutcomeUnknown Verdict = iota // the job may be stored or not
	Accepted                      // the job is stored; a transient one has ended
	Refused                       // the job is not stored and never runs
	HandingOver                   // not accepted, since the cell is being handed over
)

// String returns the name of the verdict as logged.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case HandingOver:
		return "handingover"
	default:
		return "unknown"
	}
}

// Outcome is the response to a submitted job.
type Outcome struct {
	Verdict    Verdict
	State      work.State    // state of an accepted job
	Reason     string        // reason of a refusal, one of the Reason constants
	RetryAfter time.Duration // time after which a refused caller may submit again
}

// Reasons of a refusal.
const (
	ReasonLoad         = "load"      // the job could not be done in time
	ReasonStore        = "store"     // the store accepts no writes
	ReasonLease        = "lease"     // the holder may start nothing, since another may have become it
	ReasonNoRunnerFits = "tasks"     // no runner is large enough
	ReasonEvacuated    = "evacuated" // all runners that are large enough are in evacuated data centres
	ReasonTooLarge     = "size"      // the job does not fit into a row of the store
	ReasonFault        = "fault"     // the job has made the holder end its term
	ReasonMemory       = "memory"    // the jobs of the cell take as much memory as they may
	ReasonNoRoom       = "room"      // not all tasks can start at once, and the job was submitted for that only
)

// job is a job that has not ended, whose end is not stored, or that has a run that may
// still be alive.
type job struct {
	work.Job
	arrived      time.Time
	received     time.Time // when this holder got it
	due          time.Time // when its result becomes late
	state        work.State
	open         []*occurrence // by number
	ended        numberSet     // numbers of the occurrences that have ended, also of those that are still open
	endedOpen    int           // number of open occurrences that have ended
	readyTasks   int           // number of tasks that may be started now
	failureCount int           // number of failed runs
	failedOn     []*runner     // runners on which runs have failed
	row          jobRow
	place        Place
	placing      bool                // other cells are asked whether they can run it
	handed       bool                // the cell that has it has stored it
	passing      bool                // it is being passed to that cell
	passedAt     time.Time           // when it last was
	taken        []func(stored bool) // callbacks of cells that have passed it on, until it is stored
	waitsSince   time.Time           // since when it has waiting tasks and no run; zero if it has not been seen so
	searchAt     time.Time           // earliest time of the next search for another cell

	adviceByStep map[int]*advice // by step; nil if the queue needs no advice
	unstoredEnds []unstoredEnd
	endNumber    int   // number of the last of them so far
	firstTask    []int // number of the first task of each step within an occurrence
	tasksEach    int   // number of tasks of each occurrence
	leastMemory  int   // estimated memory that always counts, in bytes
	released     int   // number of occurrences whose time has come
	runFloor     int   // this holder starts runs of all tasks with numbers above this one

	closedLastRun int // highest number of a run of the closed occurrences
	// leastRequired holds the least amount of each resource that a task of any step requires.
	leastRequired Resources
	hasGang       bool      // at least one step is a gang
	blockedSince  time.Time // since when a gang waits for capacity; zero if none does

	inherited    bool      // a previous holder may have started runs of it
	inReady      bool      // present in Cell.ready
	runsEndBy    time.Time // when all its runs must have ended; zero if it has not been cancelled for its callers
	waiting      []waiter
	cancels      []func(work.State, bool) // callbacks of cancellations that wait for the end
	stateQueries []stateQuery             // queries that wait for the end
}

// waiter is a caller that waits for the outcome of a job.
type waiter struct {
	caller string
	reply  func(Outcome)
}

// endRef identifies an end that a runner has reported.
type endRef struct {
	runner      *runner
	incarnation int64
	number      int64
}

// task is one task of a job.
type task struct {
	job          *job
	occurrence   *occurrence
	step         int // numbered through all occurrences
	index        int
	lastRun      int       // highest known run number
	failedRuns   []int     // numbers of the failed runs
	failedAt     time.Time // when this holder saw the last of them
	done         bool
	ready        bool     // may be started
	run          *run     // run that may be alive, or nil
	triedRunners []string // ids of runners avoided by later runs if possible
	avoided      string   // id of the runner on which it is not started until avoidUntil, see mustAvoid
	avoidUntil   time.Time
	checkpoint   checkpoint
}

// checkpoint is a state from which a later run of a task may resume.
type checkpoint struct {
	run   int // number of the run that saved it
	value string
}

// newJob returns a queued job. Its only occurrence is released at once unless the job repeats.
func newJob(w work.Job, now time.Time) *job {
	j := &job{Job: w, arrived: now, state: work.Queued}
	j.firstTask = make([]int, len(w.Steps))
	for s := range w.Steps {
		j.firstTask[s] = j.tasksEach
		j.tasksEach += w.Steps[s].Count
	}
	j.leastMemory = leastMemory(&w)
	j.row.parts = make([]progressPart, (w.Occurrences()*j.tasksEach+tasksPerPart-1)/tasksPerPart)
	j.ended = newNumberSet(w.Occurrences())
	if w.RepeatCount == 0 {
		j.released = 1
		j.openOccurrence(0)
	}
	j.leastRequired = requirements(&w.Steps[0])
	for s := range w.Steps {
		j.leastRequired = j.leastRequired.least(requirements(&w.Steps[s]))
	}
	j.hasGang = slices.ContainsFunc(w.Steps, func(s work.Step) bool { return s.Gang })
	return j
}

// spec returns the specification of a step, numbered through all occurrences.
func (j *job) spec(step int) *work.Step {
	return &j.Steps[step%len(j.Steps)]
}

// id returns the identifier of t.
func (t *task) id() work.Task {
	steps := len(t.job.Steps)
	return work.Task{Job: t.job.ID, Occurrence: t.step / steps, Step: t.step % steps, Index: t.index}
}

func (t *task) spec() *work.Step {
	return t.job.spec(t.step)
}

// stepUnblocked reports whether an occurrence has been released and all steps are done that a
// step of it depends on.
func (j *job) stepUnblocked(o *occurrence, step int) bool {
	return o.number < j.released && !slices.ContainsFunc(j.Steps[step].After, func(a int) bool { return o.remaining[a] > 0 })
}

// updateReady determines which tasks may be started now, and counts them.
func (j *job) updateReady() {
	j.readyTasks = 0
	for _, o := range j.open {
		for s, tasks := range o.tasks {
			unblocked := j.stepUnblocked(o, s) && !j.state.Ended() && j.isHere()
			for _, t := range tasks {
				t.ready = unblocked && !t.done && t.run == nil
				if t.ready {
					j.readyTasks++
				}
			}
		}
	}
}

// complete reports whether all occurrences have ended.
func (j *job) complete() bool { return j.ended.count == j.Occurrences() }

// hasStarted reports whether any task has been started.
func (j *job) hasStarted() bool {
	if j.ended.count > 0 {
		return true
	}
	for t := range j.openTasks() {
		if t.done || t.run != nil || t.lastRun > 0 {
			return true
		}
	}
	return false
}

// lastRun returns the highest number of a run of j, zero if there is none.
func (j *job) lastRun() int {
	last := j.closedLastRun
	for _, o := range j.open {
		last = max(last, o.lastRun())
	}
	return last
}

// firstCaller returns the caller that has waited longest for the outcome, or nothing if none waits.
func (j *job) firstCaller() string {
	if len(j.waiting) == 0 {
		return ""
	}
	return j.waiting[0].caller
}

// runs returns the runs of the tasks of j that may be alive.
func (j *job) runs() iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for t := range j.openTasks() {
			if t.run != nil && !yield(t.run) {
				return
			}
		}
	}
}

// runCount returns the number of runs of j that may be alive.
func (j *job) runCount() int {
	n := 0
	for range j.runs() {
		n++
	}
	return n
}

// longestLease returns the longest time for which a run of j may still be alive if its runner
// receives no further order.
func (j *job) longestLease(now time.Time) time.Duration {
	longest := time.Duration(0)
	for x := range j.runs() {
		longest = max(longest, x.runner.leaseLeft(now, x.runner.maxDeadline))
	}
	return longest
}

// notifyWaiters sends o to all waiting callers.
func (j *job) notifyWaiters(o Outcome) {
	for _, w := range j.waiting {
		w.reply(o)
	}
	j.waiting = nil
}

// answerQueries replies to all pending state queries.
func (j *job) answerQueries(state work.State) {
	for _, q := range j.stateQueries {
		q.reply(state)
	}
	j.stateQueries = nil
}

// mayEndSoon reports whether j may end soon once all its tasks have been started: no
// further occurrence is to come and no step is long-running.
func (j *job) mayEndSoon() bool {
	return j.released == j.Occurrences() && !j.LongRunning()
}

// stateQuery is a pending query for the state of a job.
type stateQuery struct {
	received time.Time
	reply    func(work.State)
}

// stateQueryTimeout is how long a state query waits for the end of a job.
const stateQueryTimeout = 45 * time.Millisecond

// answerOverdueQueries replies to the state queries that have waited for
// stateQueryTimeout.
func (j *job) answerOverdueQueries(now time.Time) {
	for len(j.stateQueries) > 0 && now.Sub(j.stateQueries[0].received) >= stateQueryTimeout && !j.state.Ended() {
		j.stateQueries[0].reply(work.Running)
		j.stateQueries = j.stateQueries[1:]
	}
}

// answerCancels replies to all pending cancellations.
func (j *job) answerCancels(state work.State, stored bool) {
	for _, reply := range j.cancels {
		reply(state, stored)
	}
	j.cancels = nil
}
