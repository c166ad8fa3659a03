// Package monotonic provides a monotonic clock, which changes of the wall clock do not affect
// and which includes the time during which the machine was suspended.
package monotonic
