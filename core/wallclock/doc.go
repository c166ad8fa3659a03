// Package wallclock provides a wall clock that ignores short jumps. The wall clock of a
// machine may jump by seconds and back again, whereas its monotonic clock does not.
package wallclock
