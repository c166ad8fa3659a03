// Package tenure provides who holds a cell, agreed through rows of the store.
//
// The row of the holder names one life of one instance. It is changed only on the
// condition of its version, which is the epoch of the holder. Besides it stands a
// sign of life, which the holder writes on the condition of the epoch.
//
// A holder counts itself as such for a while after it sent the last sign of life that
// was written, or for as long as all others have promised not to replace it. It is
// replaced by an instance that has seen no new sign of life for longer than that while,
// and whose own promise is over: sooner if nothing listens at the holder's address,
// later if it is silent. The claim requires that no sign of life has come since it was
// decided. So the tenures of two holders never overlap, whatever the cause.
package tenure
