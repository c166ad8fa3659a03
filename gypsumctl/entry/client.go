package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/core/api"
)

const (
	// dialTimeout bounds the time to connect to one instance.
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds the size of a reply. Larger replies are errors.
	maxReplyBytes = 2 * api.MaxBodyBytes
)

// Call describes one call of the HTTP interface.
type Call struct {
	Method     string        // HTTP method
	Path       string        // URL path
	Query      url.Values    // query parameters other than wait
	Body       any           // sent as JSON unless nil
	Wait       time.Duration // longest time that the instance may hold the call before it replies
	Idempotent bool          // whether it may be repeated after an attempt of unknown outcome
}

// Client calls one of several entry instances. Create it with New.
type Client struct {
	// Timeout bounds one attempt, in addition to Call.Wait.
	Timeout time.Duration

	addrs     []string
	header    http.Header     // sent with each call
	clients   []*khttp.Client // by index in addrs
	preferred int             // index of the instance that replied last; tried first
}

// DefaultTimeout is the Client.Timeout of a new client.
const DefaultTimeout = 10 * time.Second

// New returns a client for the instances at addrs. The key is sent as a bearer
// token with each call unless it is empty. New panics if addrs is empty.
func New(ctx context.Context, addrs []string, key string) (*Client, error) {
	if len(addrs) == 0 {
		panic("entry: no address")
	}
	c := &Client{Timeout: DefaultTimeout, addrs: addrs, header: http.Header{}}
	if key != "" {
		c.header.Set("Authorization", "Bearer "+key)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	for _, addr := range addrs {
		client, err := khttp.NewClient(ctx,
			khttp.WithEndpoint(addr),
			khttp.WithTimeout(0),
			khttp.WithTransport(transport),
			khttp.WithErrorDecoder(decodeError),
			khttp.WithResponseDecoder(decodeReply),
		)
		if err != nil {
			return nil, errors.Annotatef(err, "entry instance %s", addr)
		}
		c.clients = append(c.clients, client)
	}
	return c, nil
}

// Do sends call and decodes the response into reply. It turns to the next
// instance only as described in the package documentation. The error is nil, an
// *api.Refusal or an *Error. Do is not safe for concurrent use.
func (c *Client) Do(ctx context.Context, call Call, reply any) error {
	failure := &Error{}
	for i := range c.addrs {
		index := (c.preferred + i) % len(c.addrs)
		maybeSent, err := c.attempt(ctx, c.clients[index], call, reply)
		if err == nil {
			c.preferred = index
			return nil
		}
		var refusal *api.Refusal
		if errors.As(err, &refusal) {
			if !isInstanceSpecific(refusal) || i == len(c.addrs)-1 {
				c.preferred = index
				return qualifyRefusal(refusal, failure.MaybeSent && !call.isReadOnly())
			}
			maybeSent = false
		}
		failure.MaybeSent = failure.MaybeSent || maybeSent
		failure.Attempts = append(failure.Attempts, Attempt{Addr: c.addrs[index], MaybeSent: maybeSent, Err: err})
		if ctx.Err() != nil || maybeSent && !call.Idempotent && !call.isReadOnly() {
			break
		}
	}
	return failure
}

// Addrs returns the addresses of the instances in the order given to New.
func (c *Client) Addrs() []string {
	return c.addrs
}

// attempt sends call to one instance. The result maybeSent is false only if no
// connection was established, so that nothing was sent.
func (c *Client) attempt(ctx context.Context, client *khttp.Client, call Call, reply any) (maybeSent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+call.Wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	header := c.header.Clone()
	err = client.Invoke(ctx, call.Method, call.requestURI(), call.Body, reply, khttp.Header(&header))
	return connected.Load(), err
}

// requestURI returns the path and query of the call.
func (c Call) requestURI() string {
	query := url.Values{}
	for name, values := range c.Query {
		query[name] = values
	}
	if c.Wait > 0 {
		query.Set("wait", c.Wait.String())
	}
	if len(query) == 0 {
		return c.Path
	}
	return c.Path + "?" + query.Encode()
}

// isReadOnly reports whether the call changes nothing.
func (c Call) isReadOnly() bool {
	return c.Method == http.MethodGet
}

// isInstanceSpecific reports whether r concerns only the instance that refused,
// so that another one may accept the same call. A full queue does not count:
// calling further instances would add to the load.
func isInstanceSpecific(r *api.Refusal) bool {
	switch r.Reason {
	case api.ReasonStore, api.ReasonStopping, api.ReasonTargets, api.ReasonOwner:
		return r.Ran == api.RanNot
	default:
		return false
	}
}

// qualifyRefusal returns r as the result of a call that may have had several
// attempts. If an earlier attempt may have been accepted, a refusal by the last
// instance does not prove that nothing ran, so it is changed to RanUnknown,
// unless the message itself is at fault.
func qualifyRefusal(r *api.Refusal, maybeAccepted bool) *api.Refusal {
	if !maybeAccepted || r.Ran != api.RanNot {
		return r
	}
	switch r.Reason {
	case api.ReasonInvalid, api.ReasonTeam, api.ReasonConflict:
		return r
	default:
		return &api.Refusal{
			Reason:     r.Reason,
			Detail:     r.Detail + "; an earlier try may have been accepted",
			Ran:        api.RanUnknown,
			RetryAfter: r.RetryAfter,
		}
	}
}

// decodeError returns nil for a response with a status of 2xx, and otherwise the
// *api.Refusal in its body. If the body holds no refusal, the error is of
// another type and the outcome of the call is unknown.
func decodeError(_ context.Context, res *http.Response) error {
	if res.StatusCode >= 200 && res.StatusCode <= 299 {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return errors.Annotatef(err, "status %d", res.StatusCode)
	}
	refusal := &api.Refusal{}
	if err := json.Unmarshal(body, refusal); err == nil && refusal.Reason != "" && refusal.Ran != "" {
		return refusal
	}
	return errors.Errorf("status %d without a refusal: %.200q", res.StatusCode, body)
}

// decodeReply decodes a JSON reply into v. A truncated reply is an error.
func decodeReply(_ context.Context, res *http.Response, v any) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return errors.Annotate(err, "reply cut short")
	}
	return errors.Annotate(json.Unmarshal(body, v), "reply")
}
