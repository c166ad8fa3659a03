// Package tenure provides who holds a cell, agreed through rows of the store.
//
// The row of the holder names one life of one instance. It is changed only on the
// condition of its version, which is the epoch of the holder. Besides it stands a
// sign of life, which the holder writes on the condition of the epoch. An instance
// that has seen no new sign of life for a while, over a watch that was answered all
// the time, puts its own name. So does one that finds for the time of a sign of life that
// nothing listens at the holder's address and none comes; the former holder may then be
// alive behind a cut, and the term tells for how long.
//
// A holder counts itself as such until a while after it sent the last sign of life
// that was written; that while is shorter than the one after which it is replaced.
package tenure
