package cell_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// sink accepts all orders and writes of a cell.
type sink struct{}

func (sink) Start(order.Target, order.Start)      {}
func (sink) Stop(order.Target, order.Stop)        {}
func (sink) Hold(order.Target, order.Hold, int64) {}
func (sink) Write(int64, table.Write)             {}

// newCell returns a loaded cell with one runner and one job of two steps that runs there.
func newCell(tb testing.TB, rows ...table.Row) (*cell.Cell, time.Time) {
	tb.Helper()
	now := time.Unix(1000, 0)
	c := cell.New(cell.Term{Cell: "c0", HolderKey: "k", Epoch: 3, TermNumber: 1}, cell.Settings{}, now)
	c.Orders, c.Store, c.Log = sink{}, sink{}, log.NewNopLogger()
	c.ExtendLease(now.Add(time.Hour))
	c.UpdateDirectory(now, []cell.RunnerInfo{{ID: "r", Addr: "a", Service: "s", Incarnation: 5, Capacity: cell.Resources{CPU: 32000, Memory: 1 << 20}}})
	c.LoadJobs(now, rows, rows)
	c.LoadEnds(now, rows)
	c.Submit(now, cell.Submission{Job: *newJob(1, true, plainStep(1), plainStep(1, 0))}, func(cell.Outcome) {})
	return c, now
}

// answer passes a reply of the runner to a hold under the current token to c.
func answer(c *cell.Cell, now time.Time, running []order.ActiveRun, ends []order.EndedRun) {
	token := int64(3<<16) + 2 // the second fencing, since the rows were loaded after the directory
	c.HoldAnswered(now, "r", order.Hold{Token: token}, 0, order.HoldReply{Verdict: order.Done, Clock: 10, Incarnation: 5, Running: running, Ends: ends})
	c.RunPass(now)
	c.Tick(now.Add(time.Second))
}

// TestOddTasks lets a runner report runs and ends of tasks that no job can have. The cell
// must treat them as those of unknown tasks.
func TestOddTasks(t *testing.T) {
	t.Parallel()
	for _, n := range []int{-1, 2, 1 << 40, math.MaxInt, math.MinInt, math.MaxInt/2 + 1} {
		for _, task := range []work.Task{
			{Job: "0000000000000001", Occurrence: n}, {Job: "0000000000000001", Step: n}, {Job: "0000000000000001", Index: n}, {Job: "x", Occurrence: n, Step: n, Index: n},
		} {
			c, now := newCell(t)
			answer(c, now, []order.ActiveRun{{Task: task, Run: n, Percent: 1e300}}, []order.EndedRun{{Number: 1, Task: task, Run: n, Reason: order.Finished, Checkpoint: "x"}})
			require.False(t, c.Deposed())
		}
	}
}

// FuzzRows loads rows of any content. The cell must not panic.
func FuzzRows(f *testing.F) {
	f.Add("c0/jobs/a", []byte(`{"id":"a","steps":[{"count":2,"cpu":1}],"queue":{"name":"q","service":"s","attempts":2,"stretch":1.5,"target":60}}`))
	f.Add("c0/progress/a", []byte(`{"done":[[0,1],[-1]],"fails":[{"step":9,"index":1,"runs":[1]}],"saved":[{"step":-1,"index":0,"run":1,"value":"x"}]}`))
	f.Add("c0/ends/a", []byte(`{"state":"succeeded"}`))
	f.Add("", []byte(`null`))
	f.Add("c0/jobs/a", []byte(`{"id":"a","steps":[{"count":-5}]}`))
	f.Add("c0/jobs/b", []byte(`{"id":"b","steps":[{"count":2}],"repeat":9223372036854775807}`))
	f.Add("c0/jobs/b", []byte(`{"id":"b","steps":[{"count":2,"memory":9223372036854775807,"estimate":9223372036854775807}],"repeat":4611686018427387904}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		row := table.Row{Key: key, Version: 2, Value: json.RawMessage(value)}
		job := table.Row{Key: "c0/jobs/a", Version: 1, Value: json.RawMessage(`{"id":"a","steps":[{"count":2,"cpu":1}],"queue":{"name":"q","service":"s"}}`)}
		c, now := newCell(t, job, row)
		answer(c, now, nil, nil)
	})
}
