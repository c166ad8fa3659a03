// Package order provides the orders that a holder gives to runners, and what
// runners answer.
//
// Every order carries the holder's fencing token; a runner does nothing for one
// that is lower than the highest it has seen. Times are in milliseconds on the
// runner's own steady clock. An order without an answer may have been carried
// out, and may be carried out later; its deadline bounds how much later.
package order
