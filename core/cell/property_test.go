package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAnyFaults plays several faults together, drawn at random, at random moments.
func TestAnyFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 8).Draw(t, "runners"), 32000)
		w.takeOver()
		load(w, rapid.IntRange(10, 80).Draw(t, "jobs"), 6*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			h := happenings[rapid.IntRange(0, len(happenings)-1).Draw(t, "fault")]
			at := time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond
			w.after(at, func() { h.fault(w) })
		}
		w.run(15 * time.Second)
		w.heal()
		w.run(60 * time.Second)
		require.Empty(t, w.broken)
		settled(t, w)
	})
}
