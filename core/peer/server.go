package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
	"gypsumward/core/intake"
)

// Defaults of Server.
const (
	DefaultMaxConns     = 1024
	DefaultDrainTimeout = 5 * time.Second
)

const methodPing = "ping"

// handler handles the calls of one method.
type handler func(ctx context.Context, params json.RawMessage) (any, *jsonrpc2.Error)

// Server serves calls of peers. Its fields and handlers must be set before Run or
// Serve.
type Server struct {
	Addr         string        // IP number and port to listen on
	Clock        *hlc.Clock    // must be set
	MaxConns     int           // open connections, further ones are closed; zero means DefaultMaxConns
	MaxCalls     int           // calls in flight on one connection, further ones are refused; zero means DefaultMaxCalls
	MaxMessage   int64         // bytes of one message; zero means DefaultMaxMessage
	DrainTimeout time.Duration // time for calls in flight to finish when Run ends; zero means DefaultDrainTimeout

	// Gate bounds the connections and the memory for messages and for the parameters of calls in
	// flight. A call for which there is no room is refused, a message closes its connection. Nil means
	// that only the limits above hold.
	Gate *intake.Gate

	// CallerTimeout is the time without a byte from a peer after which its connection is closed
	// if calls of it are in flight. Zero means that it is not. The contexts of the calls in flight
	// on a connection are canceled at once when it is closed, by either side.
	CallerTimeout time.Duration

	// Delay returns the longest time for which a message that is read now may have waited unread.
	// It is taken from the time left to the caller; a call without any is refused. It may be nil.
	Delay func() time.Duration

	// OnCall is called with the method of each call that was handled and the lengths of its
	// parameters and its result. It must not block and may be nil.
	OnCall func(method string, params, result int)

	// OnCallerLost is called when calls in flight are canceled because of CallerTimeout, with the
	// address of the peer, the time since its last byte and the number of calls. It must not block
	// and may be nil.
	OnCallerLost func(addr string, silence time.Duration, calls int)

	// OnPanic is called with the method and the value when a handler has panicked. The call
	// fails and may have had an effect. It may be nil.
	OnPanic func(method string, value any)

	handlers map[string]handler
	running  sync.WaitGroup // calls in flight
	mu       sync.Mutex
	stopping bool
	conns    map[*jsonrpc2.Conn]bool
}

// Handle registers the handler of a method. It must be called before Run. It panics
// if the method already has a handler or is the internal ping.
//
// If h returns a *Fault or an *api.Refusal, its Ran tells the caller whether the
// work ran. Any other error means that it ran and failed.
func Handle[P, R any](s *Server, method string, h func(context.Context, P) (R, error)) {
	if s.handlers == nil {
		s.handlers = map[string]handler{}
	}
	if s.handlers[method] != nil || method == methodPing {
		panic(duplicateMethod + method)
	}
	s.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, *jsonrpc2.Error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, newError(jsonrpc2.CodeInvalidParams, err.Error(), errorData{Ran: api.RanNot})
		}
		result, err := h(ctx, params)
		if err != nil {
			return nil, encodeError(err)
		}
		return result, nil
	}
}

const duplicateMethod = "peer: method has a handler: "

// Run listens on Addr and serves until ctx ends. It then refuses new calls and waits
// up to DrainTimeout for calls in flight. It returns nil if ctx has ended.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Serve(ctx, listener)
}

// Serve is like Run but uses the given listener, which it closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.setDefaults()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var err error
	for err == nil {
		var conn net.Conn
		conn, err = listener.Accept()
		if err == nil {
			s.serve(context.WithoutCancel(ctx), conn)
		}
	}
	_ = listener.Close()
	s.drain()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

