// Package fault injects faults into stand-ins.
//
// Faults are switched over HTTP, one at a time:
//
//	POST /fault  Fault   -> List   switches one fault on or off
//	GET  /fault          -> List   the faults that are on
//
// Down, Slow, Lost, Hang, Freeze and Truncate act on the HTTP exchanges of every
// stand-in. The others are implemented by the stand-ins that they concern. The
// paths /fault, /record and /count are exempt, so that a check can read the
// records while a fault is on.
package fault
