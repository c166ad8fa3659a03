// Package lead runs a cell for one term: the goroutine that owns it, the calls to
// runners and the store, and the reading of its rows at the start.
package lead