// serve starts to serve one connection, or closes it if there are too many or the
// server is stopping.
func (s *Server) serve(ctx context.Context, netConn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.conns) >= s.MaxConns {
		_ = netConn.Close()
		return
	}
	var claim *connClaim
	if s.Gate != nil {
		c := s.Gate.Open(func(intake.Kind) { _ = netConn.Close() })
		if c == nil {
			_ = netConn.Close()
			return
		}
		claim = &connClaim{claim: c}
	}
	bounded := &boundedConn{Conn: netConn, maxMessage: s.MaxMessage, writeTimeout: DefaultWriteTimeout, claim: claim}
	handler := serverHandler{
		server:   s,
		claim:    claim,
		slots:    make(chan struct{}, s.MaxCalls),
		refusals: make(chan struct{}, s.MaxCalls),
		running:  &sync.WaitGroup{},
	}
	ctx, cancel := context.WithCancel(ctx)
	conn := jsonrpc2.NewConn(ctx, newStream(bounded),
		handler, jsonrpc2.SetLogger(discardLogger{}))
	s.conns[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		claim.close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	go func() {
		defer cancel()
		if s.CallerTimeout > 0 {
			s.watchCaller(conn, bounded, handler)
		} else {
			<-conn.DisconnectNotify()
			handler.running.Wait()
		}
	}()
}

// CallerTimeoutWithin returns the longest CallerTimeout with which the loss of a peer is
// noticed within d of its last byte.
func CallerTimeoutWithin(d time.Duration) time.Duration {
	return d * silenceChecks / (silenceChecks + 1)
}

// silenceChecks is how often in succession a connection must have received nothing until
// its peer counts as silent. A pause of this process counts as one check.
const silenceChecks = 4

// watchCaller returns when the peer of conn has been silent for CallerTimeout while calls
// of it were in flight, or when the connection is closed and no call is in flight.
func (s *Server) watchCaller(conn *jsonrpc2.Conn, bounded *boundedConn, handler serverHandler) {
	ticker := time.NewTicker(s.CallerTimeout / silenceChecks)
	defer ticker.Stop()
	silent, last := 0, bounded.lastReceived.Load()
	for range ticker.C {
		received, busy := bounded.lastReceived.Load(), len(handler.slots) > 0
		silent++
		if received != last || !busy {
			silent, last = 0, received
		}
		if silent == silenceChecks {
			if s.OnCallerLost != nil {
				s.OnCallerLost(bounded.RemoteAddr().String(), time.Since(time.Unix(0, last)), len(handler.slots))
			}
			_ = conn.Close()
			return
		}
		select {
		case <-conn.DisconnectNotify():
			if !busy {
				return
			}
		default:
		}
	}
}

// drain waits up to DrainTimeout for the calls in flight and closes all connections,
// which cancels the contexts of handlers that are still running.
func (s *Server) drain() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	timer := time.NewTimer(s.DrainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	s.mu.Lock()
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// setDefaults replaces zero values of fields by their defaults.
func (s *Server) setDefaults() {
	if s.MaxConns == 0 {
		s.MaxConns = DefaultMaxConns
	}
	if s.MaxCalls == 0 {
		s.MaxCalls = DefaultMaxCalls
	}
	if s.MaxMessage == 0 {
		s.MaxMessage = DefaultMaxMessage
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = DefaultDrainTimeout
	}
	s.conns = map[*jsonrpc2.Conn]bool{}
}

// serverHandler handles the messages of one connection.
type serverHandler struct {
	server   *Server
	claim    *connClaim
	slots    chan struct{} // semaphore of the calls in flight
	refusals chan struct{} // semaphore of the refusals being sent
	running  *sync.WaitGroup
}

// Handle starts the handler of a call or refuses the call. Notifications are ignored.
func (h serverHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	s := h.server
	m := decodeMeta(req.Meta)
	s.Clock.Merge(m.Timestamp)
	refusal := h.admit(req)
	if refusal != nil {
		h.refuse(ctx, conn, &jsonrpc2.Response{ID: req.ID, Error: refusal})
		return
	}
	h.running.Go(func() {
		defer s.running.Done()
		defer func() { <-h.slots }()
		defer h.claim.endCall(paramsSize(req))
		s.serveCall(ctx, conn, req, m)
	})
}

// refuse sends a refusal without blocking the reader. It closes the connection if
// the peer sends calls but does not read refusals.
func (h serverHandler) refuse(ctx context.Context, conn *jsonrpc2.Conn, res *jsonrpc2.Response) {
	select {
	case h.refusals <- struct{}{}:
		go func() {
			defer func() { <-h.refusals }()
			h.server.reply(ctx, conn, res)
		}()
	default:
		_ = conn.Close()
	}
}

// admit reserves a slot for the call and counts it as running, or returns the error
// with which the call is refused.
func (h serverHandler) admit(req *jsonrpc2.Request) *jsonrpc2.Error {
	s := h.server
	notRun := errorData{Ran: api.RanNot}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return newError(CodeStopping, "the instance is stopping", notRun)
	case req.Method != methodPing && s.handlers[req.Method] == nil:
		return newError(jsonrpc2.CodeMethodNotFound, "no such method", notRun)
	}
	if !h.claim.beginCall(paramsSize(req)) {
		return newError(CodeBusy, ErrNoMemory.Error(), notRun)
	}
	select {
	case h.slots <- struct{}{}:
		s.running.Add(1)
		return nil
	default:
		h.claim.endCall(paramsSize(req))
		return newError(CodeBusy, "too many calls in flight", notRun)
	}
}

