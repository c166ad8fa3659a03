// Package record provides a bounded ring of log lines between the goroutines that
// decide and the one that writes. A line that finds the ring full is dropped and
// counted; nothing ever waits for the output.
package record
