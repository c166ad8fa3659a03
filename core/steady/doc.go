// Package steady provides a clock that no change of the time of day moves and
// that counts the time during which the machine was suspended.
package steady
