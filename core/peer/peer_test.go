package peer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type order struct {
	ID   string `json:"id"`
	Note string `json:"note,omitempty"`
}

// instance is a peer that counts the orders it handles.
type instance struct {
	*peer.Server
	release chan struct{} // closed to let "hold" calls return
	arrived chan struct{} // receives a value for each "hold" call that arrives

	mu     sync.Mutex
	counts map[string]int
}

func newInstance() *instance {
	i := &instance{
		Server:  &peer.Server{Clock: &hlc.Clock{}, MaxMessage: 10_000},
		release: make(chan struct{}), arrived: make(chan struct{}, 10), counts: map[string]int{},
	}
	peer.Handle(i.Server, "take", func(_ context.Context, o order) (order, error) {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.counts[o.ID]++
		return o, nil
	})
	peer.Handle(i.Server, "fail", func(context.Context, order) (order, error) {
		return order{}, errors.New("no crew")
	})
	peer.Handle(i.Server, "refuse", func(context.Context, order) (order, error) {
		return order{}, &api.Refusal{Reason: api.ReasonFull, Ran: api.RanNot}
	})
	peer.Handle(i.Server, "long", func(context.Context, order) (order, error) {
		return order{Note: strings.Repeat("x", 20_000)}, nil
	})
	peer.Handle(i.Server, "left", func(ctx context.Context, _ order) (bool, error) {
		_, found := ctx.Deadline()
		return found, nil
	})
	peer.Handle(i.Server, "hold", func(ctx context.Context, o order) (order, error) {
		i.arrived <- struct{}{}
		select {
		case <-i.release:
		case <-ctx.Done():
		}
		return o, nil
	})
	return i
}

// start serves i on addr and returns its address and a function that stops it.
func start(t *testing.T, i *instance, addr string) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Serve(ctx, listener) }()
	stop := sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func newClient(t *testing.T) *peer.Client {
	t.Helper()
	client := &peer.Client{Clock: &hlc.Clock{}, MaxMessage: 10_000}
	t.Cleanup(client.Close)
	return client
}

func TestCall(t *testing.T) {
	t.Parallel()
	i := newInstance()
	counted := make(chan string, 3)
	i.OnCall = func(method string, params, result int) {
		counted <- fmt.Sprint(method, " ", params, " ", result)
	}
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	var got order
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "a"}, &got))
	require.Equal(t, "a", got.ID)
	require.Equal(t, `take 10 10`, <-counted)
	var left bool
	require.NoError(t, client.Call(t.Context(), addr, "left", order{}, &left))
	require.True(t, left)
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "b"}, nil))
}

// Each way in which a call can fail must yield a fault that states whether the call
// was handled.
func TestFaults(t *testing.T) {
	t.Parallel()
	addr, _ := start(t, newInstance(), "127.0.0.1:0")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	long := order{Note: strings.Repeat("x", 20_000)}
	for _, test := range []struct {
		name, addr, method string
		params             any
		ran                api.RunStatus
		code               int64
	}{
		{"no such method", addr, "give", order{}, api.RanNot, jsonrpc2.CodeMethodNotFound},
		{"wrong params", addr, "take", []int{1}, api.RanNot, jsonrpc2.CodeInvalidParams},
		{"params too long", addr, "take", long, api.RanNot, 0},
		{"params not JSON", addr, "take", func() {}, api.RanNot, 0},
		{"no peer", listener.Addr().String(), "take", order{}, api.RanNot, 0},
		{"handler failed", addr, "fail", order{}, api.RanYes, peer.CodeFailed},
		{"answer too long", addr, "long", order{}, api.RanYes, peer.CodeTooLong},
		{"refused", addr, "refuse", order{}, api.RanNot, peer.CodeFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			err := newClient(t).Call(t.Context(), test.addr, test.method, test.params, nil)
			var fault *peer.Fault
			require.ErrorAs(t, err, &fault)
			require.Equal(t, test.ran, peer.Ran(err), err)
			require.Equal(t, test.code, fault.Code, err)
			var refusal *api.Refusal
			require.Equal(t, test.name == "refused", errors.As(err, &refusal))
		})
	}
}

// Calls carry the timestamp of the caller to the peer and that of the peer back, so
// that both hybrid logical clocks advance past it.
func TestTimestampsCarried(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	ahead := newInstance()
	ahead.Clock = &hlc.Clock{Wall: clockwork.NewFakeClockAt(now.Add(3 * time.Second))}
	behind := newInstance()
	behind.Clock = &hlc.Clock{Wall: clockwork.NewFakeClockAt(now.Add(-3 * time.Second))}
	aheadAddr, _ := start(t, ahead, "127.0.0.1:0")
	behindAddr, _ := start(t, behind, "127.0.0.1:0")
	client := newClient(t)
	client.Clock = &hlc.Clock{Wall: clockwork.NewFakeClockAt(now)}
	require.NoError(t, client.Call(t.Context(), aheadAddr, "take", order{}, nil))
	require.True(t, client.Clock.Now().Time().After(now.Add(3*time.Second)))
	require.NoError(t, client.Call(t.Context(), behindAddr, "take", order{}, nil))
	require.True(t, behind.Clock.Now().Time().After(now.Add(3*time.Second)))
}

// A stopping peer must finish the calls in flight and refuse new ones as not run.
func TestStop(t *testing.T) {
	t.Parallel()
	i := newInstance()
	addr, stop := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	holdDone := make(chan error, 1)
	go func() { holdDone <- client.Call(context.Background(), addr, "hold", order{}, nil) }()
	<-i.arrived
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	for {
		err := client.Call(t.Context(), addr, "take", order{ID: "a"}, nil)
		if err != nil {
			require.Equal(t, api.RanNot, peer.Ran(err), err)
			break
		}
	}
	close(i.release)
	require.NoError(t, <-holdDone)
	<-stopped
}

