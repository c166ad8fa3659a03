package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// counts is a cell.Metrics that counts.
type counts map[string]int

func (c counts) Count(what string, n int)      { c[what] += n }
func (c counts) Observe(string, time.Duration) {}

// submitMany submits transient jobs that need all runners of w at times, evenly over a time.
func submitMany(w *world, from, jobs int, over time.Duration) {
	for i := range jobs {
		w.after(over*time.Duration(i)/time.Duration(jobs), func() { w.submit(newJob(from+i, true, plainStep(4))) })
	}
}

// TestTwoZonesAtOnce guards against an evacuation that ends, or does not begin, since another one begins
// or ends.
func TestTwoZonesAtOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.setZones("a", "b", "c")
	w.takeOver()
	w.run(time.Second)
	submitMany(w, 1, 120, 6*time.Second)
	started := func() [2]int { return [2]int{w.startedIn("a"), w.startedIn("b")} }
	w.run(time.Second)
	w.evacuate("a")
	w.run(time.Second)
	before := started()
	w.evacuate("a", "b")
	w.run(time.Second)
	require.Equal(t, before[0], w.startedIn("a"))
	both := started()
	w.run(time.Second)
	require.Equal(t, both, started())
	w.evacuate("b")
	w.run(time.Second)
	require.Greater(t, w.startedIn("a"), both[0])
	require.Equal(t, both[1], w.startedIn("b"))
	w.evacuate()
	w.run(10 * time.Second)
	require.Greater(t, w.startedIn("b"), both[1])
	checkSettled(t, w)
}

// TestShortEvacuation guards against an evacuation that lasts for less than a second and has no effect, or
// leaves one behind; also if the same data centre is evacuated again soon.
func TestShortEvacuation(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.setZones("a", "b")
	w.takeOver()
	w.run(time.Second)
	submitMany(w, 1, 100, 5*time.Second)
	w.run(500 * time.Millisecond)
	for range 3 {
		w.evacuate("a")
		w.run(20 * time.Millisecond) // for start orders on their way
		before := w.startedIn("a")
		w.run(300 * time.Millisecond)
		require.Equal(t, before, w.startedIn("a"))
		w.evacuate()
		w.run(700 * time.Millisecond)
		require.Greater(t, w.startedIn("a"), before)
	}
	w.run(10 * time.Second)
	checkSettled(t, w)
}

// TestEvacuationOfNobody guards against an effect of a row that names a data centre without runners.
func TestEvacuationOfNobody(t *testing.T) {
	t.Parallel()
	starts := func(evacuated ...string) (startsSent map[string]int) {
		w := newWorld(1, 4, 32000)
		w.setZones("a", "b")
		w.takeOver()
		w.run(time.Second)
		w.evacuate(evacuated...)
		submitMany(w, 1, 50, 3*time.Second)
		w.run(10 * time.Second)
		checkSettled(t, w)
		return w.holder().startsSent
	}
	require.Equal(t, starts(), starts("A", "z", ""))
}

// TestEvacuationWhilePartitioned has a holder that cannot read the operator's rows. It goes on with the
// last set that it knows, and follows the rows as soon as it can read them.
func TestEvacuationWhilePartitioned(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.setZones("a", "b", "c")
	w.takeOver()
	w.run(time.Second)
	w.evacuate("b")
	submitMany(w, 1, 160, 8*time.Second)
	w.run(time.Second)
	p := cutHolder(w)
	before := w.startedIn("b")
	w.evacuate("a")
	w.run(3 * time.Second)
	require.Positive(t, w.runsIn("a"), "used while the row cannot be read")
	require.Equal(t, before, w.startedIn("b"), "the last known set stays")
	p.storeUnreachable = false
	w.run(200 * time.Millisecond)
	before = w.startedIn("a")
	w.run(2 * time.Second)
	require.Equal(t, before, w.startedIn("a"))
	require.Greater(t, w.startedIn("b"), 0)
	w.evacuate()
	w.run(10 * time.Second)
	checkSettled(t, w)
}

// TestEvacuationReported guards against an evacuation that cannot be seen in the log and the metrics, and
// against a count that grows while the same jobs wait.
func TestEvacuationReported(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 4, 32000)
	w.setZones("a", "b")
	p := w.takeOver()
	lines, counted := &strings.Builder{}, counts{}
	p.cell.Log, p.cell.Metrics = log.NewLogfmtLogger(lines), counted
	w.run(time.Second)
	w.submit(newJob(1, true, work.Step{Count: 2, CPU: 32000, Estimate: 3000}))
	w.run(100 * time.Millisecond)
	on := w.runsIn("a")
	w.evacuate("a")
	require.Contains(t, lines.String(), "event=evacuate zone=a begins=true runners=2 cpu=64000 runs="+string(rune('0'+on)))
	runners, cpu := p.cell.EvacuatedRunners(w.now)
	require.Equal(t, []int{2, 64000}, []int{runners, cpu})
	w.submit(newJob(2, true, work.Step{Count: 2 + on, CPU: 32000, Estimate: 1000}))
	w.run(2 * time.Second)
	require.Equal(t, 1+on, counted["starts_held_back"], "one of its tasks has started on the last free runner")
	require.Contains(t, lines.String(), "evacuated=2 cold=0")
	w.makeCold(time.Second, 2, "r0")
	require.Equal(t, 1, p.cell.ColdRunners(w.now))
	w.evacuate()
	require.Contains(t, lines.String(), "event=evacuate zone=a begins=false runners=2 cpu=64000")
	w.run(10 * time.Second)
	require.Zero(t, p.cell.ColdRunners(w.now))
	checkSettled(t, w)
}
