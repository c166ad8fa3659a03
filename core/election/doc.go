// Package election elects the holder of a cell by means of rows in the store.
//
// The holder row names one incarnation of one instance. Every write of the row is
// conditional on its version, which is the epoch of the holder. The holder also writes
// a heartbeat row, conditional on that epoch.
//
// A holder considers itself valid until its lease, counted from when it sent the last
// heartbeat that was written, expires, or for as long as all other instances have
// promised not to take over. An instance takes over when it has seen no new heartbeat
// for longer than the lease and its own promise has expired: earlier if connections to
// the holder's address are refused, later if the holder is merely silent. The claim is
// conditional on no heartbeat having been written since the decision. The terms of two
// holders therefore never overlap, whatever the cause of the takeover.
package election
