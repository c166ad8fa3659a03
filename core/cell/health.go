package cell

import (
	"math"
	"time"

	"gypsumward/core/order"
)

// Times for which a runner gets no work after it failed, doubled with each failure
// in turn.
const (
	firstRest = 300 * time.Millisecond
	lastRest  = 5 * time.Second
)

// health is what is held against a runner.
type health struct {
	streak int // failures since the last success
	until  time.Time
	answer time.Duration // average time of an answer
}

func (h *health) took(d time.Duration) {
	h.answer += (d - h.answer) / 8
}

func (h *health) failed(now time.Time) {
	rest := min(firstRest<<min(h.streak, 10), lastRest)
	h.streak++
	h.until = now.Add(rest)
}

func (h *health) clear() {
	h.streak = 0
	h.until = time.Time{}
}

func (h *health) succeeded() {
	h.streak = 0
}

// resting reports whether the runner gets no work.
func (h *health) resting(now time.Time) bool {
	return now.Before(h.until)
}

// queueTimes is what is learned of the tasks of a queue: how long they take on a
// runner of speed one, in milliseconds.
type queueTimes struct {
	mean float64
	n    float64
}

type times struct {
	queues map[string]*queueTimes
	kinds  map[string]*kindSpeed // by service and kind
}

const timesWindow = 200.0

// expected returns the time of a task on a runner of speed one.
func (c *Cell) expected(j *job, step int) float64 {
	estimate := float64(max(j.spec(step).Estimate, 1))
	q := c.times.queues[j.Queue.Name]
	if q == nil || q.n < 20 {
		return estimate
	}
	return math.Sqrt(estimate * max(q.mean, 1))
}

// learn takes the time of a run that ended.
func (c *Cell) learn(now time.Time, x *run, how order.How) {
	if x.task == nil || how != order.Finished || x.answered.IsZero() {
		return
	}
	x.runner.health.succeeded()
	if x.task.spec().Lasting || x.task.spec().Fills || x.resumed {
		return
	}
	took := max(milliseconds(now.Sub(x.answered)), 1)
	j := x.task.job
	x.runner.speed.learn(c.expected(j, x.task.step) / took)
	q := c.times.queues[j.Queue.Name]
	if q == nil {
		q = &queueTimes{}
		c.times.queues[j.Queue.Name] = q
	}
	q.n = min(q.n+1, timesWindow)
	q.mean += (took*x.runner.speed.rate() - q.mean) / q.n
	c.Counter.Took("run", now.Sub(x.answered))
}

// A run that takes so much longer than expected is stopped and done elsewhere.
const (
	overdue     = 4.0
	overdueLess = 150 * time.Millisecond
)

// watch stops a run that stands still.
func (c *Cell) watch(now time.Time, x *run) {
	if x.task == nil || !x.stopping.IsZero() || x.answered.IsZero() || c.resting {
		return
	}
	if x.task.spec().Lasting || x.task.spec().Fills {
		return
	}
	took := now.Sub(x.answered)
	expected := span(c.expected(x.task.job, x.task.step) / x.runner.speed.rate())
	limit := time.Duration(overdue*float64(expected)) + overdueLess
	if took < limit {
		return
	}
	moving := now.Sub(x.moved) < limit
	if moving && x.percent > 0 && x.seen.After(x.answered) {
		ran := x.seen.Sub(x.answered)
		left := time.Duration(float64(ran) * (100 - x.percent) / x.percent)
		if x.percent >= 50 || left < 2*expected+overdueLess {
			return
		}
	}
	x.task.tried = append(x.task.tried, x.runner)
	x.runner.health.failed(now)
	x.runner.speed.observe(1 / overdue)
	c.stop(now, x, "stands still")
}
