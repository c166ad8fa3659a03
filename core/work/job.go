package work

import (
	"math"

	"github.com/juju/errors"
)

// Limits of a job.
const (
	MaxSteps = 64
	MaxTasks = 4000    // of all steps and occurrences together
	MaxSpec  = 4000    // bytes
	MaxCPU   = 1 << 20 // thousandths of a core, of one task

	MaxMemory   = 1 << 40 // megabytes, of one task; sums over all tasks stay in range
	MaxGPU      = 1 << 20 // of one task
	MaxEstimate = 1 << 40 // milliseconds, of one task
)

// Job is a job as submitted by a caller. The caller chooses the ID; submissions with the
// same ID are the same job.
type Job struct {
	ID    string `json:"id"`
	Spec  string `json:"spec,omitempty"` // passed to each task unchanged
	Steps []Step `json:"steps"`
	Queue Queue  `json:"queue"`

	// Transient means that the job is not stored: its caller waits for its end and
	// resubmits it if no reply arrives.
	Transient bool `json:"transient,omitempty"`

	// RepeatCount is the number of occurrences, each of which runs all steps. Zero means a
	// single one as soon as the job is accepted. Occurrence k, counted from 0, is due at
	// FirstDue + k*Interval.
	RepeatCount int   `json:"repeat,omitempty"`
	FirstDue    int64 `json:"first,omitempty"`    // milliseconds since 1970
	Interval    int64 `json:"interval,omitempty"` // milliseconds
}

// Task identifies one task of a job. Occurrence, Step and Index count from 0.
type Task struct {
	Job        string `json:"job"` // id of the job
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step"`
	Index      int    `json:"index"` // within the step
}

// Validate returns an error if j is invalid, so that it can never run.
func (j *Job) Validate() error {
	if j.ID == "" {
		return errors.New("job without an id")
	}
	if len(j.Spec) > MaxSpec {
		return errors.Errorf("spec of %d bytes, at most %d", len(j.Spec), MaxSpec)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Errorf("%d steps, allowed are 1 to %d", len(j.Steps), MaxSteps)
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Count
	}
	if j.RepeatCount < 0 || j.FirstDue < 0 || j.Interval < 0 {
		return errors.New("a time of an occurrence is out of range")
	}
	if n := j.Occurrences(); n > MaxTasks/total { // the product may exceed the range of int
		return errors.Errorf("%d occurrences of %d tasks, at most %d tasks", n, total, MaxTasks)
	}
	if later := int64(j.Occurrences() - 1); later > 0 && j.Interval > (math.MaxInt64-j.FirstDue)/later {
		return errors.New("the time of the last occurrence is out of range")
	}
	return nil
}

// Occurrences returns the number of occurrences, at least 1.
func (j *Job) Occurrences() int {
	return max(j.RepeatCount, 1)
}

// Due returns when an occurrence is due, in milliseconds since 1970. It is zero for a job
// without a schedule.
func (j *Job) Due(occurrence int) int64 {
	if j.RepeatCount == 0 {
		return 0
	}
	return j.FirstDue + int64(occurrence)*j.Interval
}

// LongRunning reports whether j has a step whose tasks run until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	total := 0
	for i := range j.Steps {
		total += j.Steps[i].Count
	}
	return total
}

// CriticalPath returns the length of the critical path through the steps, in
// milliseconds. The length of a step is given by estimate, which is used in place of
// the Estimate of the step.
func (j *Job) CriticalPath(estimate func(step int) float64) float64 {
	ends := make([]float64, len(j.Steps))
	longest := 0.0
	for i := range j.Steps {
		start := 0.0
		for _, dependency := range j.Steps[i].After {
			start = max(start, ends[dependency])
		}
		ends[i] = start + estimate(i)
		longest = max(longest, ends[i])
	}
	return longest
}
