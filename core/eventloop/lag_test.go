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
	"gypsumward/core/table/memstore"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type noMetrics struct{}

func (noMetrics) Count(string, int)             {}
func (noMetrics) Observe(string, time.Duration) {}

// slowMessage stands for a message that a slow machine takes d to process.
type slowMessage struct{ d time.Duration }

func (m slowMessage) Apply(*cell.Cell, time.Time) { time.Sleep(m.d) }

// TestLag slows the processing of messages down. The lag must show it, and vanish when the
// load is gone.
func TestLag(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := eventloop.New(election.Term{Epoch: 1, Number: 1}, "c0", cell.Settings{}, nil, &memstore.Store{}, clock{}, log.NewNopLogger(), noMetrics{})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		time.Sleep(6 * time.Second)
		require.Less(t, l.Overload().Lag(), time.Millisecond)
		for range 40 {
			l.Post(slowMessage{150 * time.Millisecond})
			time.Sleep(151 * time.Millisecond)
		}
		require.Greater(t, l.Overload().Lag(), 40*time.Millisecond)
		time.Sleep(10 * time.Second)
		require.Less(t, l.Overload().Lag(), 5*time.Millisecond)
		cancel()
		<-l.Done()
	})
}
