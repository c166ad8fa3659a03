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
	"gypsumward/core/outage"
)

// TestLoadOverNarrowLink guards against a holder that never knows its jobs since each page of their
// rows takes longer than a call may, and begins anew.
func TestLoadOverNarrowLink(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const transfer = 2 * time.Second
		s := &outage.Store{Transfer: transfer}
		l := eventloop.New(election.Term{Epoch: 1, Number: 1}, "c0", cell.Settings{}, nil, s, clock{}, log.NewNopLogger(), noMetrics{})
		s.Set("c0/"+cell.TableJobs+"/odd", []byte("{}"))
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		time.Sleep(2 * transfer)
		_, err := l.Pending(ctx, "q")
		require.NoError(t, err)
		cancel()
		<-l.Done()
	})
}
