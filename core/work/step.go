package work

import "github.com/juju/errors"

// Step is a group of equal tasks.
type Step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`      // thousandths of a core per task
	Memory        int    `json:"memory,omitempty"`   // megabytes per task
	GPU           int    `json:"gpu,omitempty"`      // GPUs per task
	Estimate      int    `json:"estimate,omitempty"` // rough estimate of the run time, in milliseconds
	After         []int  `json:"after,omitempty"`    // indices of earlier steps that must be done first
	RequiredLabel string `json:"label,omitempty"`    // label that the runner must have
	PreferredRack string `json:"rack,omitempty"`     // preferred rack
	MaxPerRunner  int    `json:"spread,omitempty"`   // maximum number of tasks of the step on one runner; zero means no limit

	Checkpointable    bool `json:"checkpoint,omitempty"` // a new run continues from the last checkpoint
	SameRack          bool `json:"colocate,omitempty"`   // tasks are slower when spread over several racks
	Gang              bool `json:"gang,omitempty"`       // tasks make progress only while all run, and end together
	LongRunning       bool `json:"lasting,omitempty"`    // tasks run until the job is cancelled
	TailLatencyTarget int  `json:"tail,omitempty"`       // longest acceptable wait of the tasks' own users, in milliseconds; zero means no such users
	Opportunistic     bool `json:"fills,omitempty"`      // tasks are opportunistic: they use only processors that others leave
}

// check returns an error if s, which is the step with the given index, is invalid, so
// that it can never run.
func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("step %d: %d tasks", index, s.Count)
	}
	if s.CPU < 0 || s.CPU > MaxCPU || s.Memory < 0 || s.Memory > MaxMemory || s.GPU < 0 || s.GPU > MaxGPU ||
		s.Estimate < 0 || s.Estimate > MaxEstimate || s.MaxPerRunner < 0 || s.TailLatencyTarget < 0 {
		return errors.Errorf("step %d: a size is out of range", index)
	}
	if s.Gang && s.LongRunning {
		return errors.Errorf("step %d: a gang that lasts", index)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errors.Errorf("step %d: after step %d, which is no earlier one", index, dependency)
		}
	}
	return nil
}
