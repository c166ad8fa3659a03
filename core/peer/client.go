package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/hlc"
)

// Defaults of Client.
const (
	DefaultDialTimeout  = time.Second
	DefaultTimeout      = 10 * time.Second
	DefaultPingInterval = 2 * time.Second
	DefaultIdleTimeout  = time.Minute
	DefaultDialBackoff  = 200 * time.Millisecond
)

// Client calls methods of peers. Its fields must be set before the first call, and it
// must not be copied after it. It is safe for concurrent use.
type Client struct {
	Clock        *hlc.Clock    // must be set
	MaxCalls     int           // calls in flight to one peer, further ones wait; zero means DefaultMaxCalls
	MaxMessage   int64         // bytes of one message; zero means DefaultMaxMessage
	Timeout      time.Duration // time for a call whose context has no deadline; zero means DefaultTimeout
	PingInterval time.Duration // time without data from the peer before a ping, and time for the response to it; zero means DefaultPingInterval
	IdleTimeout  time.Duration // time without calls after which a connection is closed; zero means DefaultIdleTimeout
	DialBackoff  time.Duration // time from a failed dial to the next one; zero means DefaultDialBackoff

	// LongCall is the time to its deadline from which on a call is long. Long calls are refused with
	// CodeBusy while they would take more than three quarters of MaxCalls, so that others are sent.
	// Zero means that no call is long.
	LongCall time.Duration

	// Dial connects to a peer. If it is nil, the client uses TCP and allows
	// DefaultDialTimeout.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	initOnce sync.Once
	mu       sync.Mutex
	closed   bool
	links    map[string]*link
	watchers sync.WaitGroup // goroutines that watch connections
}

// Call calls a method of the peer at addr and decodes its result into result, which
// must be a pointer, or discards it if result is nil. Every error is a *Fault.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	c.initOnce.Do(c.setDefaults)
	fault := c.call(ctx, addr, method, params, result)
	if fault == nil {
		return nil
	}
	fault.Addr, fault.Method = addr, method
	return fault
}

// Close closes all connections. Calls in flight end with api.RanUnknown, later ones
// are not sent and end with api.RanNot.
func (c *Client) Close() {
	c.initOnce.Do(c.setDefaults)
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = map[string]*link{}
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	c.watchers.Wait()
}

// call is like Call but leaves Addr and Method of the fault empty.
func (c *Client) call(ctx context.Context, addr, method string, params, result any) *Fault {
	raw, err := json.Marshal(params)
	if err != nil {
		return notRun(err)
	}
	if int64(len(raw)) > c.MaxMessage {
		return notRun(ErrTooLong)
	}
	if _, found := ctx.Deadline(); !found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	if ctx.Err() != nil {
		return notRun(ctx.Err())
	}
	l := c.acquire(addr)
	if l == nil {
		return &Fault{Ran: api.RanNot, Text: "client is closed"}
	}
	defer c.release(l)
	if c.LongCall > 0 && timeLeft(ctx).Duration() > c.LongCall {
		if l.longCalls.Add(1) > int64(longCallsPart(c.MaxCalls)) {
			l.longCalls.Add(-1)
			return &Fault{Ran: api.RanNot, Code: CodeBusy, Text: "too many long calls in flight"}
		}
		defer l.longCalls.Add(-1)
	}
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		return notRun(ctx.Err())
	}
	return l.call(ctx, method, raw, result)
}

// longCallsPart returns how many of calls may be long.
func longCallsPart(calls int) int { return calls - max(1, calls/4) }

// acquire returns the link to a peer for use by one call, or nil if the client is
// closed. The call must release it.
func (c *Client) acquire(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	l := c.links[addr]
	if l == nil {
		l = &link{
			client:  c,
			addr:    addr,
			slots:   make(chan struct{}, c.MaxCalls),
			dialing: make(chan struct{}, 1),
		}
		c.links[addr] = l
	}
	l.users++
	return l
}

// release ends the use of a link by one call.
func (c *Client) release(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.users--
}

// dropLink removes a link that no call uses and whose latest connection is conn.
func (c *Client) dropLink(l *link, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.users == 0 && l.current() == conn && c.links[l.addr] == l {
		delete(c.links, l.addr)
	}
}

// setDefaults replaces zero values of fields by their defaults.
func (c *Client) setDefaults() {
	if c.MaxCalls == 0 {
		c.MaxCalls = DefaultMaxCalls
	}
	if c.MaxMessage == 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.PingInterval == 0 {
		c.PingInterval = DefaultPingInterval
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.DialBackoff == 0 {
		c.DialBackoff = DefaultDialBackoff
	}
	if c.Dial == nil {
		dialer := &net.Dialer{Timeout: DefaultDialTimeout}
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		}
	}
	c.links = map[string]*link{}
}

// notRun returns the fault of a call that was not sent.
func notRun(err error) *Fault {
	return &Fault{Ran: api.RanNot, Text: err.Error()}
}
