package work

import "github.com/juju/errors"

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

	Checkpoint bool `json:"checkpoint,omitempty"` // a later run goes on where an earlier one was saved
	Colocate   bool `json:"colocate,omitempty"`   // its tasks are slower on several racks
	Gang       bool `json:"gang,omitempty"`       // its tasks work only while all run, and end together
	Lasting    bool `json:"lasting,omitempty"`    // its tasks run until the job is cancelled
	Tail       int  `json:"tail,omitempty"`       // milliseconds that its tasks' own users wait at most; zero means it has none
	Fills      bool `json:"fills,omitempty"`      // its tasks get the processors that others leave
}

// check returns why the step of an index can never be run, or nil.
func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("step %d: %d tasks", index, s.Count)
	}
	if s.CPU < 0 || s.CPU > MaxCPU || s.Memory < 0 || s.GPU < 0 || s.Estimate < 0 || s.Spread < 0 {
		return errors.Errorf("step %d: a size is out of range", index)
	}
	if s.Gang && s.Lasting {
		return errors.Errorf("step %d: a gang that lasts", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Errorf("step %d: after step %d, which is no earlier one", index, a)
		}
	}
	return nil
}
