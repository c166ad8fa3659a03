package once

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Default values of the fields of Settings.
const (
	DefaultConns       = 16
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxBytes    = 4 << 20 // bytes
)

// TCP keep-alive parameters.
const (
	probeIdle     = 5 * time.Second
	probeInterval = 2 * time.Second
	probeCount    = 3
)

const maxHeaderBytes = 64 << 10 // bytes of response headers

// Settings holds the limits of a Client. A zero field means its default.
type Settings struct {
	Conns       int           // maximum connections to one address; further requests wait
	DialTimeout time.Duration // time limit to connect
	IdleTimeout time.Duration // time for which an idle connection is kept
	MaxBytes    int64         // maximum bytes in the body of one response
}

// Client is an HTTP client that sends each request at most once. It is safe for
// concurrent use.
type Client struct {
	limit     int64
	transport *http.Transport
	client    *khttp.Client
}

// New returns a client with the given settings. It panics if one of them is
// negative.
func New(s Settings) *Client {
	s = s.withDefaults()
	dialer := &net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        s.Conns,
		MaxIdleConnsPerHost:    s.Conns,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	client, err := khttp.NewClient(context.Background(),
		khttp.WithTransport(noRedirects{transport}),
		khttp.WithTimeout(0),
		khttp.WithErrorDecoder(acceptAnyStatus),
	)
	if err != nil {
		panic(err.Error())
	}
	return &Client{limit: s.MaxBytes, transport: transport, client: client}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Send sends one request and reads the complete response. If body is nil, the
// request has no body. The response is never nil.
func (c *Client) Send(ctx context.Context, method, url string, body []byte) *Response {
	response := &Response{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: response.addConn})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		response.Err = err
		return response
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.client.Do(req)
	if err != nil {
		response.Err = err
		return response
	}
	defer func() { _ = res.Body.Close() }()
	response.readBody(res, c.limit)
	return response
}

// withDefaults returns s with zero fields replaced by their defaults. It panics if a
// field is negative.
func (s Settings) withDefaults() Settings {
	if s.Conns < 0 || s.DialTimeout < 0 || s.IdleTimeout < 0 || s.MaxBytes < 0 {
		panic(negativeSetting)
	}
	if s.Conns == 0 {
		s.Conns = DefaultConns
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = DefaultMaxBytes
	}
	return s
}

const negativeSetting = "once: negative setting"

// acceptAnyStatus is an error decoder that treats no status as an error, so that the
// caller receives all of them.
func acceptAnyStatus(context.Context, *http.Response) error {
	return nil
}

// noRedirects is a transport that prevents the client from following redirects.
type noRedirects struct {
	next http.RoundTripper
}

// RoundTrip sends req and removes the Location header from the response.
func (n noRedirects) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := n.next.RoundTrip(req)
	if err == nil {
		res.Header.Del("Location")
	}
	return res, err
}
