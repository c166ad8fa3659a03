package intakehttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/hangup"
	"gypsumward/core/intake"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/monotonic"
)

const (
	maxHeader = 2000
	maxBody   = 50000
)

// host is a server whose handler reads the body of a POST and replies with its length.
type host struct {
	t      *testing.T
	addr   string
	mu     sync.Mutex
	limits intakehttp.Limits
	kinds  map[intake.Kind]int
	gate   *intake.Gate

	arrived chan struct{} // receives when a request for /wait or /large is handled
}

func (h *host) setLimits(l intakehttp.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = l
}

// seen reports whether a decision of a kind has been observed.
func (h *host) seen(kind intake.Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kinds[kind] > 0
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		h.arrived <- struct{}{}
		<-r.Context().Done()
	}
	if r.URL.Path == "/never" {
		h.t.Error("handled after the connection was closed")
	}
	if r.URL.Path == "/large" {
		h.arrived <- struct{}{}
		_, _ = w.Write(make([]byte, 16<<20))
	}
	if r.Method != http.MethodPost {
		return
	}
	if !hangup.Closed(r.Context()) {
		w.Header().Set("X-Open", "yes")
	}
	if r.URL.Path == "/own" {
		body, err := io.ReadAll(r.Body)
		if !intakehttp.RespondError(w, err) {
			_, _ = fmt.Fprint(w, len(body))
		}
		return
	}
	var size int
	err := intakehttp.ReadBody(r.Context(), r, maxBody, func(body []byte) error { size = len(body); return nil })
	if intakehttp.RespondError(w, err) {
		return
	}
	_, _ = fmt.Fprint(w, size)
}

func newHost(t *testing.T, bytes int64, conns int) *host {
	return startHost(t, bytes, conns, false)
}

// startHost starts a host. If metered is set, all bodies count as they are read.
func startHost(t *testing.T, bytes int64, conns int, metered bool) *host {
	h := &host{t: t, kinds: map[intake.Kind]int{}, arrived: make(chan struct{}), limits: intakehttp.Limits{MaxHeader: maxHeader, HeaderTimeout: time.Second, IdleTimeout: time.Minute}}
	h.gate = &intake.Gate{Bytes: bytes, Conns: conns, Clock: monotonic.Clock{}, Observe: func(kind intake.Kind, _ int64, _ int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.kinds[kind]++
	}}
	s := &intakehttp.Server{Gate: h.gate, MeterBodies: metered, Limits: func() intakehttp.Limits {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.limits
	}}
	l, err := s.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: hangup.WithConn}
	s.Install(server, h)
	done := make(chan struct{})
	go func() { _ = server.Serve(l); close(done) }()
	t.Cleanup(func() { require.NoError(t, server.Close()); <-done })
	h.addr = l.Addr().String()
	return h
}

// client is a connection to a host.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (h *host) dial() *client {
	c, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	return &client{h.t, c, bufio.NewReader(c)}
}

// send writes text, of which a server that has refused it may not take all.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// response reads the next response and returns its status and body; zero if there is none.
func (c *client) response() (int, string) {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	require.NoError(c.t, err)
	if res.StatusCode == http.StatusServiceUnavailable {
		require.Equal(c.t, "1", res.Header.Get("Retry-After"))
	}
	return res.StatusCode, string(body)
}

// header returns a request line and other lines of the given sizes.
func header(method string, first, rest int) string {
	line := method + " /" + strings.Repeat("p", first-len(method)-13) + " HTTP/1.1\r\n"
	return line + "Host: h\r\nX: " + strings.Repeat("x", rest-14) + "\r\n\r\n"
}

func (c *client) expect(status int) {
	c.t.Helper()
	got, body := c.response()
	require.Equal(c.t, status, got, body)
}

// TestHeaderLimit guards against a header of exactly the configured size that is refused, whether or
// not the request line counts, also with the body behind it in the same segment, and against larger
// ones that are served.
func TestHeaderLimit(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	body := strings.Repeat("b", 5000)
	for _, test := range []struct {
		first, rest, status int
	}{
		{100, maxHeader - 102, 200},
		{100, maxHeader, 200},
		{maxHeader, 100, 200},
		{100, maxHeader + 1, 431},
		{maxHeader + 1, 100, 431},
		{100, 10 * maxHeader, 431},
	} {
		c := h.dial()
		c.send(header("GET", test.first, test.rest))
		c.expect(test.status)
		c = h.dial()
		for range 3 {
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + body)
			c.expect(200)
		}
		text := strings.Replace(header("POST", test.first, test.rest-22), "\r\nX: ", "\r\nContent-Length: 5000\r\nX: ", 1)
		c.send(text + body)
		c.expect(test.status)
	}
	require.True(t, h.seen(intakehttp.HeaderTooLarge))
}

// TestConfiguredLimits guards against limits that hold only for connections made after a change.
func TestConfiguredLimits(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	c := h.dial()
	c.send(header("GET", 100, maxHeader))
	c.expect(200)
	h.setLimits(intakehttp.Limits{MaxHeader: 2 * maxHeader})
	c.send(header("GET", 100, 2*maxHeader))
	c.expect(200)
	h.setLimits(intakehttp.Limits{MaxHeader: 100})
	c.send(header("GET", 100, 101))
	c.expect(431)
	h.setLimits(intakehttp.Limits{})
	c = h.dial()
	c.send(header("GET", 100, 1<<20-1000))
	c.expect(200)
}

// TestEmptyLines guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	c := h.dial()
	c.send(strings.Repeat("\r\n", 10*maxHeader))
	got, _ := c.response()
	require.Contains(t, []int{0, 400, 431}, got)
	c = h.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect(200)
	c.expect(200)
}

