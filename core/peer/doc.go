// Package peer provides remote procedure calls between entry instances, by JSON-RPC
// 2.0 over TCP.
//
// A Server serves the methods registered with Handle. A Client calls them over one
// connection per peer, which it opens on the first call, reopens after a failure and
// closes after a time without calls.
//
// Every failed call returns a *Fault, which says whether the call may have been
// handled. A call is never sent twice. Messages, connections and calls in flight
// are bounded. Each message and each response carries the timestamp of the hybrid
// logical clock. Each message also carries the time left to its caller, which
// becomes the deadline of the handler's context.
//
// If a peer sends nothing while calls are in flight, the client sends it a ping and
// closes the connection if there is no response. A half-open connection or a frozen
// peer therefore delays a call by at most two ping intervals.
package peer
