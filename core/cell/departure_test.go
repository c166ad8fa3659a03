package cell_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// departures are the ways in which a cell learns that the only caller of a transient job is gone,
// each with the time within which the runs must then have ended though the stop orders are lost.
var departures = []struct {
	name  string
	leave func(c *cell.Cell, now time.Time, id, caller string)
	bound time.Duration
}{
	{"left", (*cell.Cell).CallerLeft, cell.DefaultResubmitAfter},
	{"left a second ago", func(c *cell.Cell, now time.Time, id, caller string) {
		c.CallerLeftBefore(now, now.Add(-time.Second), id, caller)
	}, cell.DefaultLease},
	{"attempt lost", (*cell.Cell).AttemptLost, cell.DefaultLease},
}

// sharedRunner returns a world with one runner on which, for at least 500 ms, run a task of a job
// whose caller will leave and one of a job whose caller stays.
func sharedRunner(seed uint64, later time.Duration) (w *world, left, stays *work.Job) {
	w = newWorld(seed, 1, 32000)
	w.takeOver()
	w.run(time.Second)
	left = newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	stays = newJob(2, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	w.submit(left)
	w.submit(stays)
	w.run(500*time.Millisecond + later)
	return w, left, stays
}

// TestLostStopsOutlastNoResubmission guards against runs that go on after their caller has left, since
// the stop orders are lost while the lease of the runner is extended for its other runs.
func TestLostStopsOutlastNoResubmission(t *testing.T) {
	t.Parallel()
	for _, test := range departures {
		for later := time.Duration(0); later < 600*time.Millisecond; later += 100 * time.Millisecond {
			t.Run(fmt.Sprint(test.name, " after ", later), func(t *testing.T) {
				t.Parallel()
				w, left, stays := sharedRunner(1, later)
				r, p := w.runners["r0"], w.holder()
				require.Len(t, r.runs, 2)
				r.losesStops = true
				w.callerWaits[left.ID] = false
				p.exec(func() { test.leave(p.cell, w.now, left.ID, left.ID+"/0") })
				w.run(test.bound)
				require.NotContains(t, r.runs, work.Task{Job: left.ID})
				w.run(2*time.Second - test.bound)
				r.losesStops = false
				w.run(time.Second)
				require.Contains(t, r.runs, work.Task{Job: stays.ID})
				require.Empty(t, w.violations)
			})
		}
	}
}

// TestLostStopSparesOthers guards against a lost stop order of which the other runs on the runner die
// although it is sent again in time.
func TestLostStopSparesOthers(t *testing.T) {
	t.Parallel()
	for _, test := range departures {
		for later := time.Duration(0); later < 600*time.Millisecond; later += 50 * time.Millisecond {
			t.Run(fmt.Sprint(test.name, " after ", later), func(t *testing.T) {
				t.Parallel()
				w, left, stays := sharedRunner(1, later)
				r, p := w.runners["r0"], w.holder()
				r.losesStops = true
				w.callerWaits[left.ID] = false
				p.exec(func() { test.leave(p.cell, w.now, left.ID, left.ID+"/0") })
				w.run(80 * time.Millisecond)
				require.Len(t, r.runs, 2)
				r.losesStops = false
				w.run(2 * time.Second)
				require.Zero(t, w.endCounts[order.LeaseExpired])
				require.Equal(t, 1, w.endCounts[order.Stopped])
				require.Equal(t, 1, r.runs[work.Task{Job: stays.ID}].number)
				require.Empty(t, w.violations)
			})
		}
	}
}

// TestLateStartAfterDeparture guards against a start order that is carried out after the caller has
// left, and a run that then goes on beyond the time at which the job may start in another cell.
func TestLateStartAfterDeparture(t *testing.T) {
	t.Parallel()
	for _, test := range departures {
		for delay := 5 * time.Millisecond; delay < 3*time.Second; delay = delay * 3 / 2 {
			for _, after := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond} {
				t.Run(fmt.Sprint(test.name, " after ", after, ", start after ", delay), func(t *testing.T) {
					t.Parallel()
					w, _, _ := sharedRunner(1, 0)
					r, p := w.runners["r0"], w.holder()
					r.cpu = 64000
					w.updateDirectory()
					r.losesStops, r.startDelay = true, delay
					j := newJob(3, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
					w.submit(j)
					w.run(after)
					w.callerWaits[j.ID] = false
					p.exec(func() { test.leave(p.cell, w.now, j.ID, j.ID+"/0") })
					r.startDelay = 0
					w.run(test.bound)
					for range 400 {
						require.NotContains(t, r.runs, work.Task{Job: j.ID})
						w.run(10 * time.Millisecond)
					}
					require.Empty(t, w.violations)
				})
			}
		}
	}
}

// TestRunsOfLeftCallersUnderLosses guards against runs that outlast their caller while replies to
// orders are lost, orders are carried out seconds late, and all stops to a runner are lost for a time.
func TestRunsOfLeftCallersUnderLosses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newWorld(seed, 3, 32000)
		p := w.takeOver()
		w.run(time.Second)
		w.faults.lostReply, w.faults.delayedOrder = 0.1, 0.1
		left := 0
		for i := range 60 {
			j := newJob(i+1, true, work.Step{Count: 2, CPU: 4000, Estimate: 1500})
			w.submit(j)
			w.run(time.Duration(w.rng.Int64N(int64(120 * time.Millisecond))))
			if i%3 != 0 || !w.callerWaits[j.ID] {
				continue
			}
			left++
			r := w.runners["r"+strconv.Itoa(w.rng.IntN(3))]
			r.losesStops = true
			w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() { r.losesStops = false })
			w.callerWaits[j.ID] = false
			p.exec(func() { p.cell.CallerLeft(w.now, j.ID, j.ID+"/0") })
			w.after(cell.DefaultResubmitAfter, func() {
				for _, r := range w.runners {
					for index := range 2 {
						require.NotContains(t, r.runs, work.Task{Job: j.ID, Index: index}, "seed %d, job %s", seed, j.ID)
					}
				}
			})
		}
		w.run(20 * time.Second)
		require.Equal(t, 20, left)
		require.Empty(t, w.violations)
	}
}
