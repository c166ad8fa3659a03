// Package choose selects the runner that a request is forwarded to.
//
// A request waits at its entry instance until Pick finds a slot for it; runners
// have no queue. Pick reserves the slot and Done frees it. Several entry
// instances share the slots of a runner without coordinating single calls: each
// instance uses its own part of the slots, and a runner without a free slot
// refuses the call.
//
// All decisions depend only on the arguments and on the outcomes of earlier
// calls. The package starts no goroutines and reads no clock.
package choose
