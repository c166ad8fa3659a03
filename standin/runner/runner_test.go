package runner_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/standin/fault"
	"gypsumward/standin/kind"
	"gypsumward/standin/runner"
)

func newRunner() *runner.Runner {
	s := runner.Default
	s.Times = kind.New()
	return runner.New(s, clockwork.NewRealClock())
}

func call(id string) target.Call {
	return target.Call{ID: id, Kind: "price", TimeLeft: span.Second}
}

// TestRefusalIsTrue checks that refused calls are not in the runner's record and
// that all other calls are in it once. It makes more concurrent calls than there
// are slots.
func TestRefusalIsTrue(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newRunner()
		const calls = 30
		replies := make([]target.Reply, calls)
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() { replies[i] = r.Call(call(fmt.Sprint(i))) })
		}
		wg.Wait()
		started := make(map[string]int)
		for _, start := range r.Starts.List().Starts {
			started[start.ID] = start.Count
		}
		require.Len(t, started, runner.Default.Slots)
		for i, reply := range replies {
			id := fmt.Sprint(i)
			require.Equal(t, id, reply.ID)
			if reply.Refused != "" {
				require.Equal(t, target.RefusedFull, reply.Refused)
				require.Zero(t, started[id])
			} else {
				require.Equal(t, 1, started[id])
				require.JSONEq(t, `{"kind":"price","echo":null}`, string(reply.Output))
			}
		}
	})
}

// TestRefusalReasons checks the reasons for which calls are refused without a
// start, and that a call that fails was started.
func TestRefusalReasons(t *testing.T) {
	t.Parallel()
	r := newRunner()
	late := call("late")
	late.TimeLeft = 0
	require.Equal(t, target.RefusedLate, r.Call(late).Refused)
	require.NoError(t, r.Faults.Switch(fault.Fault{Name: fault.Leaving, On: true}))
	require.Equal(t, target.RefusedLeaving, r.Call(call("leaving")).Refused)
	require.Empty(t, r.Starts.List().Starts)

	require.NoError(t, r.Faults.Switch(fault.Fault{Name: fault.Leaving}))
	require.NoError(t, r.Faults.Switch(fault.Fault{Name: fault.Failkind, On: true, Value: "price"}))
	reply := r.Call(call("fails"))
	require.Empty(t, reply.Refused)
	require.NotEmpty(t, reply.Error)
	require.Len(t, r.Starts.List().Starts, 1)
}
