package cell

import "time"

// Estimates of the memory that the parts of a job take, in bytes, on the high side. Measured are 170 for
// a task that has not been started; a run, its keys and its failures take the rest.
const (
	bytesPerJob  = 4096
	bytesPerStep = 512
	bytesPerTask = 384
)

// memoryRetryAfter is the least time after which a caller that was refused for lack of memory may
// submit again. It is longer than that of other refusals, since the jobs that fill the memory may be
// scheduled ones, which take long to end.
const memoryRetryAfter = 5 * time.Second

// memory returns the estimated memory of j with its open occurrences. One occurrence always counts, so
// that each job can open its next one; those with lasting tasks do not end, so all of them count.
func (j *job) memory() int {
	occurrences := max(len(j.open), 1)
	if j.LongRunning() {
		occurrences = j.Occurrences()
	}
	return bytesPerJob + len(j.Spec) + len(j.Steps)*bytesPerStep + occurrences*j.tasksEach*bytesPerTask
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
