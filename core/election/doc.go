// Package election elects the holder of a cell by means of rows in the store.
//
// The holder row names one incarnation of one instance. Every write of the row is
// conditional on its version, which is the epoch of the holder. The holder also writes
// a heartbeat row, conditional on that epoch.
//
// A holder considers itself valid until its lease, counted from when it sent the last
// heartbeat that was written, expires, or for as long as all other instances have
// promised not to take over. A further row, written with each claim, names a few standbys:
// only they, and the node of the holder itself, take over soon, and only their promises
// are needed.
//
// The same row names reserves, in other data centres than the standbys. A reserve takes over
// when the holder and all standbys seem to be lost: soon if it reaches the runners of the
// cell, later in any case. The holder may only be cut off and go on by the promises of its
// standbys, so it may run stored jobs for a limited time after its last heartbeat, which
// only the promises of all reserves extend. A reserve learns when that time ends, and that
// the term before it may be open. All other instances wait until no promise can extend it.
//
// An instance takes over when it has seen no new heartbeat for longer than the lease and
// its own promise has expired: earlier if connections to the holder's address are refused
// or the holder answers no hello messages, later if only its heartbeats are missing. The
// claim is conditional on no heartbeat having been written since the decision, and an
// instance gives no promise while a claim of its own may still take effect. The terms of
// two holders therefore overlap only where a reserve or another instance has taken over, and
// never in the right to run stored jobs.
//
// Instances that compete for a cell watch its rows; the others learn the holder from a
// Notice.
package election
