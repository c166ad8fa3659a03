package worker_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/standin/kind"
	"gypsumward/standin/worker"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPool() *worker.Pool {
	s := worker.Default
	s.Cores, s.Times = 2, kind.New()
	return &worker.Pool{Settings: s}
}

func neverFails(string) bool { return false }

func work(id, run string) target.Task {
	return target.Task{ID: id, Cores: 1, Input: json.RawMessage(`{"run":"` + run + `"}`)}
}

func start(p *worker.Pool, lease span.Span, tasks ...target.Task) {
	p.Start(begin, target.Start{Holder: "one", Lease: lease, Tasks: tasks}, neverFails)
}

func after(d time.Duration) time.Time { return begin.Add(d) }

// TestPoolLease checks that a task is stopped when its lease expires, and that
// only watches of its own holder renew the lease.
func TestPoolLease(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		renew []time.Duration // times of watches
		phase target.Phase
		took  time.Duration
	}{
		{name: "never watched", phase: target.Stopped, took: time.Second},
		{name: "watched in time", renew: []time.Duration{900 * time.Millisecond, 1800 * time.Millisecond}, phase: target.Done, took: 2 * time.Second},
		{name: "watched once", renew: []time.Duration{500 * time.Millisecond}, phase: target.Stopped, took: 1500 * time.Millisecond},
		{name: "watched late", renew: []time.Duration{1001 * time.Millisecond}, phase: target.Stopped, took: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := newPool()
			start(p, span.Second, work("a", "2s"))
			for _, d := range test.renew {
				p.Renew(after(d), "one", 0)
				p.Renew(after(d), "other", 0)
			}
			seen := p.Outcomes(after(3*time.Second), "one", 0)
			require.Len(t, seen.Tasks, 1)
			require.Equal(t, test.phase, seen.Tasks[0].Phase)
			require.Equal(t, test.took, seen.Tasks[0].RunTime.Duration())
			require.Equal(t, test.phase == target.Done, seen.Tasks[0].Output != nil)
		})
	}
}

// TestPoolAdopt checks that adopted tasks report to the new holder only, with
// leases that start anew.
func TestPoolAdopt(t *testing.T) {
	t.Parallel()
	p := newPool()
	start(p, span.Second, work("short", "100ms"), work("long", "1500ms"))
	adopted := p.Adopt(after(900*time.Millisecond), target.Adopt{Holder: "two", IDs: []string{"long", "short", "none"}})
	require.Equal(t, target.Running, adopted.Tasks[0].Phase)
	require.Equal(t, target.Done, adopted.Tasks[1].Phase)
	require.Equal(t, target.Unknown, adopted.Tasks[2].Phase)
	require.Empty(t, p.Outcomes(after(1600*time.Millisecond), "one", 0).Tasks)
	seen := p.Outcomes(after(1600*time.Millisecond), "two", 1)
	require.Len(t, seen.Tasks, 1)
	require.Equal(t, target.Done, seen.Tasks[0].Phase)
}

// TestPoolSharesCores checks the run times of tasks that need more cores than
// there are, and after throttling and stopping some of them.
func TestPoolSharesCores(t *testing.T) {
	t.Parallel()
	p := newPool()
	start(p, 0, work("a", "1s"), work("b", "1s"), work("c", "1s"), work("d", "1s"))
	require.Equal(t, after(2*time.Second), p.Advance(begin), "four tasks on two cores")
	p.Throttle(begin, []string{"a"})
	p.Stop(begin, []string{"c", "d"})
	require.Equal(t, after(time.Second), p.Advance(begin))
	require.Equal(t, after(2*time.Second), p.Advance(after(time.Second)), "a is throttled")
}

// TestPoolStartsAgain checks that a second start of the same id runs as well: a
// worker does not deduplicate starts.
func TestPoolStartsAgain(t *testing.T) {
	t.Parallel()
	p := newPool()
	start(p, 0, work("a", "1s"))
	start(p, 0, work("a", "1s"))
	require.Len(t, p.Outcomes(after(time.Second), "one", 0).Tasks, 2)
}

// TestPoolKeepsOutcomes checks that an outcome that its holder has seen is
// dropped after a minute and one that it has not seen is kept.
func TestPoolKeepsOutcomes(t *testing.T) {
	t.Parallel()
	p := newPool()
	start(p, 0, work("a", "1s"), work("b", "1s"))
	p.Renew(after(2*time.Second), "one", 1)
	phases := func(d time.Duration) []target.Phase {
		adopted := p.Adopt(after(d), target.Adopt{Holder: "one", IDs: []string{"a", "b"}})
		return []target.Phase{adopted.Tasks[0].Phase, adopted.Tasks[1].Phase}
	}
	require.Equal(t, []target.Phase{target.Done, target.Done}, phases(60*time.Second))
	p.Advance(after(63 * time.Second))
	require.Equal(t, []target.Phase{target.Unknown, target.Done}, phases(63*time.Second))
}

// TestPoolUsageLags checks that the reported usage is at least as old as the lag.
func TestPoolUsageLags(t *testing.T) {
	t.Parallel()
	p := newPool()
	require.Zero(t, p.Outcomes(begin, "one", 0).Usage.Running)
	start(p, 0, work("a", "10s"))
	require.Zero(t, p.Outcomes(after(time.Second), "one", 0).Usage.Running)
	require.Zero(t, p.Outcomes(after(2*time.Second), "one", 0).Usage.Running)
	usage := p.Outcomes(after(4*time.Second), "one", 0).Usage
	require.Equal(t, 1, usage.Running)
	require.Equal(t, 2*time.Second, usage.Age.Duration())
}
