package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// TestCallOfClosedConnection guards against work that is started for a caller whose connection was
// closed after its call had been read.
func TestCallOfClosedConnection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		s := &peer.Server{Clock: &hlc.Clock{}, Delay: func() time.Duration {
			_ = local.Close()
			time.Sleep(10 * time.Millisecond)
			return 0
		}}
		var handled atomic.Bool
		peer.Handle(s, "take", func(context.Context, order) (order, error) {
			handled.Store(true)
			return order{}, nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: remote, ctx: ctx}) }()
		client := &peer.Client{Clock: &hlc.Clock{}}
		client.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
		require.Equal(t, api.RanUnknown, peer.Ran(client.Call(ctx, "127.0.0.1:1", "take", order{}, nil)))
		time.Sleep(time.Second)
		require.False(t, handled.Load())
		cancel()
		client.Close()
		_ = remote.Close()
		time.Sleep(10 * time.Second)
	})
}

// TestLongCallsLeaveRoom guards against calls whose callers wait for long and which take all calls to a peer,
// so that others are not sent.
func TestLongCallsLeaveRoom(t *testing.T) {
	t.Parallel()
	i := newInstance()
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	client.MaxCalls, client.LongCall = 4, time.Minute
	call := func(timeout time.Duration, method string) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return client.Call(ctx, addr, method, order{ID: "a"}, nil)
	}
	held := make(chan error, 4)
	for range 3 {
		go func() { held <- call(time.Hour, "hold") }()
		<-i.arrived
	}
	go func() { held <- call(time.Hour, "hold") }()
	err := <-held
	require.Equal(t, api.RanNot, peer.Ran(err))
	require.NoError(t, call(time.Minute, "take"))
	close(i.release)
	for range 3 {
		require.NoError(t, <-held)
	}
	require.NoError(t, call(time.Hour, "take"))
}
