// Package cell provides the decisions of the holder of a cell: a set of runners and
// the jobs that run on them.
//
// A Cell is a state machine without goroutines. It is told what came in by its
// methods, each with the time, and gives orders and writes through two interfaces,
// whose answers come back as messages. One goroutine owns it.
//
// # What is agreed in the store
//
// The row of the holder names the one instance that may write the rows of the cell:
// every write requires the version that the holder put. That version also makes its
// fencing tokens, so that orders and writes of a former holder are void once another
// holds the cell. A job is accepted when its row stands, and ended when the row of
// its end does. What a runner has listed is acknowledged to it only after that.
//
// # Runs
//
// A task has at most one run that may be alive. It is booked on its runner from the
// order on, and until the runner lists its end, or says under a newer token that it
// has no such run, or the lease on the runner has certainly lapsed.
package cell
