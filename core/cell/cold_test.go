package cell_test

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// startLog records the values that log lines of starts have for each runner.
type startLog struct{ last map[string]map[string]string }

// logStarts makes the holder of w record its starts.
func logStarts(w *world) *startLog {
	l := &startLog{last: map[string]map[string]string{}}
	w.holder().cell.Log = log.NewLogfmtLogger(l)
	return l
}

// Write processes a log line.
func (l *startLog) Write(line []byte) (int, error) {
	values := map[string]string{}
	for _, field := range strings.Fields(string(line)) {
		key, value, _ := strings.Cut(field, "=")
		values[key] = value
	}
	if values["event"] == "start" {
		l.last[values["runner"]] = values
	}
	return len(line), nil
}

// speed returns the estimated speed of a runner at its last start.
func (l *startLog) speed(id string) float64 {
	speed, err := strconv.ParseFloat(l.last[id]["speed"], 64)
	if err != nil {
		return math.NaN()
	}
	return speed
}

// makeCold makes runners cold for a time, and updates the directory.
func (w *world) makeCold(d time.Duration, slowdown float64, ids ...string) {
	for _, id := range ids {
		w.runners[id].coldUntil, w.runners[id].coldSlowdown = w.now.Add(d), slowdown
	}
	w.updateDirectory()
}

// TestColdAfterWarm guards against cold runners that get tasks although a warm one would end them in
// time, and against cold runners that are not used although the warm ones are full.
func TestColdAfterWarm(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.run(time.Second)
	w.makeCold(10*time.Second, 2, "r0", "r2")
	for i := range 20 {
		w.submit(newJob(1+i, true, plainStep(1)))
		w.run(300 * time.Millisecond)
	}
	require.Zero(t, w.startedIn("a"))
	w.submit(newJob(100, true, plainStep(8)))
	w.run(20 * time.Millisecond)
	require.Equal(t, 4, w.runsIn("a"))
	w.run(2 * time.Second)
	checkSettled(t, w)
}

// TestColdInTime guards against tasks that are late on a warm runner although a cold one would end them
// in time.
func TestColdInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.runners["r0"].kind, w.runners["r1"].kind = "fast", "slow"
	w.runners["r1"].slowdown = 3
	w.takeOver()
	w.run(time.Second)
	for i := range 12 { // so that both speeds are known
		w.submit(newJob(1+i, true, work.Step{Count: 2, CPU: 20000, Estimate: 300}))
		w.run(2 * time.Second)
	}
	w.makeCold(10*time.Second, 2, "r0")
	w.runners["r0"].highestRun, w.runners["r1"].highestRun = map[work.Task]int{}, map[work.Task]int{}
	for i := range 3 {
		j := newJob(100+i, true, work.Step{Count: 1, CPU: 20000, Estimate: 300})
		j.Queue.TargetLatency = 250 // 850 ms in all: in time at half speed, not at a third
		w.submit(j)
		w.run(2 * time.Second)
	}
	require.Len(t, w.runners["r0"].highestRun, 3)
	checkSettled(t, w)
}

// TestColdRunsLeaveNoBias guards against a runner, or others of its kind, that count as slow since it
// was cold; and against estimates that do not follow the speed that cold runners of a kind have shown.
func TestColdRunsLeaveNoBias(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	starts := logStarts(w)
	w.run(time.Second)
	n := 0
	runs := func(count int) {
		for range count {
			n++
			w.submit(newJob(n, true, work.Step{Count: 2, CPU: 20000, Estimate: 200}))
			w.run(1500 * time.Millisecond)
		}
	}
	runs(20)
	warm := starts.speed("r0")
	w.makeCold(60*time.Second, 4, "r0")
	runs(1)
	require.InEpsilon(t, warm/2, starts.speed("r0"), 0.05, "until a cold runner has shown its speed")
	runs(30)
	require.InEpsilon(t, warm/4, starts.speed("r0"), 0.3)
	require.InEpsilon(t, warm, starts.speed("r1"), 0.2, "of the same kind")
	require.Equal(t, "true", starts.last["r0"]["cold"])
	w.run(20 * time.Second)
	runs(1)
	require.Equal(t, "false", starts.last["r0"]["cold"])
	require.InEpsilon(t, warm, starts.speed("r0"), 0.2)
	checkSettled(t, w)
}

