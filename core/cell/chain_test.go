package cell_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/work"
)

// chain draws terms that follow each other within the leases of runners: a holder that is cut off, a
// reserve, and up to four more. Each reaches a drawn part of the runners at first, and the directory
// lacks a drawn part.
type chain struct {
	*world
	t    *rapid.T
	jobs int
}

// millis draws a time.
func (c *chain) millis(label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(c.t, label)) * time.Millisecond
}

// add submits a job to the process that to returns after a time.
func (c *chain) add(to func() *process, at time.Duration, transient bool) {
	c.jobs++
	j := newJob(c.jobs, transient, plainStep(rapid.IntRange(1, 4).Draw(c.t, "tasks")))
	j.Steps[0].Estimate = rapid.SampledFrom([]int{80, 400, 1500, 4000}).Draw(c.t, "estimate")
	c.submitted[j.ID], c.callerWaits[j.ID] = j, true
	c.after(at, func() { c.submitTo(to(), j, false, 0) })
}

// unlistUnnoticed removes a runner from the directory from a time on until another. A holder that is cut
// off from the store does not learn of it.
func (c *chain) unlistUnnoticed(id string, from, until time.Duration) {
	set := func(listed bool) {
		c.runners[id].inDirectory = listed
		if !c.holder().storeUnreachable {
			c.updateDirectory()
		}
	}
	c.after(from, func() { set(false) })
	c.after(until, func() { set(true) })
}

// hide makes a drawn part of the runners unreachable for p, for a time.
func (c *chain) hide(p *process) {
	hidden := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(c.runners)) {
		hidden[id] = rapid.Bool().Draw(c.t, "hidden")
	}
	p.unreachableRunners = hidden
	c.after(c.millis("hidden for", 0, 3000), func() { clear(hidden) })
}

// next ends the term of the current holder in a drawn way, and a next one takes over.
func (c *chain) next() {
	previous := c.holder()
	switch rapid.IntRange(0, 2).Draw(c.t, "how") {
	case 0:
		c.handOver()
	case 1:
		previous.kill()
		c.after(c.millis("claimed after", 600, 900), func() { c.takeOver() })
	default: // lost with its answer to the transfer, which names no runners
		previous.exec(func() { previous.cell.Drain() })
		previous.kill()
		c.takeOver()
	}
}

// TestTermsInQuickSuccession guards against tasks that run twice when terms follow each other before the
// runs of the first are accounted for: one in between must not make the next believe that nothing of a
// holder is left which it has not accounted for itself.
func TestTermsInQuickSuccession(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 6, 32000)
		c := &chain{world: w, t: t}
		w.takeOver()
		w.run(time.Second)
		for range rapid.IntRange(0, 8).Draw(t, "before") {
			c.add(w.holder, c.millis("at", 0, 1500), rapid.Bool().Draw(t, "transient"))
		}
		w.run(1500 * time.Millisecond)
		former := cutHolder(w)
		former.unreachableRunners = map[string]bool{}
		takeover := rapid.SampledFrom([]time.Duration{2500, 4000, 7000}).Draw(t, "takeover") * time.Millisecond
		for _, id := range slices.Sorted(maps.Keys(w.runners)) {
			former.unreachableRunners[id] = rapid.IntRange(0, 3).Draw(t, "former") == 0
			if rapid.Bool().Draw(t, "unlisted") {
				c.unlistUnnoticed(id, c.millis("unlisted at", 0, 2000), takeover+c.millis("listed at", 0, 3000))
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
			former.frozenUntil = w.now.Add(takeover + c.millis("frozen", 0, 2000))
		}
		w.after(takeover, func() { c.hide(reserveTakesOver(w, former)) })
		at := takeover
		for range rapid.IntRange(1, 4).Draw(t, "terms") {
			at += c.millis("gap", 10, 1500)
			w.after(at, func() {
				c.next()
				c.hide(w.holder())
			})
		}
		for range rapid.IntRange(1, 12).Draw(t, "inside") {
			c.add(func() *process { return former }, takeover-time.Second+c.millis("at", 0, 3000), true)
		}
		for range rapid.IntRange(0, 6).Draw(t, "outside") {
			c.add(w.holder, takeover+c.millis("at", 0, 4000), rapid.Bool().Draw(t, "transient"))
		}
		heard := rapid.Bool().Draw(t, "heard")
		w.after(takeover+c.millis("deposed", 0, 3000), func() { c.deposeFormer(former, heard) })
		w.run(takeover + 8*time.Second)
		w.heal()
		for _, r := range w.runners {
			r.inDirectory = true
		}
		w.updateDirectory()
		w.run(60 * time.Second)
		require.Empty(t, w.violations)
		checkSettled(t, w)
	})
}

// deposeFormer ends the term of a holder that learns of a later one. If heard is true, the current holder
// is told which runners it may have left runs on.
func (c *chain) deposeFormer(former *process, heard bool) {
	former.depose()
	if !heard {
		return
	}
	occupied, _ := former.cell.Occupied()
	p := c.holder()
	c.after(c.jitter(), func() { p.exec(func() { p.cell.FormerEnded(c.now, former.epoch, occupied) }) })
}

// TestMiddleTermMissesRunners plays a reserve that hands the cell over before the directory has again a
// runner on which the holder that was cut off has started tasks. The last holder must not start these
// beside their first runs.
func TestMiddleTermMissesRunners(t *testing.T) {
	t.Parallel()
	for _, heard := range []bool{true, false} {
		w := newWorld(1, 3, 32000)
		c := &chain{world: w}
		w.takeOver()
		w.run(time.Second)
		former := cutHolder(w)
		c.unlistUnnoticed("r0", 0, 10500*time.Millisecond)
		w.run(8 * time.Second)
		reserveTakesOver(w, former)
		w.run(time.Second)
		j := newJob(1, true, work.Step{Count: 6, CPU: 16000, Memory: 64, Estimate: 900})
		w.submitted[j.ID], w.callerWaits[j.ID] = j, true
		former.unreachableRunners = map[string]bool{"r1": true, "r2": true} // these have refused it meanwhile
		w.submitTo(former, j, false, 0)
		w.run(50 * time.Millisecond)
		require.Len(t, w.runners["r0"].runs, 2)
		c.deposeFormer(former, heard)
		w.run(30 * time.Millisecond)
		w.handOver()
		w.run(20 * time.Second)
		require.Empty(t, w.violations)
		require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
	}
}
