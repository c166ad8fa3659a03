// Package forward sends the requests of callers to runners and returns their
// complete answers.
//
// # Concurrency
//
// As in package owner, all state belongs to one goroutine, the loop, which
// receives messages; calls to runners and peers run in goroutines of their own.
// Requests are queued here and not at the runners: a request is sent only when a
// runner has a free slot for it.
//
// # At-most-once execution
//
// A request that is not repeatable has an id and a claim row (see package
// claim), which is written before the request is sent. The request is sent again
// only if the runner itself refused it or no byte of it can have reached the
// runner. A repeatable request needs no row and is therefore served also while
// the store is unreachable.
//
// # Deadlines
//
// The queue refuses a request immediately if it would wait past its deadline. A
// queued request is not sent if the time to its deadline is too short for its
// expected run time. Both refusals state that the request did not run.
//
// # Other instances
//
// The instances of a data centre exchange the demand that reaches each of them
// (UsageSender) and divide the runners accordingly. A request for which there is
// no capacity is sent to an instance of another data centre (PeerCentres), at most once.
// That instance only runs the request: the claim stays here, and the outcome is
// unknown if no answer comes back.
//
// # Hedged requests
//
// A repeatable request gets a second attempt if the first one takes long and its
// team is configured for hedging. The first complete answer is used.
//
// # Answers
//
// A refusal states that the request did not run only if that is certain. The
// outcome of a claimed request is returned at once and recorded in the
// background. A caller that asks for it after the instance has failed and before
// it is recorded receives the outcome unknown, which contradicts no earlier
// answer.
package forward
