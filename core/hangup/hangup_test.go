package hangup_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/hangup"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestClosed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		end  func(client *net.TCPConn) error
	}{
		{"closed", (*net.TCPConn).Close},
		{"half closed", (*net.TCPConn).CloseWrite},
		{"reset", func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			ctx := hangup.WithConn(context.Background(), server)
			require.False(t, hangup.Closed(ctx))
			require.NoError(t, test.end(client))
			require.Eventually(t, func() bool { return hangup.Closed(ctx) }, 5*time.Second, time.Millisecond)
			require.True(t, hangup.Closed(ctx), "a second look")
		})
	}
}

// TestUnread checks that nothing is read, and that bytes that were not read yet keep a connection open.
func TestUnread(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	ctx := hangup.WithConn(context.Background(), server)
	_, err := client.Write([]byte("more"))
	require.NoError(t, err)
	require.Never(t, func() bool { return hangup.Closed(ctx) }, 20*time.Millisecond, time.Millisecond)
	read := make([]byte, 4)
	_, err = io.ReadFull(server, read)
	require.NoError(t, err)
	require.Equal(t, "more", string(read))
}

func TestOwnEnd(t *testing.T) {
	t.Parallel()
	_, server := connect(t)
	require.NoError(t, server.Close())
	require.True(t, hangup.Closed(hangup.WithConn(context.Background(), server)))
}

// TestNoSocket checks that a connection that cannot be examined counts as open.
func TestNoSocket(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	defer func() { require.NoError(t, remote.Close()) }()
	require.NoError(t, local.Close())
	require.False(t, hangup.Closed(hangup.WithConn(context.Background(), local)))
	require.False(t, hangup.Closed(context.Background()))
}

// TestRequestReadAfterReset guards against a request that a server reads from a connection that its
// client has reset, and takes for one whose client waits.
func TestRequestReadAfterReset(t *testing.T) {
	t.Parallel()
	began, resume, closed := make(chan struct{}, 1), make(chan struct{}), make(chan bool, 1)
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		ConnContext:       hangup.WithConn,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			<-resume
			_, _ = io.ReadAll(r.Body)
			closed <- hangup.Closed(r.Context())
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { require.NoError(t, server.Close()) }()
	for _, reset := range []bool{false, true} {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.Copy(client, strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"))
		require.NoError(t, err)
		<-began
		if reset {
			require.NoError(t, client.(*net.TCPConn).SetLinger(0))
			require.NoError(t, client.Close())
			time.Sleep(50 * time.Millisecond)
		}
		resume <- struct{}{}
		require.Equal(t, reset, <-closed)
		_ = client.Close()
	}
}
