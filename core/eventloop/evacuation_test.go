package eventloop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/order"
	"gypsumward/core/outage"
)

// silentRunners answer no order.
type silentRunners struct{}

func (silentRunners) Start(ctx context.Context, _ order.Target, _ order.Start) order.Reply {
	<-ctx.Done()
	return order.Reply{}
}

func (silentRunners) Stop(ctx context.Context, _ order.Target, _ order.Stop) order.Reply {
	<-ctx.Done()
	return order.Reply{}
}

func (silentRunners) Hold(ctx context.Context, _ order.Target, _ order.Hold) order.HoldReply {
	<-ctx.Done()
	return order.HoldReply{}
}

// TestEvacuationBeforeRun guards against evacuations that are lost, or hold up their sender, if they are
// posted before the loop runs, and against gauges that do not show them.
func TestEvacuationBeforeRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := eventloop.New(election.Term{Epoch: 1, Number: 1}, "c0", cell.Settings{AwaitEvacuations: true}, silentRunners{}, &outage.Store{}, clock{},
			log.NewNopLogger(), noMetrics{})
		require.True(t, l.Post(cell.Evacuation{Zones: []string{"a"}}))
		capacity := cell.Resources{CPU: 16000, Memory: 64}
		l.Post(cell.DirectoryUpdate{Entries: []cell.RunnerInfo{
			{ID: "r1", Addr: "a1", Service: "s", Zone: "a", Capacity: capacity},
			{ID: "r2", Addr: "a2", Service: "s", Zone: "b", Capacity: capacity, ColdFor: time.Minute},
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		shows := func(runners, cpu, cold int) {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			gotRunners, gotCPU := l.EvacuatedRunners()
			require.Equal(t, []int{runners, cpu, cold}, []int{gotRunners, gotCPU, l.ColdRunners()})
		}
		shows(1, 16000, 1)
		l.Post(cell.Evacuation{})
		shows(0, 0, 1)
		cancel()
		<-l.Done()
	})
}
