package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/eventloop"
	"gypsumward/core/proxy"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// rowStore is a store whose rows are all there.
type rowStore struct{ value string }

func (s rowStore) Read(ctx context.Context, r table.Read) (table.Found, error) {
	if s.value == "" || r.Keys[0] != "c0/jobs/j" {
		return emptyStore{}.Read(ctx, r)
	}
	return table.Found{Rows: []table.Row{{Key: r.Keys[0], Version: 1, Value: []byte(s.value)}}}, nil
}

// TestCancelAtHandover guards against an acknowledged cancellation that nobody carries out: the
// term of the holder that has it ends, and the row of the job is there. The next holder must get
// it.
func TestCancelAtHandover(t *testing.T) {
	t.Parallel()
	for _, last := range []eventloop.Cancelled{{State: work.Unknown}, {State: work.Unknown, Stored: true}} {
		c := newCaller(t)
		c.Store = rowStore{"{}"}
		former, next := startHolder(t, accepts), startHolder(t, accepts)
		former.cancelled = func() eventloop.Cancelled { return last }
		next.cancelled = func() eventloop.Cancelled { return eventloop.Cancelled{State: work.Cancelled, Stored: true} }
		c.follow(former.addr)
		time.AfterFunc(50*time.Millisecond, func() { c.follow(next.addr) })
		a, err := c.Cancel(t.Context(), "j")
		require.NoError(t, err)
		require.True(t, a.Known)
		require.Equal(t, work.Cancelled, a.State)
	}
}

// TestCancelNotDone has holders that do not end the job. The caller must not hear that it has
// ended.
func TestCancelNotDone(t *testing.T) {
	t.Parallel()
	for _, answer := range []eventloop.Cancelled{{State: work.Unknown}, {State: work.Unknown, Stored: true}, {State: work.Cancelled}} {
		c := newCaller(t)
		c.Store = rowStore{"{}"}
		h := startHolder(t, accepts)
		h.cancelled = func() eventloop.Cancelled { return answer }
		c.follow(h.addr)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err := c.Cancel(ctx, "j")
		cancel()
		require.ErrorIs(t, err, proxy.ErrNoHolder)
	}
}

// TestCancelUnknown cancels a job that neither the holder nor the rows know.
func TestCancelUnknown(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	h := startHolder(t, accepts)
	h.cancelled = func() eventloop.Cancelled { return eventloop.Cancelled{State: work.Unknown, Stored: true} }
	c.follow(h.addr)
	a, err := c.Cancel(t.Context(), "j")
	require.NoError(t, err)
	require.False(t, a.Known)
}
