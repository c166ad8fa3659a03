// Package cell implements the scheduling state machine of a cell, which is a set of
// runners and the jobs that run on them. The holder of the cell's lease row runs it.
//
// A Cell starts no goroutines and must be used by one goroutine at a time. Its methods
// take events together with the current time. It sends orders and writes through the
// interfaces OrderSender and Store, whose results come back as messages.
//
// # Consistency with the store
//
// The holder's row names the only instance that may write the rows of the cell. Every
// write is conditional on the version of that row, the epoch. Fencing tokens are
// derived from the epoch, so orders and writes of a previous holder are rejected once
// another instance holds the cell. A job is accepted when its row is stored, and ended
// when the row of its end is stored. The ends that a runner reports are acknowledged
// only after that.
//
// # Runs
//
// A task has at most one run that may be alive. The run is accounted for on its runner
// from the start order until the runner reports its end, or reports under a newer token
// that it has no such run, or the lease on the runner has certainly expired.
package cell
