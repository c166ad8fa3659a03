// Package queue provides the subcommands for jobs of queues on the users' platform:
// submit, state, cancel and pending. A queue is named by its host and path, as clients
// name it.
package queue
