// Package runner provides the stand-in for a runner: a back end that executes
// requests in a fixed number of slots and serves a limited number of connections.
//
// A runner refuses calls that it cannot start at once, never queues, and
// completes a call even if the caller disconnects.
package runner
