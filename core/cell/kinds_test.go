package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

func gangOf(n int, estimate int) work.Step {
	return work.Step{Count: n, CPU: 14000, Memory: 64, Estimate: estimate, Gang: true, Checkpoint: true}
}

// TestGangs lets gangs that fit only one at a time compete with each other and with
// small jobs.
func TestGangs(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	for i := range 4 {
		w.submit(newJob(i+1, i%2 == 0, gangOf(8, 400)))
	}
	for i := range 200 {
		w.after(time.Duration(i)*20*time.Millisecond, func() { w.submit(newJob(100+i, true, plain(2))) })
	}
	w.run(4 * time.Second)
	for i := range 4 {
		id := newJob(i+1, true).ID
		require.False(t, w.open[id], "a gang starves")
	}
	w.run(20 * time.Second)
	settled(t, w)
	require.Zero(t, w.hows[order.Alone])
	require.Zero(t, w.hows[order.Broken])
}

// TestGangTooLarge refuses a gang for which there is never room, and takes one that
// has as many tasks but no need to run them at once.
func TestGangTooLarge(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, true, gangOf(13, 100)))
	w.submit(newJob(2, true, plain(13)))
	w.run(5 * time.Second)
	require.Equal(t, cell.Refused, w.answers[newJob(1, true).ID].Verdict)
	require.Equal(t, cell.Accepted, w.answers[newJob(2, true).ID].Verdict)
}

// TestGangMemberLost lets the runner of one member crash, and the holder then die.
func TestGangMemberLost(t *testing.T) {
	t.Parallel()
	for _, killed := range []bool{false, true} {
		w := newWorld(1, 6, 32000)
		w.takeOver()
		w.run(time.Second)
		w.submit(newJob(1, false, gangOf(6, 2000)))
		w.run(time.Second)
		w.runners["r0"].dead = true
		w.runners["r0"].listed = false
		for _, r := range w.runners {
			for range r.runs {
				w.breakGang(work.Task{Job: newJob(1, false).ID}, 1)
			}
		}
		if killed {
			w.holder().kill()
			w.takeOver()
		}
		w.relist()
		w.run(20 * time.Second)
		settled(t, w)
		require.Zero(t, w.hows[order.Alone])
	}
}

// TestGangMemberRefused lets one runner refuse its member: the others do not wait for
// it until they end alone.
func TestGangMemberRefused(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	w.runners["r2"].unfit = true
	w.submit(newJob(1, true, gangOf(10, 300)))
	w.run(2 * time.Second)
	settled(t, w)
	require.Zero(t, w.hows[order.Alone])
}

// TestGangFails lets a gang fail each time: it has as many attempts as one task.
func TestGangFails(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, gangOf(4, 300))
	j.Spec = "poison"
	w.submit(j)
	w.run(20 * time.Second)
	settled(t, w)
	require.Len(t, w.failures[work.Task{Job: j.ID, Index: -1}], j.Queue.Attempts)
}

// TestLasting lets tasks last through failures, takeovers and lost runners until their
// job is cancelled.
func TestLasting(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, work.Step{Count: 4, CPU: 14000, Memory: 64, Estimate: 500, Lasting: true})
	w.submit(j)
	atWork := func() int {
		n := 0
		for _, r := range w.runners {
			if !r.dead {
				n += len(r.runs)
			}
		}
		return n
	}
	w.run(time.Second)
	require.Equal(t, 4, atWork())
	for range j.Queue.Attempts + 3 {
		for _, r := range w.runners {
			for _, task := range r.tasks() {
				r.end(task, order.Failed)
			}
		}
		w.run(2 * time.Second)
		require.Equal(t, 4, atWork(), "after a failure of all")
	}
	w.holder().kill()
	w.takeOver()
	w.run(2 * time.Second)
	require.Equal(t, 4, atWork(), "after a takeover")
	before := w.hows[order.Lapsed] + w.hows[order.Stopped]
	w.run(20 * time.Second)
	require.Equal(t, before, w.hows[order.Lapsed]+w.hows[order.Stopped], "nothing is stopped without need")
	for _, r := range w.runners {
		if len(r.runs) > 0 {
			r.dead, r.listed = true, false
			break
		}
	}
	w.relist()
	w.run(4 * time.Second)
	require.Equal(t, 4, atWork(), "after a runner was lost")
	p := w.holder()
	p.tell(func() { p.cell.State(w.now, j.ID, func(s work.State) { require.Equal(t, work.Running, s) }) })
	p.tell(func() { p.cell.Cancel(w.now, j.ID, func(work.State, bool) {}) })
	w.run(2 * time.Second)
	require.Zero(t, atWork())
	require.Equal(t, work.Cancelled, w.store.state(j.ID))
	require.Empty(t, w.broken)
}

// TestOccurrences runs a job three times, over a takeover, never before its time.
func TestOccurrences(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 6, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, plain(2), plain(1, 0))
	j.Repeat, j.First, j.Interval = 3, w.now.Add(2*time.Second).UnixMilli(), 1500
	w.submit(j)
	w.run(1900 * time.Millisecond)
	require.Empty(t, w.ended)
	w.run(600 * time.Millisecond)
	require.Len(t, w.ended, 3)
	w.holder().kill()
	w.run(4 * time.Second)
	w.takeOver()
	w.run(500 * time.Millisecond)
	require.Len(t, w.ended, 9, "what came due without a holder is made up for")
	w.run(2 * time.Second)
	settled(t, w)
}

// TestCheckpointsKept lets the holder die after a run was stopped whose checkpoint it
// has acknowledged.
func TestCheckpointsKept(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 32000)
	w.takeOver()
	w.run(time.Second)
	j := newJob(1, false, work.Step{Count: 1, CPU: 14000, Memory: 64, Estimate: 3000, Checkpoint: true})
	w.submit(j)
	w.run(time.Second)
	for _, r := range w.runners {
		for _, task := range r.tasks() {
			r.end(task, order.Lapsed)
		}
	}
	for _, r := range w.runners {
		r.unfit = true
	}
	w.run(400 * time.Millisecond)
	w.holder().kill()
	w.heal()
	w.run(1500 * time.Millisecond)
	task := work.Task{Job: j.ID}
	require.Equal(t, w.savedBy(task)+"1", w.from[task])
	w.run(20 * time.Second)
	settled(t, w)
}

// TestGangEndsHeld lets the store fail before a gang ends: no end of a member is
// acknowledged before the rows tell of it.
func TestGangEndsHeld(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 3, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, false, gangOf(6, 1000)))
	w.run(300 * time.Millisecond)
	w.store.down = true
	w.run(2 * time.Second)
	require.Equal(t, 6, w.hows[order.Finished])
	for id, r := range w.runners {
		require.Len(t, r.ends, 2, id)
	}
	w.store.down = false
	w.run(5 * time.Second)
	settled(t, w)
}
