// Package hlc provides a hybrid logical clock.
//
// A Timestamp orders the events of several processes. It is close to the
// wall-clock time of the process that made it, and later than every timestamp that the
// process had made or received in a message before. An event that may have caused another
// therefore has the lower timestamp, even if the clocks of the machines differ by seconds.
// Timestamps must not be used to measure the time between events of different processes,
// and no safety decision may depend on them.
package hlc
