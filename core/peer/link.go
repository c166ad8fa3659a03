package peer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"gypsumward/core/api"
	"gypsumward/core/span"
)

// link holds the connection to one peer, of which there is at most one at a time.
type link struct {
	client  *Client
	addr    string
	slots   chan struct{} // semaphore of the calls in flight
	dialing chan struct{} // semaphore of the call that dials
	users   int           // number of calls that use the link; guarded by Client.mu

	longCalls atomic.Int64 // in flight or waiting for a slot

	mu      sync.Mutex
	closed  bool
	conn    *clientConn // latest connection; nil if there was none
	retryAt time.Time   // end of the back-off after a failed dial
	dialErr error       // error of the last failed dial
}

const errClosed = errors.ConstError("connection is closed")

// call sends a call. If the connection was closed before the call was sent, it makes
// one more attempt on a new connection.
func (l *link) call(ctx context.Context, method string, params json.RawMessage, result any) *Fault {
	var fault *Fault
	for range 2 {
		c, err := l.connect(ctx)
		if err != nil {
			return notRun(err)
		}
		var retry bool
		c.touch()
		fault, retry = c.call(ctx, method, params, result)
		c.touch()
		if !retry {
			return fault
		}
	}
	return fault
}

// connect returns an open connection and dials if there is none. During the back-off
// after a failed dial it returns the error of that dial.
func (l *link) connect(ctx context.Context) (*clientConn, error) {
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	c, retryAt, dialErr := l.conn, l.retryAt, l.dialErr
	l.mu.Unlock()
	if c != nil && c.isOpen() {
		return c, nil
	}
	if time.Now().Before(retryAt) {
		return nil, dialErr
	}
	netConn, err := l.client.Dial(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.dialErr = err
		if ctx.Err() == nil {
			l.retryAt = time.Now().Add(l.client.DialBackoff)
		}
		return nil, err
	}
	if l.closed {
		_ = netConn.Close()
		return nil, errClosed
	}
	l.conn = newClientConn(context.WithoutCancel(ctx), l, netConn)
	return l.conn, nil
}

// current returns the latest connection, which may be closed, or nil.
func (l *link) current() *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// close closes the connection and prevents new ones.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.rpc.Close()
	}
}

// timeLeft returns the time to the deadline of ctx, which must have one. It is at
// least 1 ms because zero would mean no deadline to the peer.
func timeLeft(ctx context.Context) span.Span {
	deadline, _ := ctx.Deadline()
	return max(span.Of(time.Until(deadline)), span.Millisecond)
}

// faultOf turns the error of a call that was sent into a fault. It returns nil if err
// is nil.
func faultOf(err error) *Fault {
	if err == nil {
		return nil
	}
	var peerErr *jsonrpc2.Error
	if errors.As(err, &peerErr) {
		return decodeError(peerErr)
	}
	return &Fault{Ran: api.RanUnknown, Text: err.Error()}
}
