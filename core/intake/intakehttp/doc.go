// Package intakehttp applies the decisions of package intake to the connections of an HTTP server.
//
// A Server wraps the listener, the handler and the hooks of an http.Server. Its connections count the
// bytes of each header and enforce the limits that are in force when they read, so that a changed
// configuration needs no new server. Bodies are read with ReadBody, which takes their bytes, and those
// of what is decoded from them, from the claim of the connection.
//
// What is refused gets a reply if one can be sent: 431 for a header, 413 for a body, 408 for a request
// that is too slow and 503 for lack of capacity. A request that has been refused has not run, since
// handlers act on whole requests only.
package intakehttp
