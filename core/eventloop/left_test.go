package eventloop_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/table/memstore"
	"gypsumward/core/work"
)

// TestSubmissionOfEndedCaller guards against a job that is submitted to the cell though its caller
// has given up while the submission was queued.
func TestSubmissionOfEndedCaller(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
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
		time.Sleep(time.Second)
		submission := cell.Submission{Job: work.Job{
			ID: "j", Transient: true, Steps: []work.Step{{Count: 1, CPU: 1, Estimate: 1}},
			Queue: work.Queue{Name: "q", Service: "s"},
		}, Caller: "a#1", Resubmitted: true}
		l.Post(slowMessage{100 * time.Millisecond})
		limited, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		_, err := l.Submit(limited, submission)
		stop()
		require.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(time.Second)
		require.Zero(t, accepted.Load())
		waiting, leave := context.WithCancel(ctx)
		go func() { _, _ = l.Submit(waiting, submission) }()
		time.Sleep(time.Second)
		require.EqualValues(t, 1, accepted.Load(), "the caller waits")
		leave()
		cancel()
		<-l.Done()
	})
}