// TestTimeouts guards against connections that stay open for a client that sends nothing more: in a
// header, in a body, and between requests. One that is slow but steady is served.
func TestTimeouts(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	h.setLimits(intakehttp.Limits{MaxHeader: maxHeader, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second})
	headers, body, idle, steady := h.dial(), h.dial(), h.dial(), h.dial()
	headers.send("GET / HTTP/1.1\r\n")
	body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nb")
	steady.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n")
	for range 20 {
		steady.send("b")
		time.Sleep(30 * time.Millisecond)
	}
	steady.expect(200)
	headers.expect(408)
	body.expect(408)
	idle.expect(0)
	steady.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	steady.expect(200)
	steady.expect(0)
	for _, kind := range []intake.Kind{intakehttp.HeaderTooSlow, intakehttp.BodyTooSlow, intakehttp.IdleTimedOut} {
		require.True(t, h.seen(kind), kind)
	}
}

// TestBodyLimit guards against a body of the largest size that is refused, and larger ones that are not,
// with a declared length and without.
func TestBodyLimit(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	for _, test := range []struct{ size, status int }{{0, 200}, {maxBody, 200}, {maxBody + 1, 413}, {20 * maxBody, 413}} {
		body := strings.Repeat("b", test.size)
		c := h.dial()
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", test.size, body))
		c.expect(test.status)
		c = h.dial()
		chunk := ""
		if test.size > 0 {
			chunk = fmt.Sprintf("%x\r\n%s\r\n", test.size, body)
		}
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n")
		c.expect(test.status)
	}
	require.True(t, h.seen(intakehttp.BodyTooLarge))
}

// TestUnreadBody guards against a connection that waits without bound for a body that the handler has
// not read.
func TestUnreadBody(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	h.setLimits(intakehttp.Limits{HeaderTimeout: time.Minute})
	c := h.dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nb")
	c.expect(200)
	c.expect(0)
}

// TestCapacity guards against bodies that keep out others once there is no memory left: those that have
// stalled get 503, and a small one is served.
func TestCapacity(t *testing.T) {
	t.Parallel()
	h := newHost(t, 4*intake.ConnBytes+20000, 100)
	stalled := h.dial()
	stalled.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("b", 10000)))
	time.Sleep(100 * time.Millisecond)
	large := h.dial()
	large.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("b", maxBody)))
	large.expect(503)
	time.Sleep(intake.StallTime)
	small := h.dial()
	small.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4090\r\n\r\n" + strings.Repeat("b", 4090))
	small.expect(200)
	stalled.expect(503)
	require.True(t, h.seen(intake.BytesRefused))
	require.True(t, h.seen(intake.StalledEvicted))
}

// TestMeteredBody guards against bodies of handlers that read them without ReadBody, and are in no bound.
func TestMeteredBody(t *testing.T) {
	t.Parallel()
	h := startHost(t, 4*intake.ConnBytes+100_000, 100, true)
	h.setLimits(intakehttp.Limits{HeaderTimeout: 300 * time.Millisecond})
	for range 2 {
		c := h.dial()
		for range 2 {
			c.send("POST /own HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000))
			c.expect(200)
		}
		c.send(fmt.Sprintf("POST /own HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("b", maxBody)))
		c.expect(503)
	}
	c := h.dial()
	c.send("POST /own HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\nb")
	c.expect(408)
}

// TestConnections guards against connections beyond the limit: the longest idle one is closed for a new
// one, and if none is, the new one gets 503.
func TestConnections(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 2)
	first := h.dial()
	first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	first.expect(200)
	time.Sleep(100 * time.Millisecond) // until the server has recorded that it is idle
	second := h.dial()
	second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	second.expect(200)
	third := h.dial()
	third.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	third.expect(200)
	first.expect(0)
	second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	second.expect(200)
	for _, c := range []*client{second, third} {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	}
	time.Sleep(100 * time.Millisecond)
	h.dial().expect(503)
	for _, c := range []*client{second, third} {
		c.send("b")
		c.expect(200)
	}
	require.True(t, h.seen(intake.IdleClosed))
	require.True(t, h.seen(intake.ConnRefused))
}

// TestUnreadReplies guards against a client that reads no replies and keeps its connection for the time of
// a write while a new one is refused.
func TestUnreadReplies(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 1)
	unread := h.dial()
	unread.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.arrived
	require.Eventually(t, func() bool {
		c := h.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _ := c.response()
		return status == http.StatusOK && h.seen(intake.UnreadClosed)
	}, 10*time.Second, 10*time.Millisecond)
}

// TestPipelinedRequests guards against a client that keeps its connection by sending requests ahead. The
// context of the one that is being handled ends, and what comes after does not run.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 1)
	ahead := h.dial()
	ahead.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /wait HTTP/1.1\r\nHost: h\r\n\r\nPOST /never HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
	<-h.arrived
	c := h.dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect(200)
	ahead.expect(200)
	ahead.expect(0)
	require.True(t, h.seen(intake.PipelinedClosed))
}

// TestRelease guards against claims that are not given back, by which a server would refuse ever more.
func TestRelease(t *testing.T) {
	t.Parallel()
	h := newHost(t, 1<<24, 100)
	c := h.dial()
	for range 3 {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000))
		c.expect(200)
	}
	used := func(bytes int64, conns int) func() bool {
		return func() bool {
			b, n := h.gate.Used()
			return b == bytes && n == conns
		}
	}
	require.Eventually(t, used(intake.ConnBytes, 1), 10*time.Second, time.Millisecond)
	for i := range 20 {
		d := h.dial()
		d.send([]string{"GET", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nb", header("GET", 50, 3*maxHeader), "x\r\n\r\n"}[i%4])
		_ = d.Close()
	}
	_ = c.Close()
	require.Eventually(t, used(0, 0), 10*time.Second, time.Millisecond)
}
