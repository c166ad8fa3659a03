// Package fleet simulates a data centre for the experiments: arrivals, targets and entry
// instances on an event loop with a virtual clock.
//
// A target consists of slots and service times. Every message takes the constant time
// MessageDelay. Neither the network nor processes are modelled: an entry instance consists
// of a queue and a picker.
//
// A simulation runs in one goroutine and draws its random numbers from given seeds, so that
// its results are reproducible to the last digit.
package fleet
