package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// A call to a frozen peer must end within two ping intervals of silence, while a slow
// handler of a healthy peer must not end it.
func TestSilence(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		serve func(conn net.Conn)
		want  time.Duration
		ran   api.RunStatus
	}{
		{"answers nothing", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, 5 * time.Second, api.RanUnknown},
		{"slow", nil, 30 * time.Second, api.RanYes},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				local, remote := net.Pipe()
				i := newInstance()
				serve := test.serve
				ctx, cancel := context.WithCancel(t.Context())
				if serve == nil {
					serve = func(conn net.Conn) {
						_ = i.Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: conn, ctx: ctx})
					}
				}
				go serve(remote)
				client := &peer.Client{Clock: &hlc.Clock{}, Timeout: time.Minute}
				client.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
				timer := time.AfterFunc(30*time.Second, func() { close(i.release) })
				defer timer.Stop()
				begin := time.Now()
				err := client.Call(t.Context(), "127.0.0.1:1", "hold", order{}, nil)
				require.Equal(t, test.ran, peer.Ran(err), err)
				require.LessOrEqual(t, time.Since(begin), test.want)
				client.Close()
				cancel()
				_ = remote.Close()
			})
		})
	}
}

// A peer that does not read must be detected while a call is being written.
func TestReadsNothing(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	client := &peer.Client{Clock: &hlc.Clock{}, Timeout: time.Hour, PingInterval: 200 * time.Millisecond}
	client.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
	defer client.Close()
	err := client.Call(context.Background(), "127.0.0.1:1", "take", order{ID: "a"}, nil)
	require.Equal(t, api.RanUnknown, peer.Ran(err), err)
}

// singleListener is a listener that accepts one connection.
type singleListener struct {
	once  sync.Once
	conns chan net.Conn
	conn  net.Conn
	ctx   context.Context
}

func (l *singleListener) Accept() (net.Conn, error) {
	l.once.Do(func() { l.conns <- l.conn })
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *singleListener) Close() error   { return nil }
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzServer sends arbitrary bytes to a server, which must neither panic nor fail to
// stop.
func FuzzServer(f *testing.F) {
	f.Add("Content-Length: 40\r\n\r\n" + `{"jsonrpc":"2.0","id":1,"method":"take"}`)
	f.Add("Content-Length: 4000000000\r\n\r\n" + strings.Repeat(" ", 40_000))
	f.Add(strings.Repeat("x", 40_000))
	f.Add("Content-Length: 20\r\n\r\n[{\"method\":\"take\"}] ")
	f.Fuzz(func(t *testing.T, data string) {
		local, remote := net.Pipe()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- newInstance().Serve(ctx, &singleListener{conns: make(chan net.Conn, 1), conn: remote, ctx: ctx})
		}()
		go func() { _, _ = io.Copy(io.Discard, local) }()
		_, _ = io.WriteString(local, data)
		_ = local.Close()
		cancel()
		require.NoError(t, <-done)
	})
}
