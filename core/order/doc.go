// Package order defines the orders that a holder sends to runners and the replies of
// runners.
//
// Every order carries the holder's fencing token. A runner ignores an order whose token
// is lower than the highest it has seen. Times are in milliseconds on the runner's own
// monotonic clock. An order without a reply may have been carried out, or may be carried
// out later; its deadline bounds how much later.
package order
