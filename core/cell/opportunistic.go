package cell

import (
	"time"

	"gypsumward/core/work"
)

// requirements returns the resources that a task of s reserves. An opportunistic task
// reserves no CPU.
func requirements(s *work.Step) Resources {
	if s.Opportunistic {
		return Resources{Memory: s.Memory, GPU: s.GPU}
	}
	return Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
}

// isServing reports whether tasks of s are long-running and serve users of their own, whom
// opportunistic tasks would disturb.
func isServing(s *work.Step) bool {
	return s.LongRunning && s.TailLatencyTarget > 0
}

// opportunisticCPU returns the CPU that the opportunistic tasks on r use, in thousandths
// of a core.
func (r *runner) opportunisticCPU() int {
	cpu := 0
	for _, x := range r.runs {
		if x.task != nil && x.task.spec().Opportunistic {
			cpu += x.task.spec().CPU
		}
	}
	return cpu
}

// hasServingRun reports whether a serving task runs on r.
func (r *runner) hasServingRun() bool {
	for _, x := range r.runs {
		if x.task != nil && isServing(x.task.spec()) {
			return true
		}
	}
	return false
}

// canRunOpportunistic reports whether r has enough free CPU for an opportunistic task of s
// and runs no serving task.
func (r *runner) canRunOpportunistic(s *work.Step) bool {
	return !r.hasServingRun() && r.opportunisticCPU()+s.CPU <= r.free().CPU
}

// stopOpportunistic stops the opportunistic tasks on r if t, which starts there, is a
// serving task.
func (c *Cell) stopOpportunistic(now time.Time, t *task, r *runner) {
	if !isServing(t.spec()) {
		return
	}
	for _, x := range r.sortedRuns() {
		if x.task != nil && x.task.spec().Opportunistic {
			c.stop(now, x, "a serving task starts on the runner")
		}
	}
}