// A call beyond the server's limit of calls in flight must be refused, and one beyond
// the client's limit must wait and not be sent if its context ends first.
func TestBounds(t *testing.T) {
	t.Parallel()
	i := newInstance()
	i.MaxCalls = 1
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	holdDone := make(chan error, 2)
	go func() { holdDone <- client.Call(context.Background(), addr, "hold", order{}, nil) }()
	<-i.arrived
	err := client.Call(t.Context(), addr, "take", order{ID: "a"}, nil)
	var fault *peer.Fault
	require.ErrorAs(t, err, &fault)
	require.Equal(t, peer.CodeBusy, fault.Code)
	require.Equal(t, api.RanNot, fault.Ran)

	narrow := newClient(t)
	narrow.MaxCalls = 1
	ctx, cancel := context.WithCancel(context.Background())
	other := newInstance()
	otherAddr, _ := start(t, other, "127.0.0.1:0")
	go func() { holdDone <- narrow.Call(ctx, otherAddr, "hold", order{}, nil) }()
	<-other.arrived
	waiting, stop := context.WithCancel(t.Context())
	stop()
	require.Equal(t, api.RanNot, peer.Ran(narrow.Call(waiting, otherAddr, "take", order{ID: "a"}, nil)))
	cancel()
	require.Equal(t, api.RanUnknown, peer.Ran(<-holdDone))
	close(i.release)
	close(other.release)
	require.NoError(t, <-holdDone)
	require.Zero(t, i.counts["a"]+other.counts["a"])
}

// Connections break at random moments, also after the peer has read a call or in
// the middle of a response. No call may be handled twice, and none may be handled
// that is reported as not run.
func TestBreaks(t *testing.T) {
	t.Parallel()
	const calls, callers = 400, 8
	i := newInstance()
	addr, _ := start(t, i, "127.0.0.1:0")
	var mu sync.Mutex
	random := rand.New(rand.NewSource(1))
	client := newClient(t)
	client.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		mu.Lock()
		defer mu.Unlock()
		return &breakingConn{Conn: conn, remaining: 200 + random.Intn(4000)}, err
	}
	var group sync.WaitGroup
	errs := make([]error, calls*callers)
	for caller := range callers {
		group.Go(func() {
			for n := caller; n < len(errs); n += callers {
				errs[n] = client.Call(context.Background(), addr, "take", order{ID: strconv.Itoa(n)}, nil)
			}
		})
	}
	group.Wait()
	total := map[api.RunStatus]int{}
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, err := range errs {
		count := i.counts[strconv.Itoa(n)]
		require.LessOrEqual(t, count, 1)
		require.False(t, peer.Ran(err) == api.RanNot && count > 0, err)
		require.False(t, peer.Ran(err) == api.RanYes && count != 1, err)
		total[peer.Ran(err)]++
	}
	require.Positive(t, total[api.RanYes])
	require.Positive(t, total[api.RanUnknown])
}

// breakingConn is a connection that breaks after a number of bytes, counted over both
// directions.
type breakingConn struct {
	net.Conn
	mu        sync.Mutex
	remaining int
}

func (c *breakingConn) consume(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining -= n
	return c.remaining > 0
}

func (c *breakingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if !c.consume(n) {
		_ = c.Close()
	}
	return n, err
}

func (c *breakingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 64)])
	if !c.consume(n) {
		_ = c.Close()
	}
	return n, err
}

// After a peer has restarted at the same address, the client must reconnect instead
// of using the broken connection.
func TestRestart(t *testing.T) {
	t.Parallel()
	addr, stop := start(t, newInstance(), "127.0.0.1:0")
	client := newClient(t)
	client.DialBackoff = time.Nanosecond
	require.NoError(t, client.Call(t.Context(), addr, "take", order{ID: "a"}, nil))
	stop()
	second := newInstance()
	start(t, second, addr)
	require.Eventually(t, func() bool {
		return client.Call(t.Context(), addr, "take", order{ID: "b"}, nil) == nil
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, second.counts["b"])
}

// Connections that are closed as idle while calls start and end must all be closed
// in the end, and no call may be lost or repeated. goleak detects connections that
// stay open.
func TestIdle(t *testing.T) {
	t.Parallel()
	i := newInstance()
	addr, _ := start(t, i, "127.0.0.1:0")
	client := newClient(t)
	client.PingInterval, client.IdleTimeout = time.Millisecond, time.Nanosecond
	var group sync.WaitGroup
	for caller := range 2 {
		group.Go(func() {
			for n := range 400 {
				id := strconv.Itoa(caller) + "-" + strconv.Itoa(n)
				err := client.Call(context.Background(), addr, "take", order{ID: id}, nil)
				i.mu.Lock()
				count := i.counts[id]
				i.mu.Unlock()
				if count > 1 || count > 0 && peer.Ran(err) == api.RanNot || count == 0 && err == nil {
					t.Errorf("call %s handled %d times: %v", id, count, err)
				}
			}
		})
	}
	group.Wait()
	client.Close()
}

func BenchmarkCall(b *testing.B) {
	i := newInstance()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Serve(ctx, listener) }()
	client := &peer.Client{Clock: &hlc.Clock{}}
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Call(ctx, listener.Addr().String(), "take", order{ID: "a"}, nil); err != nil {
			b.Fatal(err)
		}
	}
	client.Close()
	cancel()
	require.NoError(b, <-done)
}
