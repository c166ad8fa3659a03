// Package worker provides the stand-in for a worker: a machine that runs the
// tasks of jobs under leases.
//
// A worker starts every task that it is given, including one whose id it has seen
// before. Its tasks share its cores and memory: if they use more than there is,
// all slow down by the same factor. A task is stopped if its holder does not
// watch for the duration of its lease. Outcomes are numbered in the order in
// which they occur and are kept for some time after their holder has seen them.
// Usage is reported with a lag.
//
// Pool implements the logic with the time passed in; Worker serves it over HTTP.
package worker
