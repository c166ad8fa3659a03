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
// are needed. An instance that is no standby takes over when the holder and all standbys
// have been silent for so long that no promise can extend the lease any more.
//
// An instance takes over when it has seen no new heartbeat for longer than the lease and
// its own promise has expired: earlier if connections to the holder's address are refused
// or the holder answers no hello messages, later if only its heartbeats are missing. The
// claim is conditional on no heartbeat having been written since the decision, and an
// instance gives no promise while a claim of its own may still take effect. The terms of
// two holders therefore never overlap, whatever the cause of the takeover.
//
// Instances that compete for a cell watch its rows; the others learn the holder from a
// Notice.
package election
