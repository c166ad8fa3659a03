package intake

import (
	"sync/atomic"
	"time"
)

// state is what a connection does.
type state int

const (
	waiting state = iota // between requests
	reading              // a request is being read or decoded
	working              // a request has been read completely
)

// Claim is the part of a Gate that one connection holds. Its methods that return a bool return false
// once the claim has been evicted.
type Claim struct {
	gate      *Gate
	evict     func(Kind)
	state     state
	used      bool // a byte of a request has arrived
	pipelined bool // the request had arrived before the reply to the one before
	long      bool // the client waits for longer than LongWait
	bytes     int64
	began     time.Time // of the first byte of the request
	last      time.Time // of the last byte, or of the last change to waiting
	evicted   bool
	detached  bool // evicted, and the connection is closed
	closed    bool

	opened  time.Time
	writing atomic.Int64 // time from opened to the begin of the pending write, in nanoseconds; negative if there is none
}

// Read records that a byte of a request has arrived.
func (c *Claim) Read() bool { return c.change(reading, false) }

// Work records that the request has been read completely and is being carried out. From then on the
// claim is evicted only if a write is pending for long.
func (c *Claim) Work() bool { return c.change(working, false) }

// WorkPipelined is like Work for a request that had arrived before the reply to the one before it. Its
// claim is also evicted for a new connection, with PipelinedClosed.
func (c *Claim) WorkPipelined() bool { return c.change(working, true) }

// SetWait records how long the client waits for the reply to the current request. If that is longer than
// LongWait, the claim is also evicted for a new connection once the request has been carried out for
// IdleGrace, with LongClosed.
func (c *Claim) SetWait(d time.Duration) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.long = d > LongWait
}

// BeginWrite records that a write to the client has begun, which lasts for as long as the client does not
// read what was sent before.
func (c *Claim) BeginWrite() { c.writing.Store(int64(c.gate.Clock.Now().Sub(c.opened))) }

// EndWrite records the end of a write.
func (c *Claim) EndWrite() { c.writing.Store(noWrite) }

const noWrite = -1

// unread reports whether the client has not read what is sent to it for at least StallTime.
func (c *Claim) unread(now time.Time) bool {
	begin := c.writing.Load()
	return begin != noWrite && now.Sub(c.opened)-time.Duration(begin) >= StallTime
}

// Wait records the end of a request, or that a client need not be waited for any longer.
func (c *Claim) Wait() bool { return c.change(waiting, false) }

func (c *Claim) change(to state, pipelined bool) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.evicted {
		return false
	}
	c.last = c.gate.Clock.Now()
	if c.state == waiting {
		c.began = c.last
	}
	c.state, c.pipelined, c.long = to, pipelined, c.long && to != waiting
	c.used = c.used || to != waiting
	return true
}

// Grow adds n bytes to the claim, which must be done before they are allocated. It returns false if
// there is no room for them, and then adds none.
func (c *Claim) Grow(n int64) bool {
	g := c.gate
	g.mu.Lock()
	if c.evicted {
		g.mu.Unlock()
		return false
	}
	victims, ok := g.makeRoom(nil, c, n, g.Clock.Now())
	if ok {
		g.used += n
		c.bytes += n
	} else {
		g.observe(BytesRefused)
	}
	g.mu.Unlock()
	victims.run()
	return ok
}

// ReleaseInput gives all bytes back but those of the connection itself.
func (c *Claim) ReleaseInput() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.release(c.bytes - ConnBytes)
}

// Release gives n bytes back.
func (c *Claim) Release(n int64) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.release(n)
}

func (c *Claim) release(n int64) {
	c.bytes -= n
	c.gate.used -= n
	if c.evicted {
		c.gate.evictedBytes -= n
	}
}

// Close gives the whole claim back. Further calls have no effect.
func (c *Claim) Close() {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return
	}
	c.release(c.bytes)
	c.closed = true
	delete(g.claims, c)
	switch {
	case c.detached:
		g.detached--
	case c.evicted:
		g.evicted--
	}
}
