package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestEndsBeyondAReply guards against finished tasks that are run again: their ends are beyond those
// that a runner lists in a reply, as when the store is down for a while, so the holder, or the next
// one, does not see them.
func TestEndsBeyondAReply(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		takeover bool
	}{{"store down", false}, {"store down, then a takeover", true}} {
		for _, perReply := range []int{1, 5, 500} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(1, 2, 32000)
				w.endsPerReply = perReply
				p := w.takeOver()
				w.run(time.Second)
				for i := range 3 {
					w.submit(newJob(i+1, false, work.Step{Count: 40, CPU: 4000, Estimate: 200}))
				}
				w.run(300 * time.Millisecond)
				w.store.down = true
				w.run(3 * time.Second)
				w.store.down = false
				if test.takeover {
					p.kill()
					w.takeOver()
				}
				w.run(60 * time.Second)
				require.Empty(t, w.violations)
				checkSettled(t, w)
			})
		}
	}
}

// TestAcknowledgementsUnderStarts guards against ends that are not acknowledged for seconds because
// tasks of stored jobs are started on their runner all the while. The bound is the time after which
// the platform counts an end as acknowledged.
func TestAcknowledgementsUnderStarts(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 320000)
	w.takeOver()
	w.run(5 * time.Second)
	for i := range 3 {
		w.submit(newJob(i+1, false, work.Step{Count: 400, CPU: 10000, Estimate: 100}))
	}
	w.run(20 * time.Second)
	require.Empty(t, w.violations)
	checkSettled(t, w)
	require.Less(t, w.runners["r0"].longestAck, 100*time.Millisecond)
}

// TestAcknowledgementsAtRestarts guards against an acknowledgement for one incarnation of a runner
// that makes the next one forget ends which the holder has not seen: tasks of stored jobs are started
// all the while, and the runner restarts under its id again and again.
func TestAcknowledgementsAtRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := newWorld(seed, 1, 320000)
		w.takeOver()
		w.run(10 * time.Second)
		for i := range 4 {
			w.submit(newJob(i+1, false, work.Step{Count: 400, CPU: 10000, Estimate: 2}))
		}
		for i := range 6 {
			at := time.Duration(i+1) * 37 * time.Millisecond
			w.after(at, w.runners["r0"].restart)
			w.after(at+15*time.Millisecond, w.updateDirectory)
		}
		w.run(40 * time.Second)
		require.Empty(t, w.violations)
		checkSettled(t, w)
	}
}
