package intakehttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"gypsumward/core/intake"
)

// Memory that a header takes besides its bytes, which are held twice at most: in a buffer and decoded.
const (
	headerCopies = 2
	lineBytes    = 256 // bytes of the entry of a header line in a map, which may be half empty
)

// Bounds of the wait for a client to read a refusal.
const (
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// conn is a connection of a Server.
type conn struct {
	*net.TCPConn
	server *Server
	claim  *intake.Claim

	// The fields below belong to the goroutine that reads headers.
	since    time.Time  // end of the previous request, then time of the first byte of the header
	header   headerScan // what has been read of the header
	received bool       // bytes of the header have arrived after the reply to the previous request

	mu      sync.Mutex
	evicted bool
	handled bool   // a handler has the request, so reads are those of its body
	single  []byte // what readSingle has read since the last call of readHeader or begin
	unread  bool   // the request has a body whose end has not been read
}

// evict makes the pending and all later reads fail, which cancels the context of a request that is being
// handled. It closes the connection at once unless its client is to get a refusal.
func (c *conn) evict(kind intake.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if kind.Closes() {
		_ = c.TCPConn.Close()
		return
	}
	_ = c.TCPConn.SetReadDeadline(past)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// SetReadDeadline sets the time at which reads fail, unless they all do.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Write writes p within a time, which is short if the connection is to be closed for another one.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.limitWrite(); err != nil {
		return 0, err
	}
	c.claim.BeginWrite()
	defer c.claim.EndWrite()
	return c.TCPConn.Write(p)
}

// limitWrite sets the time at which the next write fails.
func (c *conn) limitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return c.SetWriteDeadline(time.Now().Add(lingerTime))
	}
	return c.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Close closes the connection and gives its claim back.
func (c *conn) Close() error {
	defer c.claim.Close()
	return c.TCPConn.Close()
}

// begin records that the header of a request has been read. It returns false if the request must be
// refused.
func (c *conn) begin(hasBody bool) bool {
	c.mu.Lock()
	c.handled, c.unread, c.single = true, hasBody, nil
	c.mu.Unlock()
	if hasBody {
		return c.claim.Read()
	}
	return c.work()
}

// work records that the request has been read completely. It returns false if the connection has given way.
func (c *conn) work() bool {
	if c.received {
		return c.claim.Work()
	}
	return c.claim.WorkPipelined()
}

// finish records that a handler has returned. It bounds the time for the rest of a body that was not
// read, which the server reads before it replies.
func (c *conn) finish() {
	c.claim.ReleaseInput()
	c.mu.Lock()
	unread := c.unread
	c.mu.Unlock()
	if unread {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// wait records that a request has been answered.
func (c *conn) wait() {
	c.mu.Lock()
	c.handled, c.unread = false, false
	c.mu.Unlock()
	c.claim.Wait()
	c.since, c.header, c.received = time.Now(), headerScan{}, false
}

// Read reads into p. While a header is read it enforces the limits.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		return c.readSingle(p)
	}
	c.mu.Lock()
	handled := c.handled
	c.mu.Unlock()
	if handled {
		return c.TCPConn.Read(p)
	}
	for {
		if err := c.SetReadDeadline(c.readUntil()); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			return c.readHeader(p[:n])
		}
		if ne, ok := err.(net.Error); !ok || !ne.Timeout() { //nolint:errorlint // as package net/http tells them apart
			return n, err
		}
		if c.timedOut() {
			return n, err
		}
	}
}

// readSingle reads one byte. Package net/http does so to notice the end of the connection while it
// handles a request, from shortly before the handler is called, and if one byte of its buffer is left
// while it reads a header. It sets no deadline, which would disturb the former.
func (c *conn) readSingle(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.handled || len(c.single) == 0 {
			c.single = append(c.single, p[0])
		}
	}
	return n, err
}

// readUntil returns when the client must have sent more of a header, under the current limits.
func (c *conn) readUntil() time.Time {
	limits := c.server.limits()
	if c.header.started() {
		return c.since.Add(limits.HeaderTimeout)
	}
	return c.since.Add(limits.IdleTimeout)
}

// readHeader records bytes of a header, and refuses the request if they are too many.
func (c *conn) readHeader(p []byte) (int, error) {
	if !c.header.started() {
		c.since = time.Now()
	}
	c.received = true
	c.mu.Lock()
	single := c.single
	c.single = nil
	c.mu.Unlock()
	_, _ = c.header.add(single)
	bytes, lines := c.header.add(p)
	switch {
	case c.header.exceeds(c.server.limits().MaxHeader):
		c.server.observe(HeaderTooLarge)
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case !c.claim.Read() || !c.claim.Grow(headerCopies*bytes+lineBytes*lines):
		c.refuse(http.StatusServiceUnavailable)
	default:
		return len(p), nil
	}
	return 0, os.ErrDeadlineExceeded // the server then closes the connection without a reply of its own
}

// timedOut replies to a client whose request has not come in time, or has given way. It returns false
// if a changed configuration leaves it more time.
func (c *conn) timedOut() bool {
	c.mu.Lock()
	evicted := c.evicted
	c.mu.Unlock()
	switch {
	case !evicted && time.Now().Before(c.readUntil()):
		return false
	case !c.header.started() && evicted: // idle, counted by the gate
	case !c.header.started():
		c.server.observe(IdleTimedOut)
	case evicted:
		c.refuse(http.StatusServiceUnavailable)
	default:
		c.server.observe(HeaderTooSlow)
		c.refuse(http.StatusRequestTimeout)
	}
	return true
}

// refuse gives the bytes of the request back and replies with the status of a refusal.
func (c *conn) refuse(status int) {
	c.claim.ReleaseInput()
	c.claim.Wait()
	c.respond(status)
}

// respond writes a reply without a body. Unless the connection is to be closed at once for another
// one, it then reads what arrives until the client has closed it: closing it with unread bytes would
// reset it, and the client might not see the reply.
func (c *conn) respond(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(RetryAfter.Seconds()))
	}
	deadline := time.Now().Add(lingerTime)
	_ = c.SetWriteDeadline(deadline)
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n", status, http.StatusText(status), retry)
	if err != nil || c.CloseWrite() != nil || c.SetReadDeadline(deadline) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, lingerBytes))
}
