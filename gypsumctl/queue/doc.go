// Package queue provides the subcommands for jobs of queues on the users'
// platform: submit, state, cancel and pending. A queue is identified by its host
// and path, as in the calls of clients.
package queue
