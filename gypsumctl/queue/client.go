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

// callTime is for one call; jobs that are not stored are answered when they end.
const callTime = time.Minute

// client calls the entry instances.
type client struct {
	addrs []string
	to    target
}

// answer is what came of a call.
type answer struct {
	status int
	body   []byte
	after  string // seconds after which to come back, if told
	sent   bool   // an instance may have got it
	err    error
}

// call calls the first instance that can be reached. An id names one job, so a call
// whose answer was lost is made at the next instance too.
func (c *client) call(ctx context.Context, method, id string, body []byte) answer {
	var last answer
	sent := false
	for _, addr := range c.addrs {
		last = c.try(ctx, method, "http://"+addr+c.to.path+id, body)
		sent = sent || last.sent
		if last.err == nil {
			break
		}
	}
	last.sent = sent
	return last
}

func (c *client) try(ctx context.Context, method, url string, body []byte) answer {
	ctx, stop := context.WithTimeout(ctx, callTime)
	defer stop()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	caller, err := khttp.NewClient(ctx, khttp.WithTransport(transport), khttp.WithTimeout(callTime),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return answer{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = c.to.host
	req.Header.Set("Content-Type", "application/json")
	res, err := caller.Do(req)
	if err != nil {
		return answer{err: err, sent: !unreachable(err)}
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(res.Body, api.MaxBody))
	return answer{status: res.StatusCode, body: got, after: res.Header.Get("Retry-After"), sent: true, err: err}
}
