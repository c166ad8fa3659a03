package peer

import (
	"sync"
	"time"

	"gypsumward/core/intake"
)

// readCopies is how often a message is in memory while it is decoded: in a buffer that doubles, and as
// its parameters.
const readCopies = 3

// messageTimeout is the time between two parts of a message. Peers write messages as a whole, and a
// link that delivers nothing for so long is given up by the caller's ping before.
const messageTimeout = 5 * time.Second

// connClaim is the claim of a connection of a Server. All methods of a nil connClaim allow everything.
type connClaim struct {
	claim *intake.Claim

	mu      sync.Mutex
	reading int64 // bytes of the claim for the message that is being read
	calls   int   // calls in flight
}

// read takes the memory for n more bytes of a message. It returns false if there is no room.
func (c *connClaim) read(n int64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claim.Grow(readCopies * n) {
		return false
	}
	c.reading += readCopies * n
	return c.update()
}

// endRead gives back the memory for a message that has been read.
func (c *connClaim) endRead() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.Release(c.reading)
	c.reading = 0
	c.update()
}

// beginCall takes the memory for a call with parameters of n bytes. It returns false if there is no
// room.
func (c *connClaim) beginCall(n int) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claim.Grow(int64(n)) {
		return false
	}
	c.calls++
	return c.update()
}

// endCall gives the memory for a call back.
func (c *connClaim) endCall(n int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.Release(int64(n))
	c.calls--
	c.update()
}

// update records what the connection does. One with calls in flight is not evicted, since that would
// cancel them. It returns false if the connection has been evicted.
func (c *connClaim) update() bool {
	switch {
	case c.calls > 0:
		return c.claim.Work()
	case c.reading > 0:
		return c.claim.Read()
	}
	return c.claim.Wait()
}

// close gives the whole claim back.
func (c *connClaim) close() {
	if c != nil {
		c.claim.Close()
	}
}
