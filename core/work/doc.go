// Package work defines jobs as callers submit them: steps of tasks that run on runners,
// the queues that jobs wait in, and the states that are reported to callers.
//
// A job has succeeded when every task of every step is done, and has failed when one task
// has failed as often as its queue allows. A step starts when all tasks of the steps that
// it names in After are done.
package work
