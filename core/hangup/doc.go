// Package hangup tells whether the peer of a connection has closed it.
//
// What a peer sent before its connection broke can still be read, also long after on a machine
// that is slow. The peer may have sent it again elsewhere meanwhile.
package hangup
