package platformclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/table"
	"gypsumward/core/targetclient/once"
)

// Defaults of Client.
const (
	DefaultMaxConns    = 32
	DefaultTimeout     = 2 * time.Second
	DefaultMaxResponse = 128 << 20 // in bytes
)

// CallKind is the name of a kind of call to the platform.
type CallKind string

// Kinds of calls.
const (
	CallWrite CallKind = "write"
	CallRead  CallKind = "read"
	CallScan  CallKind = "scan"
	CallPut   CallKind = "put"
	CallGet   CallKind = "get"
	CallLive  CallKind = "live"
)

// ErrResponse is the cause of the fault of a call whose response is invalid or does
// not match it.
const ErrResponse = errors.ConstError("answer does not fit the call")

// ErrLimit is the cause of the fault of a call that exceeds a limit of package
// table. Such a call is not sent.
const ErrLimit = errors.ConstError("call breaks a limit of the table")

// Client calls the platform. The fields must be set before the first call. A
// Client must not be copied after the first call.
type Client struct {
	Addr        string        // IP address and port
	MaxConns    int           // maximum number of connections; zero means DefaultMaxConns
	Timeout     time.Duration // limit of one call, in addition to its context; zero means DefaultTimeout
	MaxResponse int64         // maximum size of a response in bytes; zero means DefaultMaxResponse

	// Observe is called after each call that passed the checks of its limits, with its
	// latency and error. It may be nil.
	Observe func(call CallKind, elapsed time.Duration, err error)

	openOnce   sync.Once
	httpClient *once.Client
}

// Write executes one transaction. If it returns no error, the result says whether
// the transaction took effect or which rows conflicted.
func (c *Client) Write(ctx context.Context, w table.Write) (table.Written, error) {
	if err := checkWrite(w); err != nil {
		return table.Written{}, &Error{Err: err}
	}
	var got table.Written
	if err := c.post(ctx, CallWrite, "/table/write", w, &got); err != nil {
		return table.Written{}, err
	}
	if got.Committed != (got.Version > 0) || got.Committed == (len(got.Conflicts) > 0) {
		return table.Written{}, &Error{MayHaveTakenEffect: true, Status: http.StatusOK, Err: ErrResponse}
	}
	return got, nil
}

// Read returns one row for each key, in the order of the keys.
func (c *Client) Read(ctx context.Context, r table.Read) (table.Found, error) {
	var got table.Found
	if err := c.post(ctx, CallRead, "/table/read", r, &got); err != nil {
		return table.Found{}, err
	}
	matches := len(got.Rows) == len(r.Keys)
	for i := 0; matches && i < len(r.Keys); i++ {
		matches = got.Rows[i].Key == r.Keys[i]
	}
	if !matches {
		return table.Found{}, &Error{MayHaveTakenEffect: true, Status: http.StatusOK, Err: ErrResponse}
	}
	return got, nil
}

// Scan returns the rows with a prefix, in the order of their keys.
func (c *Client) Scan(ctx context.Context, s table.Scan) (table.Found, error) {
	if s.Limit <= 0 || s.Limit > table.MaxScanRows {
		return table.Found{}, &Error{Err: errors.Annotatef(ErrLimit, "scan of %d rows", s.Limit)}
	}
	var got table.Found
	err := c.post(ctx, CallScan, "/table/scan", s, &got)
	return got, err
}

// Put stores an object under key and replaces any previous one.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	if value == nil {
		value = []byte{}
	}
	_, err := c.send(ctx, CallPut, http.MethodPut, objectPath(key), value)
	return err
}

// Get returns the object under key and whether it exists. A missing object is not
// an error.
func (c *Client) Get(ctx context.Context, key string) ([]byte, bool, error) {
	body, err := c.send(ctx, CallGet, http.MethodGet, objectPath(key), nil)
	var fault *Error
	if errors.As(err, &fault) && fault.Status == http.StatusNotFound {
		return nil, false, nil
	}
	return body, err == nil, err
}

// Live returns the list of live members, with its age.
func (c *Client) Live(ctx context.Context) (table.LiveList, error) {
	var got table.LiveList
	body, err := c.send(ctx, CallLive, http.MethodGet, "/live", nil)
	if err != nil {
		return got, err
	}
	return got, decode(body, &got)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.openOnce.Do(c.open)
	c.httpClient.Close()
}

// post sends request as JSON and decodes the response into response.
func (c *Client) post(ctx context.Context, call CallKind, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &Error{Err: err}
	}
	body, err = c.send(ctx, call, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return decode(body, response)
}

// send sends one call, reports it to Observe and returns the body of the response.
func (c *Client) send(ctx context.Context, call CallKind, method, path string, body []byte) ([]byte, error) {
	if c.Observe == nil {
		return c.exchange(ctx, method, path, body)
	}
	start := time.Now()
	got, err := c.exchange(ctx, method, path, body)
	c.Observe(call, time.Since(start), err)
	return got, err
}

// exchange sends one HTTP request and returns the body of the response. It returns
// an *Error unless the status is 200 or 204. Statuses 429 and 503 say that the call
// had no effect.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	c.openOnce.Do(c.open)
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := c.httpClient.Send(ctx, method, "http://"+c.Addr+path, body)
	if response.Err != nil {
		return nil, &Error{MayHaveTakenEffect: response.MaybeSent(), Err: response.Err}
	}
	if response.Status != http.StatusOK && response.Status != http.StatusNoContent {
		busy := response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable
		return nil, &Error{MayHaveTakenEffect: !busy, Busy: busy, Status: response.Status}
	}
	return response.Body, nil
}

// open creates the HTTP client from the fields of c.
func (c *Client) open() {
	s := once.Settings{Conns: c.MaxConns, MaxBytes: c.MaxResponse}
	if s.Conns == 0 {
		s.Conns = DefaultMaxConns
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = DefaultMaxResponse
	}
	c.httpClient = once.New(s)
}

// checkWrite returns an error with the cause ErrLimit if w exceeds a limit of
// package table.
func checkWrite(w table.Write) error {
	if len(w.Ops) == 0 || len(w.Ops) > table.MaxOpsPerWrite {
		return errors.Annotatef(ErrLimit, "transaction of %d operations", len(w.Ops))
	}
	for _, op := range w.Ops {
		if len(op.Value) > table.MaxValueBytes {
			return errors.Annotatef(ErrLimit, "value of %d bytes under %q", len(op.Value), op.Key)
		}
	}
	return nil
}

// decode decodes the body of a response. It returns an *Error of unknown effect
// if the body is not valid.
func decode(body []byte, response any) error {
	if err := json.Unmarshal(body, response); err != nil {
		return &Error{MayHaveTakenEffect: true, Status: http.StatusOK, Err: errors.Annotatef(ErrResponse, "%v", err)}
	}
	return nil
}

// objectPath returns the URL path and query of an object.
func objectPath(key string) string {
	return "/object?key=" + url.QueryEscape(key)
}
