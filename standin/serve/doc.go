// Package serve provides the HTTP server that all stand-ins share.
//
// A server prints "listening ADDR" when it is ready, applies the faults of
// package fault and stops on SIGTERM or an interrupt.
package serve
