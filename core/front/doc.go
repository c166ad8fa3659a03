// Package front provides what an instance does for callers: it takes jobs and
// questions and hands them to the holder of the cell, over a call between instances
// or directly if it is the holder itself.
//
// A job may be handed to several holders in turn, since its id makes it one job. A
// caller is told that it is not accepted only if no holder can have taken it.
package front
