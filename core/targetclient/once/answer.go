package once

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

// ErrTooLong is the error of a response whose body exceeds Settings.MaxBytes.
const ErrTooLong = errors.ConstError("answer is longer than the limit")

// Response is the result of one request. If Err is nil, Status and Body hold the
// complete response; otherwise Err is the reason for which there is none.
type Response struct {
	Status int
	Body   []byte
	Err    error

	mu    sync.Mutex
	conns []net.Conn // connections on which the request may have been sent
}

// MaybeSent reports whether any byte of the request can have reached the server.
func (r *Response) MaybeSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) > 0
}

// Unreached reports whether no connection to the server could be established. It
// reports false if the request ended while it waited for a free connection.
func (r *Response) Unreached() bool {
	var op *net.OpError
	return !r.MaybeSent() && errors.As(r.Err, &op) && op.Op == "dial"
}

// CloseConns closes the connections on which the request may have been sent. It must
// be called if the response belongs to another request, since all later responses
// on the connection are then out of step as well.
func (r *Response) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}

// addConn records the connection obtained for the request. It is a callback of
// httptrace.ClientTrace.
func (r *Response) addConn(info httptrace.GotConnInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, info.Conn)
}

// readBody sets the status and the body from res, or the error if the body cannot be
// read or has more than limit bytes.
func (r *Response) readBody(res *http.Response, limit int64) {
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLong
	}
	if err != nil {
		r.Err = err
		return
	}
	r.Status = res.StatusCode
	r.Body = body
}
