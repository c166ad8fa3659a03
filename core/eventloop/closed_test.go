package eventloop_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/hangup"
	"gypsumward/core/table/memstore"
	"gypsumward/core/work"
)

// TestSubmissionOfClosedConnection guards against a job that is submitted to the cell though the
// connection of its client was closed while the submission was queued.
func TestSubmissionOfClosedConnection(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	var accepted atomic.Int64
	logger := log.LoggerFunc(func(pairs ...any) error {
		if pairs[1] == "accept" {
			accepted.Add(1)
		}
		return nil
	})
	l := eventloop.New(election.Term{Epoch: 1, Number: 1}, "c0", cell.Settings{}, nil, &memstore.Store{}, clock{}, logger, noMetrics{})
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	connected := hangup.WithConn(ctx, server)
	for _, closed := range []bool{false, true} {
		accepted.Store(0)
		busy := make(chan struct{})
		l.Post(blockedMessage{busy})
		limited, stop := context.WithTimeout(connected, time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = l.Submit(limited, cell.Submission{Job: work.Job{
				ID: strconv.FormatBool(closed), Transient: true, Steps: []work.Step{{Count: 1, CPU: 1, Estimate: 1}},
				Queue: work.Queue{Name: "q", Service: "s"},
			}, Caller: "a#1", Resubmitted: true})
		}()
		time.Sleep(50 * time.Millisecond) // until it is queued
		if closed {
			require.NoError(t, client.Close())
			require.Eventually(t, func() bool { return hangup.Closed(connected) }, 5*time.Second, time.Millisecond)
		}
		close(busy)
		<-done
		stop()
		require.Equal(t, !closed, accepted.Load() == 1)
	}
	cancel()
	<-l.Done()
}

// blockedMessage blocks the loop until a channel is closed.
type blockedMessage struct{ until chan struct{} }

func (m blockedMessage) Apply(*cell.Cell, time.Time) { <-m.until }
