package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// cutHolder cuts the holder off from the store, with its standbys, which promise not to take over.
func cutHolder(w *world) *process {
	p := w.holder()
	p.storeUnreachable, p.promised = true, true
	return p
}

// reserveTakesOver makes a reserve the holder while the former one may go on.
func reserveTakesOver(w *world, former *process) *process {
	return w.takeOverAs(cell.Term{PreviousEnd: former.aliveAt.Add(simStoredExtension), PreviousOpen: true})
}

// depose ends the term of a process that learns of a later holder, and breaks its connections to callers.
func (p *process) depose() {
	p.promised = false
	p.exec(func() { p.cell.Depose(p.world.now, "a later holder") })
	p.disconnect()
}

// TestReserveWithHolderCutOff guards against tasks that run twice, or beyond the room of a runner, when a
// reserve takes over from a holder that is cut off, frozen or dead, and either reaches any of the runners.
func TestReserveWithHolderCutOff(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 6, 32000)
		w.setZones("a", "b")
		w.takeOver()
		w.run(time.Second)
		n := 0
		add := func(to func() *process, at time.Duration, transient bool) {
			n++
			j := newJob(n, transient, plainStep(rapid.IntRange(1, 4).Draw(t, "tasks")))
			j.Steps[0].Estimate = rapid.SampledFrom([]int{80, 400, 1500, 4000}).Draw(t, "estimate")
			w.submitted[j.ID], w.callerWaits[j.ID] = j, true
			w.after(at, func() { w.submitTo(to(), j, false, 0) })
		}
		for range rapid.IntRange(0, 10).Draw(t, "before") {
			add(w.holder, time.Duration(rapid.IntRange(0, 1500).Draw(t, "at"))*time.Millisecond, rapid.Bool().Draw(t, "transient"))
		}
		w.run(1500 * time.Millisecond)
		former := cutHolder(w)
		former.unreachableRunners = map[string]bool{}
		unreached := map[string]bool{}
		for _, id := range slices.Sorted(maps.Keys(w.runners)) {
			former.unreachableRunners[id] = rapid.IntRange(0, 3).Draw(t, "former") == 0
			unreached[id] = rapid.Bool().Draw(t, "reserve")
		}
		switch rapid.IntRange(0, 3).Draw(t, "end") {
		case 0:
			former.kill()
		case 1:
			former.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "frozen")) * time.Second)
		}
		if rapid.Bool().Draw(t, "late") {
			w.faults.delayedOrder = 0.1
		}
		takeover := rapid.SampledFrom([]time.Duration{2500, 4000, 7000}).Draw(t, "takeover") * time.Millisecond
		var reserve *process
		w.after(takeover, func() {
			reserve = reserveTakesOver(w, former)
			reserve.unreachableRunners = unreached
		})
		for range rapid.IntRange(0, 10).Draw(t, "inside") { // callers that reach the former holder only
			add(func() *process { return former }, time.Duration(rapid.IntRange(0, 9000).Draw(t, "at"))*time.Millisecond, true)
		}
		for range rapid.IntRange(0, 10).Draw(t, "outside") {
			add(w.holder, takeover+time.Duration(rapid.IntRange(0, 4000).Draw(t, "at"))*time.Millisecond, rapid.Bool().Draw(t, "transient"))
		}
		for _, evacuate := range drawEvacuations(t, takeover+5*time.Second, "a", "b") {
			evacuate(w)
		}
		w.run(takeover + time.Duration(rapid.IntRange(500, 9000).Draw(t, "cut"))*time.Millisecond)
		w.faults.delayedOrder = 0
		former.depose()
		clear(unreached)
		w.run(60 * time.Second)
		require.Empty(t, w.violations)
		checkSettled(t, w)
	})
}

// TestReserveIsQuick guards against stored jobs that stand still after their data centre has lost all
// instances: a reserve that reaches all runners goes on at once, one that does not once the holder cannot
// run any more what it has left.
func TestReserveIsQuick(t *testing.T) {
	t.Parallel()
	for _, unreached := range []int{0, 1} {
		w := newWorld(1, 6, 32000)
		w.takeOver()
		w.run(time.Second)
		for i := range 6 {
			w.submit(newJob(i+1, false, work.Step{Count: 2, CPU: 14000, Memory: 64, Estimate: 3000}))
		}
		w.run(500 * time.Millisecond)
		former := w.holder()
		lost := former.aliveAt
		former.kill()
		former.disconnect()
		w.run(2500 * time.Millisecond)
		p := reserveTakesOver(w, former)
		p.unreachableRunners = map[string]bool{}
		for i := range unreached {
			p.unreachableRunners[fmt.Sprintf("r%d", i)] = true
		}
		began := w.now
		for len(p.world.resumedFrom) > 0 {
			alive := 0
			for id, r := range w.runners {
				if !p.unreachableRunners[id] {
					alive += len(r.runs)
				}
			}
			if alive >= 10 {
				break
			}
			w.run(10 * time.Millisecond)
			require.Less(t, w.now.Sub(lost), simStoredExtension+2*time.Second)
		}
		if unreached == 0 {
			require.Less(t, w.now.Sub(began), 300*time.Millisecond)
		} else {
			require.True(t, w.now.After(lost.Add(simStoredExtension)))
		}
		w.run(40 * time.Second)
		require.Empty(t, w.violations)
	}
}
