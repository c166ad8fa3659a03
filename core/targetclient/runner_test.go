package targetclient_test

import (
	"context"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// TestRunnerAnswers guards against replies that are taken for an outcome although
// they are malformed, truncated, contradictory or for another call, and against a
// second send of the call after such a reply.
func TestRunnerAnswers(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		answer string // response to the call with id "a"
		ran    api.RunStatus
		whole  bool
	}{
		{"output", message(200, `{"id":"a","output":{"price":7}}`), api.RanYes, true},
		{"failed", message(200, `{"id":"a","failed":"no crew"}`), api.RanYes, true},
		{"refused", message(503, `{"id":"a","refused":"leaving"}`), api.RanNot, true},
		{"refused another", message(503, `{"id":"b","refused":"leaving"}`), api.RanUnknown, false},
		{"refused without reason", message(503, `{"id":"a"}`), api.RanUnknown, false},
		{"refused with output", message(503, `{"id":"a","refused":"full","output":1}`), api.RanUnknown, false},
		{"unavailable", message(503, `busy`), api.RanUnknown, false},
		{"refused as success", message(200, `{"id":"a","refused":"full"}`), api.RanUnknown, false},
		{"another id", message(200, `{"id":"b","output":1}`), api.RanUnknown, false},
		{"no id", message(200, `{"output":1}`), api.RanUnknown, false},
		{"error status", message(500, `{"id":"a","output":1}`), api.RanUnknown, false},
		{"empty", message(200, ``), api.RanUnknown, false},
		{"half a message", message(200, `{"id":"a","output":{"pri`), api.RanUnknown, false},
		{"two messages", message(200, `{"id":"a","output":1}{"id":"a","output":2}`), api.RanUnknown, false},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + `{"id":"a","output":1}`, api.RanUnknown, false},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n" + `{"id":"a","output":1}` + "\r\n", api.RanUnknown, false},
		{"too long", message(200, `{"id":"a","output":"`+strings.Repeat("x", 2000)+`"}`), api.RanUnknown, false},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100_000), api.RanUnknown, false},
		{"not HTTP", "hello\r\n\r\n", api.RanUnknown, false},
		{"nothing", "", api.RanUnknown, false},
		{"redirect 302", "HTTP/1.1 302 X\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n", api.RanUnknown, false},
		{"redirect 307", "HTTP/1.1 307 X\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n", api.RanUnknown, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, test.answer)
				return false
			})
			runner := &targetclient.Runner{MaxBytes: 1000}
			defer runner.Close()
			got := runner.Run(t.Context(), s.Addr, target.Call{ID: "a"})
			require.Equal(t, test.ran, got.Ran, got.Err)
			require.Equal(t, test.whole, got.Err == "", got.Err)
			require.False(t, got.Unreachable)
			require.Equal(t, 1, s.count("a"))
			if !test.whole {
				require.Equal(t, target.Reply{}, got.Reply)
			}
		})
	}
}

// TestRunnerNotReached guards against a call that counts as possibly run although no
// connection was established, and against a cancelled call that counts as an
// unreachable runner.
func TestRunnerNotReached(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	runner := &targetclient.Runner{}
	defer runner.Close()
	got := runner.Run(t.Context(), addr, target.Call{ID: "a"})
	require.Equal(t, api.RanNot, got.Ran)
	require.True(t, got.Unreachable)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got = runner.Run(ctx, addr, target.Call{ID: "a"})
	require.Equal(t, api.RanNot, got.Ran)
	require.False(t, got.Unreachable)
}

// TestRunnerSilent has a runner that accepts a call and never replies. It guards
// against a wrong outcome when the calls are cancelled: the call that was sent may
// have run, the call that waits for a free connection has not.
func TestRunnerSilent(t *testing.T) {
	t.Parallel()
	callRead := make(chan struct{})
	release := make(chan struct{})
	s := serve(t, func(net.Conn, int, string) bool {
		close(callRead)
		<-release
		return false
	})
	defer close(release)
	runner := &targetclient.Runner{Conns: 1}
	defer runner.Close()
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan targetclient.Outcome, 1)
	go func() { first <- runner.Run(ctx, s.Addr, target.Call{ID: "a"}) }()
	<-callRead
	second := make(chan targetclient.Outcome, 1)
	waiting, stop := context.WithCancel(t.Context())
	go func() { second <- runner.Run(waiting, s.Addr, target.Call{ID: "b"}) }()
	stop()
	got := <-second
	require.Equal(t, api.RanNot, got.Ran)
	require.False(t, got.Unreachable)
	cancel()
	require.Equal(t, api.RanUnknown, (<-first).Ran)
	require.Equal(t, 0, s.count("b"))
}

