package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"gypsumward/core/api"
	"gypsumward/core/hangup"
)

// clientConn is a connection to a peer.
type clientConn struct {
	link    *link
	bounded *boundedConn
	rpc     *jsonrpc2.Conn

	sending  chan struct{} // semaphore of the call that is being sent
	lastUsed atomic.Int64  // when a call last began or ended, in nanoseconds since 1970

	mu     sync.Mutex
	lastID uint64                  // id of the latest call
	calls  map[uint64]*atomic.Bool // calls without a response; true once sent
}

// newClientConn runs the protocol on netConn, which it owns, until ctx ends, and
// starts to watch the connection.
func newClientConn(ctx context.Context, l *link, netConn net.Conn) *clientConn {
	client := l.client
	c := &clientConn{
		link:    l,
		bounded: &boundedConn{Conn: netConn, maxMessage: client.MaxMessage, writeTimeout: DefaultWriteTimeout},
		sending: make(chan struct{}, 1),
		calls:   map[uint64]*atomic.Bool{},
	}
	c.touch()
	c.bounded.lastReceived.Store(time.Now().UnixNano())
	c.rpc = jsonrpc2.NewConn(ctx, newStream(c.bounded), ignoreRequests{},
		jsonrpc2.SetLogger(discardLogger{}), jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onRecv))
	client.watchers.Go(c.watch)
	return c
}

// isOpen reports whether the connection is open.
func (c *clientConn) isOpen() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// touch restarts the idle time of the connection.
func (c *clientConn) touch() {
	c.lastUsed.Store(time.Now().UnixNano())
}

// call sends a call and waits for the response. It is not sent after ctx has ended, or if the
// connection that ctx carries is closed (see package hangup). The second result reports whether the
// call was certainly not sent because the connection to the peer was closed.
func (c *clientConn) call(ctx context.Context, method string, params json.RawMessage, result any) (*Fault, bool) {
	id, sent := c.register()
	done := make(chan error, 1)
	var response json.RawMessage
	go func() {
		waiter, err := c.send(ctx, id, method, params)
		if err == nil {
			err = waiter.Wait(ctx, &response)
		}
		done <- err
	}()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		return &Fault{Ran: api.RanUnknown, Text: ctx.Err().Error()}, false
	}
	if errors.Is(err, errCallerGone) {
		return notRun(err), false
	}
	if errors.Is(err, jsonrpc2.ErrClosed) && !sent.Load() {
		c.forget(id)
		return notRun(errClosed), true
	}
	if err != nil || result == nil {
		return faultOf(err), false
	}
	if err := json.Unmarshal(response, result); err != nil {
		return &Fault{Ran: api.RanUnknown, Text: "garbled answer: " + err.Error()}, false
	}
	return nil, false
}

const errCallerGone = errors.ConstError("the connection of the caller is closed")

// send sends a call once those before it have been sent, unless its caller is gone by then.
func (c *clientConn) send(ctx context.Context, id uint64, method string, params json.RawMessage) (jsonrpc2.Waiter, error) {
	select {
	case c.sending <- struct{}{}:
		defer func() { <-c.sending }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		c.forget(id)
		return jsonrpc2.Waiter{}, ctx.Err()
	}
	if hangup.Closed(ctx) {
		c.forget(id)
		return jsonrpc2.Waiter{}, errCallerGone
	}
	m := meta{Timestamp: c.link.client.Clock.Now(), Timeout: timeLeft(ctx)}
	return c.rpc.DispatchCall(ctx, method, params, jsonrpc2.PickID(jsonrpc2.ID{Num: id}), jsonrpc2.Meta(m))
}

// register assigns an id to a call. It closes the connection if too many calls were
// abandoned without a response.
func (c *clientConn) register() (uint64, *atomic.Bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > 2*c.link.client.MaxCalls {
		go func() { _ = c.rpc.Close() }()
	}
	c.lastID++
	sent := &atomic.Bool{}
	c.calls[c.lastID] = sent
	return c.lastID, sent
}

// forget removes a call that was not sent or has a response.
func (c *clientConn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// onSend marks a call as sent. The library calls it before it writes the first byte.
func (c *clientConn) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent := c.calls[req.ID.Num]; sent != nil {
		sent.Store(true)
	}
}

// onRecv merges the timestamp of a response and removes its call.
func (c *clientConn) onRecv(_ *jsonrpc2.Request, res *jsonrpc2.Response) {
	if res == nil {
		return
	}
	c.link.client.Clock.Merge(decodeMeta(res.Meta).Timestamp)
	c.forget(res.ID.Num)
}

// watch closes the connection when the peer is silent or the idle time has passed,
// and returns when the connection is closed.
func (c *clientConn) watch() {
	defer c.link.client.dropLink(c.link, c)
	defer func() { _ = c.rpc.Close() }()
	ticker := time.NewTicker(c.link.client.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if !c.keep(time.Now()) {
			return
		}
	}
}

// keep reports whether the connection should stay open. While calls are in flight and
// no data was received or none was sent for one ping interval, it sends a ping and accepts
// any response, also an error of the peer.
func (c *clientConn) keep(now time.Time) bool {
	client := c.link.client
	if len(c.link.slots) == 0 {
		return now.Sub(time.Unix(0, c.lastUsed.Load())) < client.IdleTimeout
	}
	if oldest := min(c.bounded.lastReceived.Load(), c.bounded.lastSent.Load()); now.Sub(time.Unix(0, oldest)) < client.PingInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), client.PingInterval)
	defer cancel()
	fault, _ := c.call(ctx, methodPing, nil, nil)
	return fault == nil || fault.Code != 0
}

// ignoreRequests ignores calls that a peer makes on a connection opened by the
// client.
type ignoreRequests struct{}

// Handle ignores the call.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
