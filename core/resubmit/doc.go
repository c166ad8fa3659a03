// Package resubmit tests what happens to transient jobs that clients submit again.
//
// Its tests simulate several cells, entry instances in several data centres, runners, a store and
// clients on a simulated clock. The instances run the code that is in use: overflow, proxy, peer,
// eventloop, cell, election and handover. Only the network, the store, the runners and the clients
// are simulated, and faults are injected into them at random. A client submits a job again, to any
// instance, some time after it has lost its connection; the tests check that no task ever has two
// runs at the same time, that a refused job never runs, and that every submission is answered.
//
// More plays than in the suite, with the traces of what they find:
//
//	go test ./resubmit -resubmit.seed 1 -resubmit.plays 100 -resubmit.traces DIRECTORY
package resubmit
