package cell

import (
	"time"

	"gypsumward/core/work"
)

// need returns the room that a task of s takes from others. One that fills takes no
// processors.
func need(s *work.Step) Room {
	if s.Fills {
		return Room{Memory: s.Memory, GPU: s.GPU}
	}
	return Room{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
}

// serves reports whether tasks of s have users of their own, whom tasks that fill would
// disturb.
func serves(s *work.Step) bool {
	return s.Lasting && s.Tail > 0
}

// filling returns the processors that tasks that fill have asked for on r.
func (r *runner) filling() int {
	cpu := 0
	for _, x := range r.runs {
		if x.task != nil && x.task.spec().Fills {
			cpu += x.task.spec().CPU
		}
	}
	return cpu
}

// serving reports whether a task that has users of its own runs on r.
func (r *runner) serving() bool {
	for _, x := range r.runs {
		if x.task != nil && serves(x.task.spec()) {
			return true
		}
	}
	return false
}

// mayFill reports whether a task that fills would have enough to work with on r and
// disturbs nobody there.
func (r *runner) mayFill(s *work.Step) bool {
	return !r.serving() && r.filling()+s.CPU <= r.free().CPU
}

// clearFor stops the tasks that fill on a runner to which a serving task was sent.
func (c *Cell) clearFor(now time.Time, t *task, r *runner) {
	if !serves(t.spec()) {
		return
	}
	for _, x := range r.all() {
		if x.task != nil && x.task.spec().Fills {
			c.stop(now, x, "serving task comes")
		}
	}
}