// TestRunnerOutOfStep has a runner that replies to each call on a connection with the
// reply to the previous one. It guards against the delivery of a reply to the wrong
// call, and against further use of the connection, on which all later replies are
// out of step as well.
func TestRunnerOutOfStep(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var previous string // id of the previous call; the server has one connection at a time
	s := serve(t, func(conn net.Conn, n int, id string) bool {
		mu.Lock()
		defer mu.Unlock()
		answered := id
		if n > 0 {
			answered = previous
		}
		previous = id
		return write(conn, message(200, `{"id":"`+answered+`","output":1}`))
	})
	runner := &targetclient.Runner{Conns: 1}
	defer runner.Close()
	ran := map[string]api.RunStatus{}
	for _, id := range []string{"a", "b", "c", "d"} {
		got := runner.Run(t.Context(), s.Addr, target.Call{ID: id})
		ran[id] = got.Ran
		require.Equal(t, got.Ran == api.RanYes, got.Succeeded())
	}
	require.Equal(t, map[string]api.RunStatus{
		"a": api.RanYes, "b": api.RanUnknown, "c": api.RanYes, "d": api.RanUnknown,
	}, ran)
}

// TestRunnerAnsweredTwice has a runner that sends each reply twice. It guards against
// the delivery of a second reply to the next call, whether the reply arrives before
// or after that call is sent.
func TestRunnerAnsweredTwice(t *testing.T) {
	t.Parallel()
	s := serve(t, func(conn net.Conn, _ int, id string) bool {
		reply := message(200, `{"id":"`+id+`","output":"`+id+`"}`)
		return write(conn, reply+reply)
	})
	runner := &targetclient.Runner{Conns: 1}
	defer runner.Close()
	for n := range 50 {
		id := strconv.Itoa(n)
		got := runner.Run(t.Context(), s.Addr, target.Call{ID: id})
		require.True(t, !got.Succeeded() || string(got.Reply.Output) == `"`+id+`"`)
	}
}

// TestRunnerNeverResends guards against calls that the HTTP transport sends again
// after it finds a connection closed. The runner closes connections at any time:
// when idle, after half a reply, and after reading a call on a reused connection.
func TestRunnerNeverResends(t *testing.T) {
	t.Parallel()
	const calls, callers = 300, 8
	var mu sync.Mutex
	random := rand.New(rand.NewSource(1))
	s := serve(t, func(conn net.Conn, _ int, id string) bool {
		mu.Lock()
		fault := random.Intn(5)
		mu.Unlock()
		reply := message(200, `{"id":"`+id+`","output":1}`)
		switch fault {
		case 0:
			return false
		case 1:
			return write(conn, reply[:len(reply)/2]) && false
		case 2:
			return write(conn, reply) && false
		}
		return write(conn, reply)
	})
	runner := &targetclient.Runner{Conns: 4}
	defer runner.Close()
	var group sync.WaitGroup
	outcomes := make([]targetclient.Outcome, calls*callers)
	for caller := range callers {
		group.Go(func() {
			for n := caller; n < len(outcomes); n += callers {
				outcomes[n] = runner.Run(t.Context(), s.Addr, target.Call{ID: strconv.Itoa(n)})
			}
		})
	}
	group.Wait()
	total := map[api.RunStatus]int{}
	for n, outcome := range outcomes {
		count := s.count(strconv.Itoa(n))
		require.LessOrEqual(t, count, 1, "call %d", n)
		require.False(t, outcome.Ran == api.RanNot && count != 0, "call %d ran: %s", n, outcome.Err)
		require.False(t, outcome.Ran == api.RanYes && count != 1, "call %d did not run", n)
		total[outcome.Ran]++
	}
	require.Positive(t, total[api.RanYes])
	require.Positive(t, total[api.RanUnknown])
}
