package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/hangup"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// TestEndedCallNotSent guards against a call that is sent though its context has ended before.
func TestEndedCallNotSent(t *testing.T) {
	t.Parallel()
	i := newInstance()
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "a"}, nil))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		require.Equal(t, api.RanNot, peer.Ran(client.Call(ctx, addr, "take", order{ID: "b"}, nil)))
	}
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "a"}, nil))
	i.mu.Lock()
	defer i.mu.Unlock()
	require.Zero(t, i.counts["b"])
}

// TestCallNotSentAfterItsEnd guards against a call that waits behind one that cannot be written, and
// is sent after its caller has given up.
func TestCallNotSentAfterItsEnd(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	i := newInstance()
	ctx, cancel := context.WithCancel(t.Context())
	client := &peer.Client{Clock: &hlc.Clock{}, PingInterval: time.Minute}
	client.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
	go func() { _ = client.Call(ctx, "127.0.0.1:1", "take", order{ID: "a"}, nil) }()
	time.Sleep(50 * time.Millisecond)
	limited, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	require.Equal(t, api.RanUnknown, peer.Ran(client.Call(limited, "127.0.0.1:1", "take", order{ID: "b"}, nil)))
	stop()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = i.Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: remote, ctx: ctx})
	}()
	require.NoError(t, client.Call(ctx, "127.0.0.1:1", "take", order{ID: "c"}, nil))
	time.Sleep(50 * time.Millisecond)
	i.mu.Lock()
	require.Equal(t, map[string]int{"a": 1, "c": 1}, i.counts)
	i.mu.Unlock()
	client.Close()
	cancel()
	<-served
}

// TestCallOfClosedConnectionNotSent guards against a call that is sent for a client whose connection
// was closed while the call waited for a connection to the peer.
func TestCallOfClosedConnectionNotSent(t *testing.T) {
	t.Parallel()
	i := newInstance()
	addr, _ := start(t, i, "127.0.0.1:0")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	outer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	connected := hangup.WithConn(t.Context(), accepted)
	client := newClient(t)
	client.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		_ = outer.Close()
		for !hangup.Closed(connected) {
			time.Sleep(time.Millisecond)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	require.Equal(t, api.RanNot, peer.Ran(client.Call(connected, addr, "take", order{ID: "a"}, nil)))
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "b"}, nil))
	i.mu.Lock()
	defer i.mu.Unlock()
	require.Equal(t, map[string]int{"b": 1}, i.counts)
}
