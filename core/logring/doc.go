// Package logring provides a bounded buffer of log lines between the goroutines that log
// and the one that writes the output. A line is dropped and counted if the buffer is
// full, so that logging never blocks on the output.
package logring
