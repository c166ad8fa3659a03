package queue

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"gypsumward/core/api"
)

// callTimeout bounds one call. It is long because the reply for a job that is
// not stored arrives only when the job ends.
const callTimeout = time.Minute

// client calls the entry instances on behalf of one queue.
type client struct {
	addrs []string
	queue queueAddr
}

// response is the result of a call.
type response struct {
	status     int
	body       []byte
	retryAfter string // value of the Retry-After header in seconds; empty if absent
	maybeSent  bool   // an instance may have received the call
	err        error
}

// call calls the instances in order until one replies. Calls are idempotent
// because an id names one job, so a call whose reply was lost is repeated at the
// next instance.
func (c *client) call(ctx context.Context, method, id string, body []byte) response {
	var last response
	maybeSent := false
	for _, addr := range c.addrs {
		last = c.attempt(ctx, method, "http://"+addr+c.queue.path+id, body)
		maybeSent = maybeSent || last.maybeSent
		if last.err == nil {
			break
		}
	}
	last.maybeSent = maybeSent
	return last
}

// attempt calls one instance.
func (c *client) attempt(ctx context.Context, method, url string, body []byte) response {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	httpClient, err := khttp.NewClient(ctx, khttp.WithTransport(transport), khttp.WithTimeout(callTimeout),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return response{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Host = c.queue.host
	req.Header.Set("Content-Type", "application/json")
	res, err := httpClient.Do(req)
	if err != nil {
		return response{err: err, maybeSent: !isDialError(err)}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, api.MaxBodyBytes))
	return response{status: res.StatusCode, body: data, retryAfter: res.Header.Get("Retry-After"), maybeSent: true, err: err}
}
