// Package claim provides the table rows that make submissions unique and
// recoverable, and the changes between their states.
//
// # Rows
//
// A submission has one row, under job/TEAM/ID or request/TEAM/ID, once it is
// accepted. While it is open there is also an index row under open/OWNER/..., by
// which the submissions of a failed owner are found. Both rows change in the same
// transaction.
//
//	absent   -> open      Claim: insert if absent
//	open     -> open      RaiseMark: a higher mark; TakeOver: another owner, epoch + 1
//	open     -> released  Release: left to another instance, or refused as not run
//	released -> open      Claim over it, or TakeOver
//	open     -> final     Finish: the durable answer
//
// Every change is conditional on the version of the row that its writer read
// last, so a previous owner that was paused beyond its lease cannot change the
// row once it was taken over. Rows are not deleted while a resubmission may
// arrive: a late write of a lost claim would otherwise create the row again.
//
// # The mark
//
// Tasks are numbered in the order of the submission. A task may be started only
// if its number is below the durable Mark. An instance that takes over the row
// thus knows, without relying on clocks, which tasks any previous owner, even a
// paused one, may have started: those below Mark that are not in NeverStarted.
// NeverStarted is written only by an owner that releases the row, and lists only
// tasks that it did not start and never will.
package claim
