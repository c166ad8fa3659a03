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
