package attempt

import (
	"context"
	"sync"
	"time"
)

// Attempt is one attempt of a call. The zero value has received nothing and may use any
// connection. It is safe for concurrent use, and must not be copied after first use.
type Attempt struct {
	// Redial requires a connection that was not open before the attempt. It must be set before use.
	Redial bool
	// OnReceive is called whenever bytes have arrived. It must not block, must be set before use and
	// may be nil.
	OnReceive func()

	mu       sync.Mutex
	received int64
	last     time.Time
}

// key is the type of the key of an Attempt in a context.
type key struct{}

// WithContext returns a copy of ctx that carries a.
func (a *Attempt) WithContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, key{}, a)
}

// From returns the attempt that ctx carries, or nil if there is none.
func From(ctx context.Context) *Attempt {
	a, _ := ctx.Value(key{}).(*Attempt)
	return a
}

// Receive records that n bytes of the response have arrived. It does nothing if n is not positive or
// a is nil.
func (a *Attempt) Receive(n int) {
	if a == nil || n <= 0 {
		return
	}
	a.mu.Lock()
	a.received += int64(n)
	a.last = time.Now()
	a.mu.Unlock()
	if a.OnReceive != nil {
		a.OnReceive()
	}
}

// Received returns the number of bytes that have arrived and the time of the last of them, which is
// zero if none has.
func (a *Attempt) Received() (bytes int64, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received, a.last
}
