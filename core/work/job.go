package work

import "github.com/juju/errors"

// Limits of a job.
const (
	MaxSteps = 64
	MaxTasks = 4000    // of all steps and occurrences together
	MaxSpec  = 4000    // bytes
	MaxCPU   = 1 << 20 // thousandths of a core, of one task
)

// Job is what a caller hands in. ID is chosen by the caller; the same ID names the
// same job however often it is handed in.
type Job struct {
	ID    string `json:"id"`
	Spec  string `json:"spec,omitempty"` // handed to each task as it is
	Steps []Step `json:"steps"`
	Queue Queue  `json:"queue"`

	// Transient means that the job is not stored: its caller waits for its end and
	// hands it in again if no answer comes.
	Transient bool `json:"transient,omitempty"`

	// Repeat is how many times the steps run; zero means once, as soon as the job is
	// taken. Occurrence K, from 0, is due at First + K x Interval.
	Repeat   int   `json:"repeat,omitempty"`
	First    int64 `json:"first,omitempty"`    // milliseconds since 1970
	Interval int64 `json:"interval,omitempty"` // milliseconds
}

// Task names one task of a job.
type Task struct {
	Job        string `json:"job"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step"`
	Index      int    `json:"index"`
}

// Check returns an error that says why j can never be run, or nil.
func (j *Job) Check() error {
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
	if j.Repeat < 0 || j.First < 0 || j.Interval < 0 {
		return errors.New("a time of an occurrence is out of range")
	}
	if n := total * j.Occurrences(); n > MaxTasks {
		return errors.Errorf("%d tasks, at most %d", n, MaxTasks)
	}
	return nil
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repeat, 1)
}

// Due returns when an occurrence is due, in milliseconds since 1970; zero for a job
// that is not scheduled.
func (j *Job) Due(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.First + int64(occurrence)*j.Interval
}

// Lasting reports whether a step of j runs until the job is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Tasks returns the number of tasks of all steps, of one occurrence.
func (j *Job) Tasks() int {
	total := 0
	for i := range j.Steps {
		total += j.Steps[i].Count
	}
	return total
}

// Chain returns the longest chain of estimated work through the steps, in
// milliseconds, with the estimates replaced by what estimate returns.
func (j *Job) Chain(estimate func(step int) float64) float64 {
	ends := make([]float64, len(j.Steps))
	longest := 0.0
	for i := range j.Steps {
		begin := 0.0
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + estimate(i)
		longest = max(longest, ends[i])
	}
	return longest
}
