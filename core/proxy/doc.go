// Package proxy passes the calls of callers to the holder of a cell: directly if this
// instance is the holder, otherwise by a call to the instance that is. It also exchanges
// hello messages with the holder.
//
// A job may be submitted to several holders in turn, since its id makes it one job. A
// caller receives a refusal only if no holder can have accepted the job.
package proxy
