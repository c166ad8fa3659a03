package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/promise"
	"gypsumward/core/table/memstore"
)

type noMetrics struct{}

func (noMetrics) Count(string, int)             {}
func (noMetrics) Observe(string, time.Duration) {}

// TestPreviousAlive guards against a new holder that takes the previous one to have been alive
// later than it was, and so keeps the runs of callers that were lost with it for too long.
func TestPreviousAlive(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	h := startHolder(t, accepts)
	c.follow(h.addr)
	var term election.Term
	c.NewLoop = func(t election.Term) *eventloop.Loop {
		term = t
		return eventloop.New(t, "c0", cell.Settings{}, nil, &memstore.Store{}, clock{}, log.NewNopLogger(), noMetrics{})
	}
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	go c.ExchangeHellos(ctx)
	require.Eventually(t, c.HolderReachable, 5*time.Second, time.Millisecond)
	h.stop()
	stopped := time.Now()
	time.Sleep(300 * time.Millisecond)
	cancel()
	c.BeginTerm(election.Term{Epoch: 2, Number: 2})
	l := c.CurrentLoop()
	l.Depose("end of the test")
	<-l.Done()
	require.True(t, term.PreviousAlive.After(began))
	require.True(t, term.PreviousAlive.Before(stopped))
}

// answerHello makes a fake holder answer hello messages as the holder.
func answerHello(context.Context, promise.Hello) (promise.HelloReply, error) {
	return promise.HelloReply{Leading: true, Incarnation: "h@1", Timestamp: time.Now().UnixNano()}, nil
}
