package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// orders records the orders of a cell.
type orders struct {
	starts []order.Start
	to     []string // runners that the starts were sent to
	stops  []order.Stop
	holds  []order.Hold
	last   int64 // ticket of the last hold
}

func (o *orders) Start(to order.Target, s order.Start) {
	o.starts, o.to = append(o.starts, s), append(o.to, to.ID)
}
func (o *orders) Stop(_ order.Target, s order.Stop) { o.stops = append(o.stops, s) }
func (o *orders) Hold(_ order.Target, h order.Hold, ticket int64) {
	o.holds, o.last = append(o.holds, h), ticket
}

// Write implements cell.Store. Transient jobs write nothing.
func (o *orders) Write(int64, table.Write) {}

// TestOvertakenReply passes a reply that shows a run after the one with the end of that run, of
// the same millisecond on the clock of the runner. The runner has room then, and nothing is to
// be stopped.
func TestOvertakenReply(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	o := &orders{}
	c := cell.New(cell.Term{Cell: "c0", Epoch: 1, TermNumber: 1}, cell.Settings{}, now)
	c.Orders, c.Store = o, o
	c.ExtendLease(now.Add(time.Hour))
	c.LoadJobs(now, nil, nil)
	c.UpdateDirectory(now, []cell.RunnerInfo{{ID: "r", Service: "s", Incarnation: 7, Capacity: cell.Resources{CPU: 14000, Memory: 1000}}})
	answer := func(clock int64, running []order.ActiveRun, ends []order.EndedRun) {
		now = now.Add(time.Millisecond)
		hold := o.holds[len(o.holds)-1]
		c.HoldAnswered(now, "r", hold, o.last, order.HoldReply{Verdict: order.Done, Clock: clock, Incarnation: 7, Running: running, Ends: ends})
		c.RunPass(now)
	}
	answer(100, nil, nil)
	var states []work.State
	submit := func(n int) {
		c.Submit(now, cell.Submission{Job: *newJob(n, true, plainStep(1)), Caller: "x"}, func(o cell.Outcome) { states = append(states, o.State) })
		c.RunPass(now)
	}
	submit(1)
	require.Len(t, o.starts, 1)
	first := o.starts[0]
	c.StartAnswered(now, "r", first, order.Reply{Verdict: order.Done, Clock: 101})
	running := []order.ActiveRun{{Task: first.Task, Run: first.Run, Percent: 99}}
	answer(200, nil, []order.EndedRun{{Number: 1, Task: first.Task, Run: first.Run, Reason: order.Finished}})
	require.Equal(t, []work.State{work.Succeeded}, states)
	answer(200, running, nil)
	submit(2)
	require.Len(t, o.starts, 2, "the runner has room")
	require.Empty(t, o.stops)
}
