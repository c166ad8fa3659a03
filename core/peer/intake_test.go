package peer_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/intake"
	"gypsumward/core/monotonic"
	"gypsumward/core/peer"
)

// unfinished sends the beginning of a message that declares size bytes.
func unfinished(t *testing.T, addr string, size, sent int) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n\"%s", size, strings.Repeat("x", sent))
}

// requireClosed waits until the server has closed a connection.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn)
	require.NotErrorIs(t, err, net.ErrClosed)
}

// TestUnfinishedMessages guards against a server that keeps messages without end of many callers: their
// memory is bounded, and a caller is served meanwhile.
func TestUnfinishedMessages(t *testing.T) {
	t.Parallel()
	const sent, copies = 20_000, 3
	i := newInstance()
	var decisions atomic.Int64 // each closes a connection
	i.Gate = &intake.Gate{Bytes: 300_000, Conns: 100, Clock: monotonic.Clock{}, Observe: func(intake.Kind, int64, int) { decisions.Add(1) }}
	i.MaxMessage = 1 << 20
	addr, _ := start(t, i, "127.0.0.1:0")
	for n := range 8 {
		unfinished(t, addr, 1<<20, sent)
		require.Eventually(t, func() bool {
			used, conns := i.Gate.Used()
			return conns+int(decisions.Load()) == n+1 && used >= int64(conns)*(intake.ConnBytes+copies*sent)
		}, 10*time.Second, time.Millisecond, "all input has been read")
	}
	used, _ := i.Gate.Used()
	require.Greater(t, used, int64(200_000))
	require.NoError(t, newClient(t).Call(t.Context(), addr, "take", order{ID: "a"}, nil))
	used, conns := i.Gate.Used()
	require.LessOrEqual(t, used, int64(300_000+300_000/4))
	require.Less(t, conns, 8)
}

// TestSilentConnections guards against silent connections that keep out a caller.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	i := newInstance()
	i.Gate = &intake.Gate{Bytes: 1 << 24, Conns: 4, Clock: monotonic.Clock{}}
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "a"}, nil))
	held := make(chan error, 1)
	go func() { held <- client.Call(t.Context(), addr, "hold", order{ID: "b"}, nil) }()
	<-i.arrived
	for range 8 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		time.Sleep(10 * time.Millisecond)
	}
	require.NoError(t, newClient(t).Call(t.Context(), addr, "take", order{ID: "c"}, nil))
	close(i.release)
	require.NoError(t, <-held, "a call in flight")
}

// TestCallWithoutRoom guards against parameters of calls in flight that are in no bound. The refusal
// says that the call has not run.
func TestCallWithoutRoom(t *testing.T) {
	t.Parallel()
	i := newInstance()
	i.Gate = &intake.Gate{Bytes: intake.ConnBytes + 20_000, Conns: 4, Clock: monotonic.Clock{}}
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	note := string(make([]byte, 500)) // 3,000 bytes of JSON
	errs := make(chan error, 4)
	for n := range 4 {
		go func() { errs <- client.Call(t.Context(), addr, "hold", order{ID: itoa(n), Note: note}, nil) }()
		if n < 3 {
			<-i.arrived
		}
	}
	err := <-errs
	require.Error(t, err)
	require.NotEqual(t, api.RanYes, peer.Ran(err))
	close(i.release)
}

// TestStalledMessage guards against a connection that waits without bound for the rest of a message.
func TestStalledMessage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		i := newInstance()
		i.Gate = &intake.Gate{Bytes: 1 << 24, Conns: 4, Clock: monotonic.Clock{}}
		go func() {
			_ = i.Serve(t.Context(), &singleListener{conns: make(chan net.Conn, 1), conn: remote, ctx: t.Context()})
		}()
		_, err := io.WriteString(local, "Content-Length: 100\r\n\r\n\"x")
		require.NoError(t, err)
		begin := time.Now()
		requireClosed(t, local)
		require.LessOrEqual(t, time.Since(begin), 6*time.Second)
	})
}
