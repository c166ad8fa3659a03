package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
)

// TestStartsAtOnce guards against start orders without bound for jobs of many small tasks: at one runner, at
// all together, and against tasks that are not started once others have been answered.
func TestStartsAtOnce(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	o := &orders{}
	c := cell.New(cell.Term{Cell: "c0", Epoch: 1, TermNumber: 1}, cell.Settings{MaxStarts: 40}, now)
	c.Orders, c.Store = o, o
	c.ExtendLease(now.Add(time.Hour))
	c.LoadJobs(now, nil, nil)
	runners := []cell.RunnerInfo{}
	for _, id := range []string{"r", "s"} {
		runners = append(runners, cell.RunnerInfo{ID: id, Service: "s", Incarnation: 7, Capacity: cell.Resources{CPU: 14000, Memory: 1000}})
	}
	c.UpdateDirectory(now, runners)
	for i, r := range runners {
		c.HoldAnswered(now, r.ID, o.holds[i], int64(i+1), order.HoldReply{Verdict: order.Done, Clock: 100, Incarnation: 7})
	}
	j := newJob(1, true, plainStep(200))
	j.Steps[0].CPU, j.Steps[0].Memory = 1, 1
	c.Submit(now, cell.Submission{Job: *j, Caller: "x"}, func(cell.Outcome) {})
	c.RunPass(now)
	require.Len(t, o.starts, 40)
	inFlight := map[string]int{}
	for _, to := range o.to {
		inFlight[to]++
		require.LessOrEqual(t, inFlight[to], 32)
	}
	for n := 0; n < len(o.starts); n++ {
		c.StartAnswered(now, o.to[n], o.starts[n], order.Reply{Verdict: order.Done, Clock: 101})
		c.RunPass(now)
		require.LessOrEqual(t, len(o.starts)-n-1, 40)
	}
	require.Len(t, o.starts, 200)
}
