package peer_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// gate is a connection of which nothing arrives any more once it is shut.
type gate struct {
	net.Conn
	shut chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	select {
	case <-g.shut:
		return len(p), nil
	default:
		return g.Conn.Write(p)
	}
}

// TestCallerLost makes calls that take long, of a peer that stays, one that falls silent
// and one whose connection is closed. The context of the handler must end soon after the
// peer is gone, and not before.
func TestCallerLost(t *testing.T) {
	t.Parallel()
	const noticed = 1125 * time.Millisecond // after the loss, at the latest
	timeout := peer.CallerTimeoutWithin(noticed)
	require.Equal(t, 900*time.Millisecond, timeout)
	for _, test := range []struct {
		name     string
		lose     func(g *gate)
		canceled bool
	}{
		{"stays", func(*gate) {}, false},
		{"silent", func(g *gate) { close(g.shut) }, true},
		{"closed", func(g *gate) { _ = g.Close() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				local, remote := net.Pipe()
				g := &gate{Conn: local, shut: make(chan struct{})}
				s := &peer.Server{Clock: &hlc.Clock{}, CallerTimeout: timeout}
				canceled := make(chan time.Time, 1)
				peer.Handle(s, "wait", func(ctx context.Context, _ order) (order, error) {
					select {
					case <-ctx.Done():
						canceled <- time.Now()
					case <-time.After(10 * time.Second):
					}
					return order{}, nil
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = s.Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: remote, ctx: ctx}) }()
				client := &peer.Client{Clock: &hlc.Clock{}, Timeout: time.Minute, PingInterval: 300 * time.Millisecond}
				client.Dial = func(context.Context, string) (net.Conn, error) { return g, nil }
				go func() { _ = client.Call(ctx, "127.0.0.1:1", "wait", order{}, nil) }()
				time.Sleep(5 * time.Second)
				lost := time.Now()
				test.lose(g)
				time.Sleep(4 * time.Second)
				require.Equal(t, test.canceled, len(canceled) > 0)
				if test.canceled {
					require.LessOrEqual(t, (<-canceled).Sub(lost), noticed)
				}
				cancel()
				client.Close()
				_ = remote.Close()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestPausedServer pauses nothing but the checks: a peer that is silent only because this
// process did not run must not be lost. A single late check stands for the pause.
func TestPausedServer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		held := &held{Conn: remote, until: time.Now().Add(time.Second), from: time.Now().Add(700 * time.Millisecond)}
		s := &peer.Server{Clock: &hlc.Clock{}, CallerTimeout: 900 * time.Millisecond}
		peer.Handle(s, "wait", func(ctx context.Context, _ order) (order, error) {
			select {
			case <-ctx.Done():
				return order{Note: "canceled"}, nil
			case <-time.After(3 * time.Second):
				return order{Note: "done"}, nil
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: held, ctx: ctx}) }()
		client := &peer.Client{Clock: &hlc.Clock{}, Timeout: time.Minute, PingInterval: 350 * time.Millisecond}
		client.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
		var got order
		require.NoError(t, client.Call(ctx, "127.0.0.1:1", "wait", order{}, &got))
		require.Equal(t, "done", got.Note)
		cancel()
		client.Close()
		_ = remote.Close()
		time.Sleep(10 * time.Second)
	})
}

// held is a connection whose bytes are not read for a time.
type held struct {
	net.Conn
	from, until time.Time
}

func (h *held) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if now := time.Now(); !now.Before(h.from) && now.Before(h.until) {
		time.Sleep(h.until.Sub(now))
	}
	return n, err
}
