package eventloop_test

import (
	"context"
	"math"
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

// endless is a job with more occurrences than there can be, as no valid one has.
var endless = work.Job{ID: "endless", Steps: []work.Step{{Count: 2}}, RepeatCount: math.MaxInt, Queue: work.Queue{Name: "q", Service: "s"}}

// TestPanicEndsTerm guards against a submission that ends the process of the holder. It ends the term,
// and the caller learns whether the job can have run.
func TestPanicEndsTerm(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		resubmitted bool
		verdict     cell.Verdict
	}{{false, cell.Refused}, {true, cell.OutcomeUnknown}} {
		synctest.Test(t, func(t *testing.T) {
			var panics atomic.Int64
			logger := log.LoggerFunc(func(pairs ...any) error {
				if pairs[1] == "panic" {
					panics.Add(1)
				}
				return nil
			})
			l := eventloop.New(election.Term{Epoch: 1, Number: 1}, "c0", cell.Settings{}, nil, &memstore.Store{}, clock{}, logger, noMetrics{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go l.Run(ctx)
			time.Sleep(time.Second)
			o, err := l.Submit(ctx, cell.Submission{Job: endless, Caller: "a#1", Resubmitted: test.resubmitted})
			require.NoError(t, err)
			require.Equal(t, cell.Outcome{Verdict: test.verdict, Reason: cell.ReasonFault}, o)
			<-l.Done()
			require.True(t, l.Failed())
			require.Equal(t, int64(1), panics.Load())
			_, err = l.Submit(ctx, cell.Submission{Job: work.Job{ID: "b", Steps: []work.Step{{Count: 1}}}})
			require.ErrorIs(t, err, eventloop.ErrTermOver)
		})
	}
}