// TestColdIsNoStraggler guards against runs that are stopped again and again since a very cold runner
// looks like one that is stuck, and against a runner that counts as slow for long since runs were stopped
// there, or moved, while it was cold.
func TestColdIsNoStraggler(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	starts := logStarts(w)
	w.run(time.Second)
	n := 0
	submit := func(target int, label string) {
		n++
		j := newJob(n, true, work.Step{Count: 1, CPU: 20000, Estimate: 200, RequiredLabel: label})
		j.Queue.TargetLatency = target
		w.submit(j)
	}
	w.runners["r0"].label, w.runners["r1"].label = "x", "y"
	w.updateDirectory()
	for range 20 {
		submit(20000, "x")
		submit(20000, "y")
		w.run(time.Second)
	}
	warm := starts.speed("r0")
	w.makeCold(100*time.Second, 16, "r0")
	for range 4 {
		submit(20000, "x")
		w.run(10 * time.Second)
	}
	stopped := w.endCounts[order.Stopped]
	for range 3 {
		submit(20000, "x")
		w.run(10 * time.Second)
	}
	require.Equal(t, stopped, w.endCounts[order.Stopped], "its runs are stopped")
	submit(100, "y") // occupies the warm runner for a while
	submit(100, "")
	w.run(10 * time.Second)
	require.Greater(t, w.endCounts[order.Stopped], stopped, "no run was moved")
	w.run(40 * time.Second)
	submit(20000, "x")
	w.run(5 * time.Second)
	require.Equal(t, "false", starts.last["r0"]["cold"])
	require.InEpsilon(t, warm, starts.speed("r0"), 0.2)
	checkSettled(t, w)
}

// TestColdCountsDown guards against a runner that stays cold since its entry is read again unchanged,
// and against entries that are rewritten to no effect.
func TestColdCountsDown(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	starts := logStarts(w)
	w.run(time.Second)
	n := 0
	read := func(after time.Duration, version int64, coldFor time.Duration) string {
		w.run(after)
		entry := w.runners["r0"].directoryEntry()
		entry.Version, entry.ColdFor = version, coldFor
		w.holder().exec(func() { w.holder().cell.UpdateDirectory(w.now, []cell.RunnerInfo{entry}) })
		n++
		w.submit(newJob(n, true, plainStep(1)))
		require.Equal(t, newJob(n, true).ID, starts.last["r0"]["job"])
		return starts.last["r0"]["cold"]
	}
	require.Equal(t, "true", read(0, 1, 3*time.Second))
	require.Equal(t, "true", read(2*time.Second, 1, 3*time.Second))
	require.Equal(t, "false", read(time.Second, 1, 3*time.Second), "read again unchanged")
	require.Equal(t, "true", read(time.Second, 2, 3*time.Second), "rewritten with the same time")
	require.Equal(t, "true", read(time.Second, 3, 3*time.Second))
	require.Equal(t, "false", read(time.Second, 4, 0), "warm earlier")
}

// TestColdAdmission guards against jobs that are accepted as if cold runners were as fast as warm ones,
// and are late.
func TestColdAdmission(t *testing.T) {
	t.Parallel()
	refused := func(cold bool) int {
		w := newWorld(1, 4, 32000)
		w.takeOver()
		w.run(time.Second)
		if cold {
			w.makeCold(10*time.Second, 2, "r0", "r1", "r2", "r3")
		}
		for i := range 24 {
			w.submit(newTightJob(i + 1))
		}
		w.run(8 * time.Second)
		n := 0
		for _, o := range w.outcomes {
			if o.Verdict == cell.Refused {
				n++
			}
		}
		checkSettled(t, w)
		return n
	}
	require.Greater(t, refused(true), refused(false)+3)
}

// TestReturnedCapacityAtOnce guards against runners that are not used as soon as an evacuation has
// ended, cold ones too.
func TestReturnedCapacityAtOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.setZones("a")
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, plainStep(4), plainStep(4, 0)))
	w.run(30 * time.Millisecond)
	w.evacuate("a")
	w.run(2 * time.Second)
	before := w.holder().startsSent["r0"]
	w.makeCold(10*time.Second, 2, "r0", "r1")
	w.evacuate()
	require.Equal(t, before+2, w.holder().startsSent["r0"], "in the same turn")
	w.run(2 * time.Second)
	checkSettled(t, w)
}
