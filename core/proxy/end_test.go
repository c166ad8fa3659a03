package proxy_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
	"gypsumward/core/table/memstore"
)

// TestEndReported guards against later holders that wait for runs which a former one has not left: it must
// report the end of its term to the holder that it learns of, and to the one that follows.
func TestEndReported(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	var mu sync.Mutex
	var epochs []int64
	later := func() string {
		s := &peer.Server{Clock: &hlc.Clock{}, DrainTimeout: time.Millisecond}
		peer.Handle(s, "cell.holder/c0", func(_ context.Context, m struct {
			Epoch int64 `json:"epoch"`
		},
		) (struct{}, error) {
			mu.Lock()
			defer mu.Unlock()
			epochs = append(epochs, m.Epoch)
			return struct{}{}, nil
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = s.Serve(t.Context(), listener) }()
		return listener.Addr().String()
	}
	reports := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(epochs)
	}
	c.NewLoop = func(term election.Term) *eventloop.Loop {
		return eventloop.New(term, "c0", cell.Settings{}, nil, &memstore.Store{}, clock{}, log.NewNopLogger(), noMetrics{})
	}
	c.follow("127.0.0.1:1")
	c.BeginTerm(election.Term{Epoch: c.epoch, Number: 1})
	l := c.CurrentLoop()
	l.Depose("end of the test")
	<-l.Done()
	for n := range 2 {
		c.follow(later())
		require.Eventually(t, func() bool { return reports() == n+1 }, 4*time.Second, time.Millisecond)
	}
	require.Equal(t, []int64{l.Term.Epoch, l.Term.Epoch}, epochs)
}
