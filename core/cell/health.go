package cell

import (
	"math"
	"time"

	"gypsumward/core/order"
)

// Limits of the back-off of a runner after a failure. It doubles with each consecutive
// failure.
const (
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// health records the failures and the latency of a runner.
type health struct {
	consecutiveFailures int       // failures since the last success
	failedAt            time.Time // when the last failure was recorded
	backoffUntil        time.Time
	successAt           time.Time     // when a run last succeeded
	failedJob           string        // job of the first failure since the last success
	severalJobs         bool          // runs of other jobs have failed since the last success, too
	meanLatency         time.Duration // moving average of the reply latency
}

// observeLatency adds the latency of a reply to the moving average.
func (h *health) observeLatency(d time.Duration) {
	h.meanLatency += (d - h.meanLatency) / 8
}

// recordFailure counts a failure and starts a back-off.
func (h *health) recordFailure(now time.Time) {
	backoff := min(minBackoff<<min(h.consecutiveFailures, 10), maxBackoff)
	h.consecutiveFailures++
	h.failedAt = now
	h.backoffUntil = now.Add(backoff)
}

// reset removes all failures and ends the back-off.
func (h *health) reset() {
	h.consecutiveFailures = 0
	h.backoffUntil = time.Time{}
}

// recordFailedJob records that a run of a job has failed. It reports whether runs of several jobs have
// since the last success.
func (h *health) recordFailedJob(id string) (several bool) {
	if h.failedJob == "" {
		h.failedJob = id
	}
	h.severalJobs = h.severalJobs || h.failedJob != id
	return h.severalJobs
}

// recordSuccess resets the failure count. A back-off goes on.
func (h *health) recordSuccess(now time.Time) {
	h.consecutiveFailures = 0
	h.failedJob, h.severalJobs = "", false
	h.successAt = now
}

// trialTime is how long a run that was started after a failure of its runner keeps others from being
// started there. A run that lasts proves nothing by its end.
const trialTime = 2 * time.Second

// trials returns the number of runs on r that were started after its last failure and may still show
// whether it is sound. Those that were there before the failure do not count.
func (r *runner) trials(now time.Time) int {
	n := 0
	for _, x := range r.runs {
		if x.startSent.After(r.health.failedAt) && now.Sub(x.startSent) < trialTime {
			n++
		}
	}
	return n
}

// isBackingOff reports whether the runner gets no work at now because of a failure.
func (h *health) isBackingOff(now time.Time) bool {
	return now.Before(h.backoffUntil)
}

// queueRunTime is the moving average of the run times of a queue's tasks, in milliseconds
// on a runner of speed one.
type queueRunTime struct {
	mean    float64
	samples float64
}

// estimates holds the statistics of run times by queue and of speeds by machine kind.
type estimates struct {
	queues map[string]*queueRunTime
	kinds  map[string]*kindSpeed // by service and kind
}

// runTimeWindow is the number of samples in the moving average of run times.
const runTimeWindow = 200.0

// expectedRunTime returns the expected run time in milliseconds of a task of a step on a
// runner of speed one: the caller's estimate, or after 20 runs of the queue its geometric
// mean with the queue's average.
func (c *Cell) expectedRunTime(j *job, step int) float64 {
	estimate := float64(max(j.spec(step).Estimate, 1))
	q := c.estimates.queues[j.Queue.Name]
	if q == nil || q.samples < 20 {
		return estimate
	}
	return math.Sqrt(estimate * max(q.mean, 1))
}

// recordRunTime records the success of a run that ended as finished, and updates the
// estimates of its queue and runner. Long-running, opportunistic and resumed runs don't
// change the estimates, and those on cold runners only that of cold runners.
func (c *Cell) recordRunTime(now time.Time, x *run, reason order.EndReason) {
	c.setWatchTime(now)
	if x.task == nil || reason != order.Finished || x.startAnswered.IsZero() {
		return
	}
	x.runner.health.recordSuccess(now)
	if x.task.spec().LongRunning || x.task.spec().Opportunistic || x.resumed {
		return
	}
	elapsed := max(milliseconds(now.Sub(x.startAnswered)), 1)
	j := x.task.job
	c.Metrics.Observe("run", now.Sub(x.startAnswered))
	ratio := c.expectedRunTime(j, x.task.step) / elapsed
	if x.wasCold() {
		c.recordColdRun(now, x, ratio)
		return
	}
	c.observeInterference(now, x, elapsed)
	x.runner.speed.update(ratio)
	q := c.estimates.queues[j.Queue.Name]
	if q == nil {
		q = &queueRunTime{}
		c.estimates.queues[j.Queue.Name] = q
	}
	q.samples = min(q.samples+1, runTimeWindow)
	q.mean += (elapsed*x.runner.speed.rate() - q.mean) / q.samples
}

// A run that takes longer than stragglerFactor times the expected run time plus
// stragglerMargin is a straggler: it is stopped and its task started again, preferably on
// another runner.
const (
	stragglerFactor = 4.0
	stragglerMargin = 150 * time.Millisecond
)

// stopIfStalled stops a run that is a straggler, unless its reported progress shows that
// it will end soon. Long-running and opportunistic runs are exempt.
func (c *Cell) stopIfStalled(now time.Time, x *run) {
	if x.task == nil || !x.stopSent.IsZero() || x.startAnswered.IsZero() || c.draining {
		return
	}
	if x.task.spec().LongRunning || x.task.spec().Opportunistic {
		return
	}
	elapsed := now.Sub(x.startAnswered)
	rate := max(x.rate(), 1/stragglerFactor) // of a stalled runner it tends to zero
	expected := fromMilliseconds(c.expectedRunTime(x.task.job, x.task.step) / rate)
	limit := time.Duration(stragglerFactor*float64(expected)) + stragglerMargin
	if elapsed < limit {
		return
	}
	progressing := now.Sub(x.percentChanged) < limit
	if progressing && x.percent > 0 && x.percentAt.After(x.startAnswered) {
		reportedAfter := x.percentAt.Sub(x.startAnswered)
		left := time.Duration(float64(reportedAfter) * (100 - x.percent) / x.percent)
		if x.percent >= 50 || left < 2*expected+stragglerMargin {
			return
		}
	}
	x.task.triedRunners = append(x.task.triedRunners, x.runner.ID)
	x.task.avoid(now, x.runner)
	x.runner.health.recordFailure(now)
	if x.wasCold() {
		c.recordColdRun(now, x, 1/stragglerFactor)
	} else {
		x.runner.speed.updateOwn(1 / stragglerFactor)
	}
	c.stop(now, x, "stalled or too slow")
}
