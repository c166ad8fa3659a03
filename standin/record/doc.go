// Package record provides the record that a target keeps of the work that it
// started. Checks read it to find work that was started twice.
package record
