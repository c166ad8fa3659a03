package cell

import (
	"time"

	"gypsumward/core/work"
)

// Estimates of the memory that the parts of a job take, in bytes. Measured after loading are 1,150 for a
// job with one step and one task, 415 for each further step with a task, and 170 for a further task.
// Callers, runs and their keys, failures and checkpoints take the rest.
const (
	bytesPerJob  = 2048
	bytesPerStep = 512
	bytesPerTask = 384
)

// jobShare is the part of the memory of a machine that the jobs of a cell may take, in percent. The
// process may use three quarters of it, and holds two cells while another holder is missing.
const jobShare = 25

// JobMemory returns the value of Settings.MaxJobMemory on a machine with so many megabytes.
func JobMemory(megabytes int) int { return megabytes << 20 * jobShare / 100 }

// memoryRetryAfter is the least time after which a caller that was refused for lack of memory may
// submit again. It is longer than that of other refusals, since the jobs that fill the memory may be
// scheduled ones, which take long to end.
const memoryRetryAfter = 5 * time.Second

// leastMemory returns the estimated memory of w that always counts: that of one occurrence, so that each
// job can open its next one, and of all of them if they have lasting tasks, since they do not end.
func leastMemory(w *work.Job) int {
	tasks := w.TaskCount()
	if w.LongRunning() {
		tasks *= w.Occurrences()
	}
	return bytesPerJob + len(w.Spec) + len(w.Steps)*bytesPerStep + tasks*bytesPerTask
}

// memory returns the estimated memory of j with its open occurrences.
func (j *job) memory() int {
	if len(j.open) <= 1 || j.LongRunning() {
		return j.leastMemory
	}
	return j.leastMemory + (len(j.open)-1)*j.tasksEach*bytesPerTask
}

// hasMemory reports whether the jobs may take so many bytes more.
func (c *Cell) hasMemory(bytes int) bool {
	return c.Settings.MaxJobMemory == 0 || c.jobMemory+bytes <= c.Settings.MaxJobMemory
}

// measureMemory determines the memory that the jobs take. Between two calls, what is added counts and
// what is freed does not.
func (c *Cell) measureMemory() {
	c.jobMemory = 0
	for _, j := range c.jobs {
		c.jobMemory += j.memory()
	}
}

// mayOpen reports whether j may open another occurrence beside those that are open.
func (c *Cell) mayOpen(j *job) bool {
	return len(j.open) == 0 || j.LongRunning() || c.hasMemory(j.tasksEach*bytesPerTask)
}
