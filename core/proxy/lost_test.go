package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
)

// TestLostHolders guards against a submission that ends one holder after the other: it is not passed
// on to a third one after two were lost while they had it.
func TestLostHolders(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	first, second, third := startHolder(t, nil), startHolder(t, nil), startHolder(t, accepts)
	crash := func(h, next *holder) {
		h.answer = func(ctx context.Context, _ cell.Submission) (reply, error) {
			go func() {
				h.stop()
				c.follow(next.addr)
			}()
			<-ctx.Done()
			return reply{}, ctx.Err()
		}
	}
	crash(first, second)
	crash(second, third)
	c.follow(first.addr)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	o := c.Submit(ctx, newJob(400), time.Now(), false)
	require.Equal(t, cell.OutcomeUnknown, o.Verdict)
	require.NoError(t, ctx.Err())
	require.Len(t, first.submissions(), 1)
	require.Len(t, second.submissions(), 1)
	require.Empty(t, third.submissions())
}

// TestFaultIsFinal guards against a job that is passed on to the next holder after it has made one end
// its term.
func TestFaultIsFinal(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	for _, verdict := range []cell.Verdict{cell.Refused, cell.OutcomeUnknown} {
		h := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
			return reply{Verdict: verdict, Reason: cell.ReasonFault}, nil
		})
		c.follow(h.addr)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		o := c.Submit(ctx, newJob(400), time.Now(), false)
		cancel()
		require.Equal(t, cell.Outcome{Verdict: verdict, Reason: cell.ReasonFault}, o)
		require.Len(t, h.submissions(), 1)
	}
}
