// Package targetclient provides HTTP clients for runners and workers.
//
// Every call reports whether the work ran, as far as that is certain:
//
//	RanNot      no byte of the call can have reached the target, or the target
//	            itself refused it before starting
//	RanYes      the target replied that it ran
//	RanUnknown  everything else: a broken connection, a timeout, or a reply that
//	            is truncated, too long, malformed or for another call
//
// Connections to each target are limited in number and reused. No call is sent
// twice.
package targetclient
