package peer_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// TestDelayedCall guards against a call that has waited unread while the process was paused: its
// caller may have given up. The handler gets what is left of the caller's time, and does not run
// if there is nothing left.
func TestDelayedCall(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			local, remote := net.Pipe()
			s := &peer.Server{Clock: &hlc.Clock{}, Delay: func() time.Duration { return delay }}
			var left time.Duration
			peer.Handle(s, "look", func(ctx context.Context, _ order) (order, error) {
				deadline, _ := ctx.Deadline()
				left = time.Until(deadline)
				return order{}, nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = s.Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: remote, ctx: ctx}) }()
			client := &peer.Client{Clock: &hlc.Clock{}, Timeout: 1500 * time.Millisecond}
			client.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
			err := client.Call(ctx, "127.0.0.1:1", "look", order{}, nil)
			if delay > client.Timeout {
				require.Equal(t, api.RanNot, peer.Ran(err))
				require.Zero(t, left, "the handler ran")
			} else {
				require.NoError(t, err)
				require.Equal(t, client.Timeout-delay, left)
			}
			cancel()
			client.Close()
			_ = remote.Close()
			time.Sleep(10 * time.Second)
		})
	}
}
