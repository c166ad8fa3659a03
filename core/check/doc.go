// Package check validates the messages of callers before anything is written or
// started for them.
//
// Job and Request apply the limits of package api and then fill in the defaults,
// so that later code never sees a zero deadline or zero cores. Decode reads JSON
// strictly: a misspelt field is refused, not ignored. Each refusal states the
// field, the value and what is allowed, and its Ran is always api.RanNot.
//
// The cost of a refusal is that of decoding and one pass over the tasks. Inputs
// are opaque; only their size is checked.
package check