// paramsSize returns the length of the parameters of a call.
func paramsSize(req *jsonrpc2.Request) int {
	if req.Params == nil {
		return 0
	}
	return len(*req.Params)
}

// serveCall runs the handler of an admitted call and sends the response.
func (s *Server) serveCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, m meta) {
	expired := false
	if m.Timeout > 0 {
		left := m.Timeout.Duration() - s.delay()
		expired = left <= 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	res := &jsonrpc2.Response{ID: req.ID}
	var result any
	switch {
	case req.Method == methodPing:
	case expired || ctx.Err() != nil:
		res.Error = newError(CodeExpired, "the caller's time is over or its connection is closed", errorData{Ran: api.RanNot})
	default:
		params := json.RawMessage("null")
		if req.Params != nil {
			params = *req.Params
		}
		result, res.Error = s.callHandler(ctx, req.Method, params)
		defer s.countCall(req.Method, len(params), res)
	}
	if res.Error == nil {
		res.Error = setResult(res, result, s.MaxMessage)
	}
	s.reply(ctx, conn, res)
}

// delay returns the longest time for which a message that is read now may have waited unread.
func (s *Server) delay() time.Duration {
	if s.Delay == nil {
		return 0
	}
	return s.Delay()
}

// countCall passes a call that was handled to OnCall.
func (s *Server) countCall(method string, params int, res *jsonrpc2.Response) {
	if s.OnCall == nil {
		return
	}
	result := 0
	if res.Result != nil {
		result = len(*res.Result)
	}
	s.OnCall(method, params, result)
}

// callHandler calls the handler of a method. A panic of the handler fails the call only.
func (s *Server) callHandler(ctx context.Context, method string, params json.RawMessage) (result any, e *jsonrpc2.Error) {
	defer func() {
		if v := recover(); v != nil {
			if s.OnPanic != nil {
				s.OnPanic(method, v)
			}
			result, e = nil, newError(CodeFailed, "the handler panicked", errorData{Ran: api.RanUnknown})
		}
	}()
	return s.handlers[method](ctx, params)
}

// reply sends a response. If this fails, the outcome is unknown to the caller.
func (s *Server) reply(ctx context.Context, conn *jsonrpc2.Conn, res *jsonrpc2.Response) {
	res.Meta = meta{Timestamp: s.Clock.Now()}.encode()
	_ = conn.SendResponse(ctx, res)
}

// setResult sets the result of a response, or returns an error if the result cannot
// be encoded or is longer than limit bytes.
func setResult(res *jsonrpc2.Response, result any, limit int64) *jsonrpc2.Error {
	if err := res.SetResult(result); err != nil {
		return newError(CodeFailed, err.Error(), errorData{Ran: api.RanYes})
	}
	if int64(len(*res.Result)) > limit {
		res.Result = nil
		return newError(CodeTooLong, ErrTooLong.Error(), errorData{Ran: api.RanYes})
	}
	return nil
}
