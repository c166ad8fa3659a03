package cell

import (
	"cmp"
	"iter"
	"slices"

	"gypsumward/core/work"
)

// occurrence holds the tasks of an open occurrence of a job. One is opened when its time has come, or
// when something is known of one of its tasks: progress, a run or an end. It is closed once it has
// ended, none of its runs can be alive and the rows hold its end, so that the memory of a job depends
// on its open occurrences only.
type occurrence struct {
	number    int
	tasks     [][]*task // by step
	remaining []int     // number of tasks of each step that are not done
	left      int       // sum of remaining
	unstored  int       // number of ends of its tasks in job.unstoredEnds
}

// numberSet is a set of the numbers below its size. The zero value is empty with size zero.
type numberSet struct {
	words []uint64
	count int
}

const wordBits = 64

func newNumberSet(size int) numberSet {
	return numberSet{words: make([]uint64, (size+wordBits-1)/wordBits)}
}

func (s *numberSet) contains(n int) bool { return s.words[n/wordBits]&(1<<(n%wordBits)) != 0 }

func (s *numberSet) add(n int) {
	if !s.contains(n) {
		s.words[n/wordBits] |= 1 << (n % wordBits)
		s.count++
	}
}

// find returns the place of an occurrence in job.open, and whether it is open.
func (j *job) find(number int) (at int, open bool) {
	return slices.BinarySearchFunc(j.open, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// openOccurrence returns an occurrence, which it opens if it has not ended; nil if it was closed. The
// number must be one of an occurrence of j.
func (j *job) openOccurrence(number int) *occurrence {
	at, open := j.find(number)
	if open {
		return j.open[at]
	}
	if j.ended.contains(number) {
		return nil
	}
	o := &occurrence{number: number, tasks: make([][]*task, len(j.Steps)), remaining: make([]int, len(j.Steps)), left: j.tasksEach}
	for s := range j.Steps {
		n := j.Steps[s].Count
		o.remaining[s], o.tasks[s] = n, make([]*task, n)
		for i := range n {
			o.tasks[s][i] = &task{job: j, occurrence: o, step: number*len(j.Steps) + s, index: i}
		}
	}
	j.open = slices.Insert(j.open, at, o)
	return o
}

// openedAll reports whether all occurrences have been opened or have ended.
func (j *job) openedAll() bool { return j.ended.count+len(j.open)-j.endedOpen == j.Occurrences() }

// closeEnded closes the occurrences that need not be open any more. A job that has ended keeps its
// tasks, since ends of their runs are not acknowledged before its own end is stored.
func (j *job) closeEnded() {
	if j.endedOpen == 0 || j.state.Ended() {
		return
	}
	j.open = slices.DeleteFunc(j.open, func(o *occurrence) bool {
		if o.left > 0 || o.unstored > 0 || o.hasRuns() {
			return false
		}
		j.endedOpen--
		j.closedLastRun = max(j.closedLastRun, o.lastRun())
		for s := range j.Steps {
			delete(j.adviceByStep, o.number*len(j.Steps)+s)
		}
		return true
	})
}

// hasRuns reports whether any run of o may be alive.
func (o *occurrence) hasRuns() bool {
	for _, step := range o.tasks {
		if slices.ContainsFunc(step, func(t *task) bool { return t.run != nil }) {
			return true
		}
	}
	return false
}

// lastRun returns the highest number of a run of o, zero if there is none.
func (o *occurrence) lastRun() int {
	last := 0
	for _, step := range o.tasks {
		for _, t := range step {
			last = max(last, t.lastRun)
		}
	}
	return last
}

// setDone marks a task that is not done as done. Its occurrence may have ended with it.
func (t *task) setDone() {
	o := t.occurrence
	t.done = true
	o.remaining[t.step%len(o.tasks)]--
	o.left--
	if o.left == 0 {
		t.job.ended.add(o.number)
		t.job.endedOpen++
	}
}

// steps returns the steps of the open occurrences, numbered through all occurrences, with their tasks.
func (j *job) steps() iter.Seq2[int, []*task] {
	return func(yield func(int, []*task) bool) {
		for _, o := range j.open {
			for s, tasks := range o.tasks {
				if !yield(o.number*len(o.tasks)+s, tasks) {
					return
				}
			}
		}
	}
}

// openTasks returns the tasks of the open occurrences.
func (j *job) openTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, tasks := range j.steps() {
			for _, t := range tasks {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// tasksOf returns the tasks of a step, numbered through all occurrences; none if its occurrence is not
// open.
func (j *job) tasksOf(step int) []*task {
	at, open := j.find(step / len(j.Steps))
	if !open {
		return nil
	}
	return j.open[at].tasks[step%len(j.Steps)]
}

// hasTask reports whether j has a task at an index of a step, numbered through all occurrences.
func (j *job) hasTask(step, index int) bool {
	return step >= 0 && step < j.Occurrences()*len(j.Steps) && index >= 0 && index < j.spec(step).Count
}

// taskAt returns the task at an index of a step, numbered through all occurrences, and opens its
// occurrence if that has not ended: a previous holder, whose clock may be ahead, may have started its
// runs before this one does. The result is nil if j has no such task or the occurrence is closed.
func (j *job) taskAt(step, index int) *task {
	if !j.hasTask(step, index) {
		return nil
	}
	if o := j.openOccurrence(step / len(j.Steps)); o != nil {
		return o.tasks[step%len(j.Steps)][index]
	}
	return nil
}

// stepOf returns the step of a task, numbered through all occurrences, or -1 if j has no such task.
func (j *job) stepOf(id work.Task) int {
	if id.Occurrence < 0 || id.Occurrence >= j.Occurrences() || id.Step < 0 || id.Step >= len(j.Steps) {
		return -1
	}
	step := id.Occurrence*len(j.Steps) + id.Step
	if !j.hasTask(step, id.Index) {
		return -1
	}
	return step
}

// task is like taskAt for an identifier.
func (j *job) task(id work.Task) *task { return j.taskAt(j.stepOf(id), id.Index) }
