package intakehttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"gypsumward/core/intake"
	"gypsumward/core/sockopt"
)

// Limits of one request. A zero value of a field stands for its default.
type Limits struct {
	MaxHeader     int64         // bytes of the lines of a header, and of the request line
	HeaderTimeout time.Duration // from the first byte of a header to its end, and between two parts of a body
	IdleTimeout   time.Duration // between requests, and before the first one
}

// Defaults of Limits, those of package net/http and of earlier builds.
const (
	DefaultMaxHeader     = http.DefaultMaxHeaderBytes
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = time.Minute
)

// Kinds of refusals and closes by a Server, besides those of a Gate.
const (
	HeaderTooLarge intake.Kind = "header_too_large" // 431
	HeaderTooSlow  intake.Kind = "header_too_slow"  // 408
	BodyTooLarge   intake.Kind = "body_too_large"   // 413
	BodyTooSlow    intake.Kind = "body_too_slow"    // 408
	IdleTimedOut   intake.Kind = "idle_timed_out"   // closed between requests
)

// Sizes of the send and receive buffers of a connection, in bytes. The system takes twice as much, and
// would let them grow to several megabytes for a client that does not read or sends ahead. What has
// arrived unread counts towards the memory of the machine: if all buffers of all connections that
// intake.LimitsOf allows are full, they take a fifth of it. Callers with a round trip of 50 ms can still
// send a body of 262,144 bytes in 0.4 s, or 0.8 s while there are many connections.
const (
	socketBuffer  = 32 << 10
	crowdedBuffer = 16 << 10 // of connections that are accepted while a crowdedPart of all are open
	crowdedPart   = 4
)

// backlog bounds the connections that the system has established and the server has not accepted yet.
// Their bytes are in no claim.
const backlog = 512

const writeTimeout = 10 * time.Second // of one write; a reply to a client that does not read ends with it

// maxLingering bounds the connections that are refused and still wait for their reply to be read.
const maxLingering = 32

// Server bounds the input of one http.Server. Its exported fields must be set before Install.
type Server struct {
	Gate   *intake.Gate
	Limits func() Limits // returns the limits in force; nil stands for the defaults

	// MeterBodies makes the bodies of all requests count while they are read. It is for handlers that
	// do not use ReadBody.
	MeterBodies bool

	lingering chan struct{}
}

// Install sets the fields of h through which the input is bounded. Handler is called with requests
// whose header is complete. It must be called after other hooks have been set.
func (s *Server) Install(h *http.Server, handler http.Handler) {
	s.lingering = make(chan struct{}, maxLingering)
	h.Handler = s.wrap(handler)
	// The connections enforce the limits of headers and their timeouts.
	h.MaxHeaderBytes = 2 * DefaultMaxHeader
	h.ReadHeaderTimeout, h.IdleTimeout = 0, 0
	nextContext := h.ConnContext
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		return context.WithValue(ctx, key{}, c)
	}
	nextState := h.ConnState
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			own.wait()
		}
		if nextState != nil {
			nextState(c, state)
		}
	}
}

// Listen listens on addr. The connections of the listener are bounded.
func (s *Server) Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: sockopt.Buffers(socketBuffer)}
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		sockopt.SetBacklog(tcp, backlog)
	}
	return &listener{Listener: l, server: s}, nil
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	if l.MaxHeader <= 0 || l.MaxHeader > DefaultMaxHeader {
		l.MaxHeader = DefaultMaxHeader
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// observe passes a decision to the observer of the gate.
func (s *Server) observe(kind intake.Kind) {
	if s.Gate.Observe != nil {
		bytes, conns := s.Gate.Used()
		s.Gate.Observe(kind, bytes, conns)
	}
}

// listener refuses connections for which there is no claim.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that has a claim.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := inner.(*net.TCPConn)
		if !ok {
			return inner, nil
		}
		c := &conn{TCPConn: tcp, server: l.server, since: time.Now()}
		if c.claim = l.server.Gate.Open(c.evict); c.claim != nil {
			if _, conns := l.server.Gate.Used(); conns > l.server.Gate.Conns/crowdedPart {
				_ = tcp.SetReadBuffer(crowdedBuffer)
			}
			return c, nil
		}
		l.refuse(c)
	}
}

// refuse answers 503 to a connection that has no claim, and closes it.
func (l *listener) refuse(c *conn) {
	select {
	case l.server.lingering <- struct{}{}:
		go func() {
			defer func() { <-l.server.lingering }()
			c.respond(http.StatusServiceUnavailable)
			_ = c.TCPConn.Close()
		}()
	default:
		_ = c.TCPConn.Close()
	}
}

// key is the type of the key of a connection in a context.
type key struct{}

// connOf returns the connection that ctx carries, or nil if it carries none of a Server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(key{}).(*conn)
	return c
}

// SetWait records how long the client of the request that ctx belongs to waits for the reply. One that
// waits for longer than intake.LongWait may lose its connection to a new one.
func SetWait(ctx context.Context, d time.Duration) {
	if c := connOf(ctx); c != nil {
		c.claim.SetWait(d)
	}
}

// wrap returns a handler that marks the requests of a connection and bounds the time for the rest of a
// body that next did not read.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin(r.ContentLength != 0) {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		if s.MeterBodies && r.ContentLength != 0 {
			metered := *r
			metered.Body = meteredBody{r.Body, c}
			r = &metered
		}
		next.ServeHTTP(w, r)
		c.finish()
	})
}
