package resubmit_test

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Times of the simulated network.
const (
	minLatency  = 300 * time.Microsecond // of a message, one way
	maxLatency  = 3 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
)

// anyHost stands for all hosts in the paths of a network.
const anyHost = "*"

// path is a direction between two hosts.
type path struct{ from, to string }

// network carries messages between hosts. A blocked path holds them back until it opens.
type network struct {
	random func(n int64) int64

	mu        sync.Mutex
	blocked   map[path]time.Time // until when a path is blocked
	listeners map[string]*listener
	conns     map[*conn]bool
}

func newNetwork(random func(n int64) int64) *network {
	return &network{random: random, blocked: map[path]time.Time{}, listeners: map[string]*listener{}, conns: map[*conn]bool{}}
}

// latency returns the random time that a message takes.
func (n *network) latency() time.Duration {
	return minLatency + time.Duration(n.random(int64(maxLatency-minLatency)))
}

// block blocks a path for d. Either end may be anyHost.
func (n *network) block(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := time.Now().Add(d); until.After(n.blocked[path{from, to}]) {
		n.blocked[path{from, to}] = until
	}
}

// opensAt returns when a path is open: a past time if it is.
func (n *network) opensAt(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var at time.Time
	for _, p := range []path{{from, to}, {from, anyHost}, {anyHost, to}} {
		if until := n.blocked[p]; until.After(at) {
			at = until
		}
	}
	return at
}

// travel waits until a message that is sent now has arrived. It returns false if stop is closed
// first; a nil stop never is.
func (n *network) travel(from, to string, stop <-chan struct{}) bool {
	arrival := time.Now().Add(n.latency())
	for {
		if at := n.opensAt(from, to); at.After(arrival) {
			arrival = at
		}
		wait := time.Until(arrival)
		if wait <= 0 {
			return true
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-stop:
			t.Stop()
			return false
		}
	}
}

// listen makes a host accept connections.
func (n *network) listen(host string) *listener {
	l := &listener{net: n, host: host, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

func (n *network) listenerOf(host string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[host]
}

// refuses reports whether connections to a host are refused, as opposed to unanswered.
func (n *network) refuses(ctx context.Context, from, to string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return n.travel(from, to, ctx.Done()) && n.travel(to, from, ctx.Done()) && n.listenerOf(to) == nil
}

// dial opens a connection between two hosts.
func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !n.travel(from, to, ctx.Done()) {
		return nil, syscall.ETIMEDOUT
	}
	l := n.listenerOf(to)
	if !n.travel(to, from, ctx.Done()) {
		return nil, syscall.ETIMEDOUT
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	there, back := newStream(n, from, to), newStream(n, to, from)
	local, remote := &conn{net: n, in: back, out: there}, &conn{net: n, in: there, out: back}
	select {
	case l.accepted <- remote:
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, syscall.ETIMEDOUT
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[local], n.conns[remote] = true, true
	return local, nil
}

// reset breaks the connections for which matches returns true. What has not been read yet may
// still be read, or is lost.
func (n *network) reset(matches func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if matches(c.out.from, c.out.to) {
			c.in.breakOff(n.random(2) == 0)
			c.out.breakOff(n.random(2) == 0)
			delete(n.conns, c)
		}
	}
}

// listener accepts connections to a host.
type listener struct {
	net      *network
	host     string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.host] == l {
		delete(l.net.listeners, l.host)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return hostAddr(l.host) }

// hostAddr is the address of a host.
type hostAddr string

func (a hostAddr) Network() string { return "sim" }
func (a hostAddr) String() string  { return string(a) }

// conn is one end of a connection.
type conn struct {
	net     *network
	in, out *stream
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.in.stop()
	c.out.finish()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return hostAddr(c.out.from) }
func (c *conn) RemoteAddr() net.Addr             { return hostAddr(c.out.to) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil } // writes do not block

// stream carries the bytes of one direction of a connection.
type stream struct {
	net      *network
	from, to string

	mu      sync.Mutex
	chunks  []chunk // that have not been read
	err     error   // of writes
	stopped bool    // the reader has closed it
	changed chan struct{}
}

// chunk is some bytes, or an error, that can be read from a time on.
type chunk struct {
	at   time.Time
	data []byte
	err  error
}

func newStream(n *network, from, to string) *stream {
	return &stream{net: n, from: from, to: to, changed: make(chan struct{})}
}

// notify wakes the reader. The caller holds the lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(p []byte) (int, error) {
	latency := s.net.latency()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	s.add(latency, chunk{data: append([]byte(nil), p...)})
	return len(p), nil
}

// add appends a chunk that arrives after those before it. The caller holds the lock.
func (s *stream) add(latency time.Duration, c chunk) {
	c.at = time.Now().Add(latency)
	if n := len(s.chunks); n > 0 && s.chunks[n-1].at.After(c.at) {
		c.at = s.chunks[n-1].at
	}
	s.chunks = append(s.chunks, c)
	s.notify()
}

// finish closes the stream by its writer.
func (s *stream) finish() {
	latency := s.net.latency()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = net.ErrClosed
		s.add(latency, chunk{err: io.EOF})
	}
}

// stop closes the stream by its reader.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.notify()
}

// breakOff resets the stream. What has not been read is lost if lose is true.
func (s *stream) breakOff(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = syscall.ECONNRESET
	}
	if lose {
		s.chunks = nil
	}
	s.add(maxLatency, chunk{err: syscall.ECONNRESET})
}

func (s *stream) read(p []byte) (int, error) {
	for {
		opens := s.net.opensAt(s.from, s.to)
		s.mu.Lock()
		changed := s.changed
		wait := time.Hour
		switch {
		case s.stopped:
			s.mu.Unlock()
			return 0, net.ErrClosed
		case len(s.chunks) > 0:
			c := &s.chunks[0]
			if opens.Before(c.at) {
				opens = c.at
			}
			if wait = time.Until(opens); wait > 0 {
				break
			}
			if c.err != nil {
				err := c.err
				s.mu.Unlock()
				return 0, err
			}
			n := copy(p, c.data)
			if c.data = c.data[n:]; len(c.data) == 0 {
				s.chunks = s.chunks[1:]
			}
			s.mu.Unlock()
			return n, nil
		}
		s.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
			t.Stop()
		}
	}
}
