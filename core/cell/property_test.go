package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/work"
)

// TestAnyFaults injects one to four faults, drawn at random, at random times under a load,
// and checks that all jobs end and no guarantee is violated once the faults are over.
func TestAnyFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 8).Draw(t, "runners"), 32000)
		w.endsPerReply = rapid.SampledFrom([]int{2, 10, 500}).Draw(t, "ends")
		w.setZones("a", "b")
		w.takeOver()
		var lasting *work.Job
		if rapid.Bool().Draw(t, "lasting") {
			lasting = submitLasting(w)
		}
		load(w, rapid.IntRange(10, 80).Draw(t, "jobs"), 6*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			scenario := faultScenarios[rapid.IntRange(0, len(faultScenarios)-1).Draw(t, "fault")]
			at := time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond
			w.after(at, func() { scenario.fault(w) })
		}
		for _, evacuate := range drawEvacuations(t, 8*time.Second, "a", "b") {
			evacuate(w)
		}
		w.run(15 * time.Second)
		w.heal()
		w.run(60 * time.Second)
		require.Empty(t, w.violations)
		if lasting != nil {
			checkLasting(t, w, lasting)
		}
		checkSettled(t, w)
	})
}

// TestAnyEvacuations draws evacuations under a load without faults: what runs goes on, nothing is started
// in a data centre that is evacuated, and all jobs end afterwards.
func TestAnyEvacuations(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "runners"), 32000)
		w.runsGoOn = true
		w.setZones("a", "b", "c")
		w.takeOver()
		lasting := submitLasting(w)
		load(w, rapid.IntRange(10, 80).Draw(t, "jobs"), 6*time.Second)
		for _, evacuate := range drawEvacuations(t, 8*time.Second, "a", "b", "c") {
			evacuate(w)
		}
		w.run(40 * time.Second)
		require.Empty(t, w.violations)
		w.runsGoOn = false
		checkLasting(t, w, lasting)
		checkSettled(t, w)
	})
}
