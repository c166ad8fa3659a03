package cell_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// rushQueue is one kind of job of a rush. Widths, sizes and run times vary about the means.
type rushQueue struct {
	name       string
	priority   int
	perSecond  float64
	width      float64 // tasks of a job
	runTime    float64 // of a task on a runner of speed one, in milliseconds
	deadlineMS int     // when the caller leaves
}

// rushQueues are short wide jobs, long ones that need most of the capacity, and many small
// ones, as they arrive at a cell of 16 runners on a busy day.
var rushQueues = []rushQueue{
	{"short", 0, 10.1, 8, 51, 1500},
	{"long", 2, 1.83, 4, 760, 1500},
	{"small", 1, 29.3, 2, 170, 1500},
}

// rushResult counts the jobs of a queue by what their callers got.
type rushResult struct {
	asked, inTime, late, refused, failed int
	refusedWithRoom                      int // although the runners had room for all tasks, of which the holder may not know yet
}

// share returns the part of the jobs that ended in time.
func (r rushResult) share() float64 { return float64(r.inTime) / float64(r.asked) }

// add returns the sum of r and o.
func (r rushResult) add(o rushResult) rushResult {
	return rushResult{
		r.asked + o.asked, r.inTime + o.inTime, r.late + o.late, r.refused + o.refused, r.failed + o.failed,
		r.refusedWithRoom + o.refusedWithRoom,
	}
}

// playRush submits jobs at factor times the usual rate for a time and returns the results by
// queue. Prepare, which may be nil, changes the world before.
func playRush(seed uint64, factor float64, duration time.Duration, prepare func(*world)) map[string]*rushResult {
	const runners = 16
	w := newWorld(seed, runners, 64000)
	speeds := [...]float64{0.6, 1, 1.6}
	kinds := [...]string{"a", "a", "b"}
	sizes := [...]int{64000, 64000, 96000}
	for i := range runners {
		r := w.runners[fmt.Sprintf("r%d", i)]
		r.slowdown, r.kind, r.cpu = 1/speeds[i%3], kinds[i%3], sizes[i%3]
	}
	w.faults.delay, w.rushAttempts = time.Millisecond, 3
	if prepare != nil {
		prepare(w)
	}
	w.takeOver()
	w.run(time.Second)
	results := map[string]*rushResult{}
	number := 0
	for _, q := range rushQueues {
		results[q.name] = &rushResult{}
		var next func()
		next = func() {
			if w.now.Before(time.Unix(1001, 0).Add(duration)) {
				number++
				submitRush(w, q, number, results[q.name])
				w.after(time.Duration(w.rng.ExpFloat64()/(q.perSecond*factor)*float64(time.Second)), next)
			}
		}
		next()
	}
	w.run(duration + 5*time.Second)
	return results
}

// submitRush submits one job of q and counts its result.
func submitRush(w *world, q rushQueue, number int, result *rushResult) {
	spread := func(mean, sigma, limit float64) float64 {
		return min(mean*math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2), limit)
	}
	real := spread(q.runTime, 0.4, 4*q.runTime)
	estimate := int(max(real*(1+0.4*(2*w.rng.Float64()-1)), 1))
	j := newJob(number, true, work.Step{
		Count: int(max(math.Round(spread(q.width, 0.4, 4*q.width)), 1)), CPU: int(spread(27000, 0.2, 40000)), Memory: 64, Estimate: estimate,
	})
	j.Queue = work.Queue{Name: q.name, Service: "s", Priority: q.priority, MaxAttempts: w.rushAttempts, Stretch: 1.6, TargetLatency: 60}
	w.submitted[j.ID], w.realTimes[j.ID] = j, real/float64(estimate)
	objective := time.Duration((1.6*real + 60) * float64(time.Millisecond))
	sent, answered := w.now, false
	caller := j.ID + "/0"
	result.asked++
	w.holder().exec(func() {
		w.holder().cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller}, func(o cell.Outcome) {
			if answered {
				return
			}
			answered = true
			took := w.now.Sub(sent) + 2*time.Millisecond
			switch {
			case o.Verdict == cell.Refused:
				result.refused++
				if w.hasRoom(&j.Steps[0]) {
					result.refusedWithRoom++
				}
			case o.State != work.Succeeded:
				result.failed++
			case took <= objective:
				result.inTime++
			default:
				result.late++
			}
		})
	})
	w.after(max(time.Duration(q.deadlineMS)*time.Millisecond, 3*objective), func() {
		if !answered {
			answered = true
			result.failed++
			w.holder().exec(func() { w.holder().cell.CallerLeft(w.now, j.ID, caller) })
		}
	})
}

// hasRoom reports whether the runners have free capacity for all tasks of a step.
func (w *world) hasRoom(step *work.Step) bool {
	places := 0
	for _, r := range w.runners {
		free := r.cpu
		for _, x := range r.runs {
			free -= x.cpu
		}
		places += free / step.CPU
	}
	return places >= step.Count
}

// TestRush plays rushes of slightly more work than the runners can do, and of half as much
// again. In both, each queue must keep a part of its service: jobs that are due soon must not
// be refused because of those that could wait, nor the long ones crowded out.
func TestRush(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		factor float64
		least  float64 // share of the jobs of a queue that end in time
	}{
		{1.7, 0.7}, {2.5, 0.4}, {3.5, 0.2},
	} {
		total := map[string]rushResult{}
		for seed := range uint64(4) {
			for name, r := range playRush(seed+1, test.factor, 5*time.Second, nil) {
				total[name] = total[name].add(*r)
			}
		}
		for _, q := range rushQueues {
			r := total[q.name]
			t.Logf("%.1f %-6s %+v in time %.3f", test.factor, q.name, r, r.share())
			require.Greater(t, r.share(), test.least, "%s at %.1f", q.name, test.factor)
			require.Less(t, float64(r.refusedWithRoom)/float64(r.asked), 0.06, "%s at %.1f", q.name, test.factor)
		}
	}
}

// badRunners plays a load that fills the runners nearly, while three of the 16 are bad, and returns the sum
// over the queues and some seeds.
func badRunners(degrade func(*simRunner)) rushResult {
	total := rushResult{}
	for seed := range uint64(6) {
		results := playRush(seed+1, 1.7, 6*time.Second, func(w *world) {
			w.rushAttempts = 2
			for _, id := range []string{"r3", "r7", "r11"} {
				degrade(w.runners[id])
			}
		})
		for _, q := range rushQueues {
			total = total.add(*results[q.name])
		}
	}
	return total
}

// TestHangingRunnersUnderLoad guards against callers that wait until they give up, since a run that hangs
// is found late, or its task starts on the same runner again as the only one with room.
func TestHangingRunnersUnderLoad(t *testing.T) {
	t.Parallel()
	r := badRunners(func(r *simRunner) { r.hangShare = 0.45 })
	t.Logf("%+v in time %.3f", r, r.share())
	require.Less(t, float64(r.failed)/float64(r.asked), 0.002)
}

// TestFailingRunnersUnderLoad guards against jobs that fail since several runners fail all that they start:
// the jobs seem to be the cause, and the runners stay in use.
func TestFailingRunnersUnderLoad(t *testing.T) {
	t.Parallel()
	r := badRunners(func(r *simRunner) { r.failsAll, r.slowdown = true, 0.1 })
	t.Logf("%+v in time %.3f", r, r.share())
	require.Less(t, float64(r.failed)/float64(r.asked), 0.01)
}
