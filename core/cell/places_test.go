package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestPlaces checks on which of twelve idle runners in three racks the tasks of a step
// start.
func TestPlaces(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		step    work.Step
		racks   int    // number of racks on which they start; zero means any
		rack    string // rack on which all start; empty means any
		most    int    // most tasks on one runner; zero means any
		refused bool
	}{
		{"a preferred rack", work.Step{Count: 4, PreferredRack: "k1"}, 1, "k1", 0, false},
		{"more tasks than fit on the preferred rack", work.Step{Count: 10, PreferredRack: "k1"}, 0, "", 2, false},
		{"a required label", work.Step{Count: 8, RequiredLabel: "k2"}, 1, "k2", 0, false},
		{"together", work.Step{Count: 8, SameRack: true}, 1, "", 0, false},
		{"a gang together", work.Step{Count: 8, SameRack: true, Gang: true}, 1, "", 0, false},
		{"spread", work.Step{Count: 9, MaxPerRunner: 1}, 0, "", 1, false},
		{"a gang spread", work.Step{Count: 9, MaxPerRunner: 1, Gang: true}, 0, "", 1, false},
		{"larger than any runner", work.Step{Count: 1, CPU: 33000}, 0, "", 0, true},
		{"a label that no runner has", work.Step{Count: 1, RequiredLabel: "k9"}, 0, "", 0, true},
		{"a gang spread over more runners than there are", work.Step{Count: 13, CPU: 1000, MaxPerRunner: 1, Gang: true}, 0, "", 0, true},
		{"a gang larger than the runners with its label", work.Step{Count: 9, RequiredLabel: "k2", Gang: true}, 0, "", 0, true},
		{"accelerators that no runner has", work.Step{Count: 1, GPU: 1}, 0, "", 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, 12, 32000)
			for i := range 12 {
				w.runners[fmt.Sprintf("r%d", i)].rack = fmt.Sprintf("k%d", i%3)
			}
			w.takeOver()
			w.run(time.Second)
			if test.step.CPU == 0 {
				test.step.CPU = 14000
			}
			test.step.Estimate = 2000
			j := newJob(1, true, test.step)
			w.submit(j)
			w.run(500 * time.Millisecond)
			if test.refused {
				require.Equal(t, cell.Refused, w.outcomes[j.ID].Verdict)
				require.Equal(t, cell.ReasonNoRunnerFits, w.outcomes[j.ID].Reason)
				return
			}
			racks := map[string]int{}
			for id, r := range w.runners {
				if len(r.runs) > 0 {
					racks[r.rack] += len(r.runs)
				}
				if test.most > 0 {
					require.LessOrEqual(t, len(r.runs), test.most, id)
				}
			}
			if test.racks > 0 {
				require.Len(t, racks, test.racks)
			}
			if test.rack != "" {
				require.Equal(t, map[string]int{test.rack: test.step.Count}, racks)
			}
			w.run(20 * time.Second)
			checkSettled(t, w)
		})
	}
}

// TestAdmissionCountsUsableRunners guards against jobs that are admitted for runners which leave or have
// left.
func TestAdmissionCountsUsableRunners(t *testing.T) {
	t.Parallel()
	for _, gone := range []func(w *world, r *simRunner){
		func(_ *world, r *simRunner) { r.draining = true },
		func(_ *world, r *simRunner) { r.inDirectory, r.dead = false, true },
	} {
		w := newWorld(1, 3, 32000)
		w.runners["r1"].label = "g"
		w.takeOver()
		w.run(time.Second)
		before := newJob(1, true, labelled("g", 1))
		w.submit(before)
		w.run(time.Second)
		require.Equal(t, cell.Accepted, w.outcomes[before.ID].Verdict)
		gone(w, w.runners["r1"])
		w.updateDirectory()
		w.run(3 * time.Second)
		for i, transient := range []bool{false, true} {
			j := newJob(2+i, transient, labelled("g", 1))
			w.submit(j)
			w.run(500 * time.Millisecond)
			require.Equal(t, cell.ReasonNoRunnerFits, w.outcomes[j.ID].Reason)
		}
		require.Empty(t, w.violations)
	}
}
