// Package api defines the messages between callers and entry instances.
//
// Callers send a Job of up to MaxTasks short tasks, or a single Request. The
// response to either is an Answer, or a Refusal if it is refused. A Refusal always
// states whether the work ran; see Ran.
//
// All messages are JSON. Durations are strings with a unit, as in "250ms".
package api
