// Package kind provides the run times and outputs of the kinds of work on a
// target.
//
// A run time is the nominal time of the kind divided by the speed of the target,
// with a deviation that depends only on the seed and the id, so that the same
// work takes the same time in every test run.
package kind
