package intakehttp

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Errors of ReadBody. After each the request has not run.
const (
	ErrTooLarge = errors.ConstError("the body is too large")
	ErrTooSlow  = errors.ConstError("the body is too slow")
	ErrCapacity = errors.ConstError("no memory is left for the body")
)

const firstBody = 4 << 10 // bytes of the first buffer of a body

// decodedBytes is the memory that decoding takes for one byte of a body. Integers of an array take 8
// bytes each for two of the body, and slices that grow are held twice and have up to a quarter of room.
const decodedBytes = 12

// maxKept bounds what is kept of a body once it has been decoded.
const maxKept = 32 << 10 // bytes

// ReadBody reads and decodes the body of a request, of up to limit bytes, until ctx ends. Decode must
// not keep its argument. The memory for both is taken from the claim of the connection, if ctx carries
// one. ReadBody returns one of the errors above, or that of the connection or of decode.
func ReadBody(ctx context.Context, r *http.Request, limit int64, decode func(body []byte) error) error {
	c := connOf(r.Context())
	if c == nil {
		body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err == nil && int64(len(body)) > limit {
			err = ErrTooLarge
		}
		if err != nil {
			return err
		}
		return decode(body)
	}
	body, err := c.readBody(ctx, r, limit)
	if err != nil {
		return err
	}
	decoding := decodedBytes * int64(len(body))
	if !c.claim.Grow(decoding) {
		return ErrCapacity
	}
	err = decode(body)
	c.claim.Release(decoding + int64(cap(body)) - min(2*int64(len(body)), maxKept))
	return err
}

// readBody reads the body of r. Its buffer doubles as bytes arrive, so that a length that is only
// declared takes nothing.
func (c *conn) readBody(ctx context.Context, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		c.server.observe(BodyTooLarge)
		return nil, ErrTooLarge
	}
	if !c.claim.Grow(firstBody) {
		return nil, ErrCapacity
	}
	body := make([]byte, 0, firstBody)
	timeout := c.server.limits().HeaderTimeout
	end, ends := ctx.Deadline()
	for {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), limit+1)
			if !c.claim.Grow(size) {
				return nil, ErrCapacity
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			c.claim.Release(int64(cap(body)))
			body = grown
		}
		next := time.Now().Add(timeout)
		if ends && end.Before(next) {
			next = end
		}
		_ = c.SetReadDeadline(next)
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			c.server.observe(BodyTooLarge)
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			if !c.ended() {
				return nil, ErrCapacity
			}
			return body, nil
		case err != nil:
			return nil, c.bodyError(err)
		}
		if n > 0 && !c.claim.Read() {
			return nil, ErrCapacity
		}
	}
}

// ended records that the end of a body has been read. It returns false if the connection has given way.
func (c *conn) ended() bool {
	c.mu.Lock()
	c.unread = false
	c.mu.Unlock()
	return c.work() && c.SetReadDeadline(time.Time{}) == nil
}

// bodyError returns the error for a body whose reading failed with err.
func (c *conn) bodyError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var timeout interface{ Timeout() bool }
	switch {
	case c.evicted:
		return ErrCapacity
	case errors.As(err, &timeout) && timeout.Timeout():
		c.server.observe(BodyTooSlow)
		return ErrTooSlow
	}
	return err
}

// Status returns the status of the reply to a request whose body could not be read, or otherwise if err
// is none of the errors of ReadBody.
func Status(err error, otherwise int) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrCapacity):
		return http.StatusServiceUnavailable
	}
	return otherwise
}

// RespondError writes the reply to a request whose body could not be read, and makes the server close
// the connection. It returns false, and writes nothing, if err is none of the errors of ReadBody.
func RespondError(w http.ResponseWriter, err error) bool {
	status := Status(err, 0)
	if status == 0 {
		return false
	}
	refuse(w, status)
	return true
}

// RetryAfter is the time after which a client may retry that was refused for want of capacity.
const RetryAfter = time.Second

// SetRetryAfter sets the header Retry-After of a reply to RetryAfter, if its status is that of ErrCapacity.
func SetRetryAfter(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	}
}

// refuse writes the reply to a request that is refused.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	SetRetryAfter(w, status)
	w.WriteHeader(status)
}

// meteredCopies is how often a body is in memory that is read and decoded by a handler of its own.
const meteredCopies = 4

// meteredBody is a body whose bytes are taken from the claim of its connection as they are read. Its
// errors are those of ReadBody.
type meteredBody struct {
	io.ReadCloser
	conn *conn
}

// Read reads into p.
func (b meteredBody) Read(p []byte) (int, error) {
	_ = b.conn.SetReadDeadline(time.Now().Add(b.conn.server.limits().HeaderTimeout))
	n, err := b.ReadCloser.Read(p)
	switch {
	case n > 0 && (!b.conn.claim.Read() || !b.conn.claim.Grow(meteredCopies*int64(n))):
		return 0, ErrCapacity
	case errors.Is(err, io.EOF):
		if !b.conn.ended() {
			return 0, ErrCapacity
		}
	case err != nil:
		return n, b.conn.bodyError(err)
	}
	return n, err
}
