package attempt_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/attempt"
)

func TestAttempt(t *testing.T) {
	t.Parallel()
	require.Nil(t, attempt.From(t.Context()))
	attempt.From(t.Context()).Receive(1)
	signs := 0
	a := &attempt.Attempt{OnReceive: func() { signs++ }}
	got := attempt.From(a.WithContext(t.Context()))
	require.Same(t, a, got)
	got.Receive(0)
	bytes, last := a.Received()
	require.Zero(t, bytes)
	require.True(t, last.IsZero())
	got.Receive(2)
	got.Receive(3)
	bytes, last = a.Received()
	require.Equal(t, int64(5), bytes)
	require.False(t, last.IsZero())
	require.Equal(t, 2, signs)
}
