package resubmit_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("resubmit.seed", 1, "first seed of the plays")
	plays     = flag.Uint64("resubmit.plays", 1, "number of plays of each scenario")
	traces    = flag.String("resubmit.traces", "", "directory for the traces of violations")
)

const (
	settleTime = 7 * time.Second // until instances that have just started may take over
	playTime   = 8 * time.Second
	tailTime   = 12 * time.Second // for which clients wait for their last responses
)

// scenario is a set of faults.
type scenario struct {
	name   string
	faults faults
	number int // of disturbances in playTime
	kinds  []disturbance
}

// play plays a scenario with a seed and returns what happened. Goroutines run in any order, so two
// plays with one seed may differ.
func (s scenario) play(t *testing.T, seed uint64) *world {
	t.Helper()
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = newWorld(seed, 4, "a", "b")
		time.Sleep(settleTime)
		w.setFaults(s.faults)
		w.disturb(s.number, playTime, s.kinds...)
		for n, end := 0, time.Now().Add(playTime); time.Now().Before(end); n++ {
			w.submitJob(n)
			time.Sleep(w.between(20*time.Millisecond, 120*time.Millisecond))
		}
		w.setFaults(faults{sameOrder: s.faults.sameOrder})
		time.Sleep(tailTime)
		w.end()
	})
	return w
}

var scenarios = []scenario{
	{"kills", faults{}, 4, []disturbance{kills}},
	{"pauses", faults{}, 4, []disturbance{pauses}},
	{"client pauses", faults{}, 6, []disturbance{clientPauses}},
	{"leaves", faults{}, 3, []disturbance{leaves}},
	{"resets", faults{}, 8, []disturbance{resets}},
	{"quiet", faults{}, 0, nil},
	{"client resets", faults{}, 8, []disturbance{clientResets}},
	{"peer cuts", faults{}, 6, []disturbance{peerCuts}},
	{"runner cuts", faults{}, 6, []disturbance{runnerCuts}},
	{"store cuts", faults{}, 6, []disturbance{storeCuts}},
	{"cuts and resets", faults{}, 14, []disturbance{peerCuts, clientResets}},
	{"cuts and kills", faults{}, 8, []disturbance{peerCuts, runnerCuts, kills}},
	{"runner restarts", faults{}, 6, []disturbance{runnerRestarts}},
	{"lost and late orders", faults{lostReply: 0.02, lostOrder: 0.01, lateOrder: 0.01}, 0, nil},
	{"lost stops", faults{lostStop: 0.2}, 8, []disturbance{clientResets}},
	{"lost stops, same cell", faults{sameOrder: true, lostStop: 0.5}, 6, []disturbance{kills}},
	{"all", faults{lostReply: 0.01, lostOrder: 0.005, lateOrder: 0.005}, 8, []disturbance{kills, pauses, clientPauses, leaves, resets, clientResets, peerCuts, runnerCuts, storeCuts, runnerRestarts}},
}

// TestNoTaskRunsTwice guards against a task with two runs at the same time, in two cells: one of
// them has the job of a caller that is no longer there, and has submitted it again. It also guards
// against answers that are held back until after the deadline.
func TestNoTaskRunsTwice(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			counts := map[string]int{}
			for seed := *firstSeed; seed < *firstSeed+*plays; seed++ {
				w := s.play(t, seed)
				for what, n := range w.counts {
					counts[what] += n
				}
				w.report(t, s.name, seed)
			}
			t.Log(counts)
		})
	}
}

// report fails the test if there are violations, and writes the trace of the job of the first one.
func (w *world) report(t *testing.T, name string, seed uint64) {
	t.Helper()
	for _, v := range w.violations[:min(len(w.violations), 4)] {
		t.Errorf("seed %d: %s", seed, v)
	}
	if len(w.violations) > 0 && *traces != "" {
		file := fmt.Sprintf("%s/%s-%d.log", *traces, strings.ReplaceAll(name, " ", "-"), seed)
		require.NoError(t, os.WriteFile(file, []byte(w.lines(w.violations[0].job)), 0o600))
	}
}
