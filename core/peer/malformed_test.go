package peer_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// newEcho starts a server with one method that returns its argument and one that panics,
// and returns its address and the number of panics.
func newEcho(tb testing.TB) (string, *atomic.Int64) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	panics := &atomic.Int64{}
	s := &peer.Server{Clock: &hlc.Clock{}, MaxMessage: 1 << 16, OnPanic: func(string, any) { panics.Add(1) }}
	peer.Handle(s, "echo", func(_ context.Context, v string) (string, error) { return v, nil })
	peer.Handle(s, "panic", func(_ context.Context, v []int) (int, error) { return v[7], nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, listener); close(done) }()
	tb.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String(), panics
}

func requireServes(tb testing.TB, addr string) {
	tb.Helper()
	client := &peer.Client{Clock: &hlc.Clock{}}
	defer client.Close()
	var v string
	require.NoError(tb, client.Call(tb.Context(), addr, "echo", "x", &v))
	require.Equal(tb, "x", v)
}

// TestHandlerPanics checks that a panic of a handler fails its call only.
func TestHandlerPanics(t *testing.T) {
	t.Parallel()
	addr, panics := newEcho(t)
	client := &peer.Client{Clock: &hlc.Clock{}}
	defer client.Close()
	err := client.Call(t.Context(), addr, "panic", []int{1}, nil)
	require.Equal(t, api.RanUnknown, peer.Ran(err))
	require.EqualValues(t, 1, panics.Load())
	requireServes(t, addr)
}

// message returns one message with the given body.
func message(body string) string {
	const header = "Content-Length: 000\r\n\r\n"
	return strings.Replace(header, "000", itoa(len(body)), 1) + body
}

func itoa(n int) string {
	if n == 0 {
		return ""
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

// TestDamagedMessages cuts a message at each byte, flips bits of each byte, and repeats and
// inflates it. The server must go on serving others.
func TestDamagedMessages(t *testing.T) {
	t.Parallel()
	addr, panics := newEcho(t)
	good := message(`{"jsonrpc":"2.0","id":1,"method":"echo","params":"x","meta":{"at":1,"left":"1s"}}`)
	var damaged []string
	for i := range good {
		damaged = append(damaged, good[:i], good[:i]+string(rune(good[i]^1))+good[i+1:], good[:i]+string(rune(good[i]^0x40))+good[i+1:], good[:i]+good[i:i+1]+good[i:])
	}
	damaged = append(damaged, "Content-Length: 99999999999999999999\r\n\r\n{", "Content-Length: -1\r\n\r\n{}", message("["+strings.Repeat("[", 1<<15)), message(`null`), message(`[]`))
	for _, text := range damaged {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, _ = conn.Write([]byte(text))
		require.NoError(t, conn.Close())
	}
	requireServes(t, addr)
	require.Zero(t, panics.Load())
}
