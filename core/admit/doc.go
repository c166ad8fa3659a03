// Package admit provides admission control that refuses work early if it would
// miss its deadline.
//
// A Gate measures the rate at which a queue drains, in target seconds per second,
// and estimates from it how long new work would wait. Work that would end after its
// deadline is refused immediately, at the cost of a few additions, with a hint when
// to resubmit it. The hint has jitter, so that refused clients do not resubmit at
// the same time.
//
// Package gypsumward/core/admit/shares computes the shares of teams over the
// instances of a data centre.
package admit
