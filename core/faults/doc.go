// Package faults contains the tests of the fault matrix. They inject every fault
// at every step of the processing of a job, of a request and of a shutdown, and
// check the guarantees of the product from what the fakes of the outside systems
// recorded.
//
// The package has tests only. The decision code is the real one: packages commit,
// claim, lease, owner and forward, connected as in an entry instance. The
// platform, workers, runners and links are in-memory fakes. Time is that of a
// testing/synctest bubble, so a cell takes milliseconds and no test waits for a
// real clock.
//
// Under the race detector the tests must run on one processor (-cpu 1), because
// timers of one bubble that run on several processors crash the Go 1.26 runtime.
// Every bubble sleeps at its end until all timers have ended.
package faults
