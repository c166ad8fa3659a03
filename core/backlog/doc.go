// Package backlog decides whether a job can be done in time beside the jobs that wait
// already, so that one that cannot is refused at once.
//
// The load is a rush in which more work arrives than the runners can do, of jobs with
// different times to their due times. Refusing whatever exceeds a length of the queue turns
// away the jobs that are due soon, which would go ahead of most of the queue, and admits
// those that are due late, until all that wait are late.
package backlog
