package proxy_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/hangup"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// TestNoAttemptForClosedConnection guards against a further attempt for a client whose connection is
// closed, before its context has ended.
func TestNoAttemptForClosedConnection(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	client, server := connect(t)
	connected := hangup.WithConn(t.Context(), server)
	h := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
		_ = client.Close()
		for !hangup.Closed(connected) {
			time.Sleep(time.Millisecond)
		}
		return reply{Verdict: cell.HandingOver}, nil
	})
	c.follow(h.addr)
	o := c.Submit(connected, newJob(1200), time.Now(), false)
	require.Equal(t, cell.Refused, o.Verdict)
	require.Len(t, h.submissions(), 1)
}

// TestClosedConnectionSparesHolder guards against a holder that counts as unreachable since a client
// has closed its connection.
func TestClosedConnectionSparesHolder(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	client, server := connect(t)
	connected := hangup.WithConn(t.Context(), server)
	dial := c.Client.Dial
	c.Client.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		_ = client.Close()
		for !hangup.Closed(connected) {
			time.Sleep(time.Millisecond)
		}
		return dial(ctx, addr)
	}
	h := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
		return reply{Verdict: cell.Accepted}, nil
	})
	c.follow(h.addr)
	o := c.Submit(connected, newJob(1200), time.Now(), false)
	require.Equal(t, cell.Refused, o.Verdict)
	require.Empty(t, h.submissions())
	require.True(t, c.Connected())
	require.Zero(t, c.FailingSince())
}
