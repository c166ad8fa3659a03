// Package commit writes rows to the platform's table in groups.
//
// Callers submit a Change, which is a few row operations that belong together. The
// Committer combines the queued changes into one transaction, so that the rate of
// synced writes is bounded by Settings.MaxRate whatever the number of jobs. A change
// that arrives while the queue is empty is written as soon as the rate allows.
//
// # Lost answers
//
// A write whose answer is lost may have taken effect, or may take effect later.
// The Committer does not guess: it sends the same change with the same conditions
// until it is answered. If the first write took effect, the second conflicts with
// the values that the first wrote, which proves success; if not, the second takes
// effect and a late first write fails its conditions. This requires that the
// first operation of a Change is conditional and writes a value that no other
// write ever uses (see claim.Row.Nonce).
//
// # Outages
//
// While writes are not answered the Committer is down: changes with FailFast set
// that were not sent yet end at once as NotWritten, the others wait, and
// transactions are retried one at a time with exponential back-off. The number of
// waiting changes is bounded.
package commit
