// Package event provides the time line, a log of what happened to jobs, requests,
// tasks and targets in all processes.
//
// Every process keeps its events in a Log, a ring buffer bounded by count and bytes.
// Find returns the events that match a Filter, Merge puts the events of several
// processes into causal order, and Timeline formats them as text.
//
// An event carries two times. Timestamp, of the hybrid logical clock, orders it
// against events of other processes. Time, of the monotonic clock of its own process,
// serves to compute durations. Timestamps cannot do that: those of a process that has
// received a message from one whose clock is ahead almost stand still until its own
// clock has caught up.
package event
