// Package once provides an HTTP client that does not resend a request if any byte
// of it may have reached the server.
//
// The transport of net/http resends a request on its own in two cases: if nothing
// of it was written to a reused connection, which is harmless, and if the request
// counts as replayable, which does not apply to a POST or PUT without an
// Idempotency-Key header. Following a redirect would also resend the request;
// redirects are not followed here.
//
// A Response tells whether a connection was obtained for the request. Without one,
// no byte can have reached the server. With one, it is not known whether the server
// processed the request until a complete response has arrived.
package once
