// Package owner runs the jobs of one entry instance: it claims submissions,
// starts their tasks on workers, collects the outcomes, records the answer and
// only then returns it to callers. It also takes over jobs of failed instances
// and releases its own at shutdown.
//
// # Conventions
//
// All state is confined to one goroutine, the loop, which receives messages over
// a bounded channel and never blocks: calls to the platform, workers and peers
// run in goroutines of their own that post their results as messages. A message
// is a type with an apply method.
//
// # At most once
//
// A task is sent to a worker at most once during the lifetime of its submission.
// It may be sent again only if the worker reported that it did not start it, or
// if no byte of the start call can have reached the worker. It is sent only if
// its number is below the durable mark of the claim row (see package claim). A
// new owner never sends a task that a previous owner may have sent; it asks the
// workers for it, and if none knows it the job fails with reason lost.
//
// # Answers
//
// An answer is returned only once it is durable. A failure is recorded only after
// every start call in flight was answered, abandoned as uncertain, or stopped, so
// that its Ran field remains correct.
package owner
