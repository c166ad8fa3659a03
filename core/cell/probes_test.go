package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestLatePollReply guards against a runner that is asked nothing any more, and keeps its runs booked, since
// it has replied to a long poll from before its orders were made void.
func TestLatePollReply(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	w.takeOver()
	w.run(time.Second)
	w.submit(newJob(1, true, work.Step{Count: 1, CPU: 8000, Estimate: 200}))
	w.run(50 * time.Millisecond)
	r := w.runners["r0"]
	require.Len(t, r.runs, 1)
	r.unreachable, r.refusesConns = true, true // new calls
	j := newJob(2, true, work.Step{Count: 1, CPU: 8000, Estimate: 200})
	w.submit(j)
	w.run(400 * time.Millisecond)
	require.Empty(t, r.runs)
	w.join("r1")
	w.run(2 * time.Second)
	require.Equal(t, work.Succeeded, w.outcomes[j.ID].State)
	w.heal()
	w.run(10 * time.Second)
	require.Empty(t, w.violations)
	checkSettled(t, w)
}

// TestReplacedRunnerGetsNoStarts guards against start orders without end to a runner at whose address another
// one answers: each of their replies released all runs there, and their tasks started there again.
func TestReplacedRunnerGetsNoStarts(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	w.run(time.Second)
	w.runners["r0"].loseAddress()
	w.submit(newJob(1, true, work.Step{Count: 32, CPU: 1000, Estimate: 200}))
	w.run(100 * time.Millisecond)
	require.LessOrEqual(t, p.startsSent["r0"], 64)
	w.heal()
	w.updateDirectory()
	w.run(10 * time.Second)
	checkSettled(t, w)
}
