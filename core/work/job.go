package work

import "github.com/juju/errors"

// Limits of a job.
const (
	MaxSteps = 64
	MaxTasks = 2000    // of all steps together
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
}

// Step is a number of equal tasks.
type Step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu,omitempty"`      // thousandths of a core, of each task
	Memory   int    `json:"memory,omitempty"`   // megabytes, of each task
	GPU      int    `json:"gpu,omitempty"`      // of each task
	Estimate int    `json:"estimate,omitempty"` // milliseconds; a rough guess
	After    []int  `json:"after,omitempty"`    // earlier steps that must be done
	Label    string `json:"label,omitempty"`    // that the runner must have
	Rack     string `json:"rack,omitempty"`     // that is preferred
	Spread   int    `json:"spread,omitempty"`   // most tasks of the step on one runner; zero means any
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
	if total > MaxTasks {
		return errors.Errorf("%d tasks, at most %d", total, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("step %d: %d tasks", index, s.Count)
	}
	if s.CPU < 0 || s.CPU > MaxCPU || s.Memory < 0 || s.GPU < 0 || s.Estimate < 0 || s.Spread < 0 {
		return errors.Errorf("step %d: a size is out of range", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Errorf("step %d: after step %d, which is no earlier one", index, a)
		}
	}
	return nil
}

// Tasks returns the number of tasks of all steps.
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
