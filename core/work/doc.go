// Package work provides jobs as callers hand them in: steps of tasks that run on
// runners, the queues that they wait in, and the states that callers are told.
//
// A job is complete when every task of every step has ended as done, and failed
// when one task has failed as often as its queue allows. A step starts when all
// tasks of the steps that it names in After are done.
package work
