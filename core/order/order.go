package order

import (
	"time"

	"gypsumward/core/work"
)

// Target is the runner that an order is sent to.
type Target struct {
	ID   string // id of the runner
	Addr string // IP address and port
}

// Start is the order to start a run of a task.
type Start struct {
	Task       work.Task
	Run        int    // number of the run, greater than those of all earlier runs of the task
	Spec       string // spec of the job, passed on unchanged
	Deadline   int64  // end of the lease on all runs of the runner
	Token      int64  // fencing token
	Checkpoint string // checkpoint to continue from; empty if there is none
	Ticket     string // ticket of the adviser; empty if the queue has no adviser
}

// Stop is the order to stop a run of a task.
type Stop struct {
	Task  work.Task
	Run   int   // number of the run
	Token int64 // fencing token
}

// Hold is the order to renew the lease on all runs of a runner. It acknowledges ends and
// asks for the active and ended runs.
type Hold struct {
	Deadline     int64         // end of the lease; zero leaves it unchanged
	Token        int64         // fencing token
	AckedThrough int64         // number of the last end that the runner may forget
	Wait         time.Duration // how long the runner may wait for an end before it replies
}

// Verdict is the result of an order according to the runner.
type Verdict int

// Verdicts. An order with any verdict but Unknown and Done has had no effect.
const (
	Unknown          Verdict = iota // no reply; the order may have been or may yet be carried out
	Done                            // carried out
	Fenced                          // the runner has seen a higher token
	Superseded                      // the runner has seen a run of the task with the same or a higher number
	DeadlinePassed                  // the deadline has passed
	NoCapacity                      // not enough free capacity
	Unhealthy                       // the runner is unhealthy
	WrongIncarnation                // the reply came from another incarnation of the runner
	Invalid                         // the runner does not understand the order
	InvalidTicket                   // the ticket is not valid
)

// String returns the verdict as one lower-case word, "?" for an undefined verdict.
func (v Verdict) String() string {
	names := [...]string{"unknown", "done", "fenced", "old", "late", "full", "unfit", "other", "invalid", "unadvised"}
	if int(v) < len(names) {
		return names[v]
	}
	return "?"
}

// Reply is the reply to a Start or Stop.
type Reply struct {
	Verdict Verdict
	Clock   int64 // time on the clock of the runner; zero if not reported
}

// EndReason is the reason for the end of a run.
type EndReason string

// End reasons of a run.
const (
	Finished       EndReason = "done"
	Failed         EndReason = "failed"
	Stopped        EndReason = "stopped"
	LeaseExpired   EndReason = "lapsed" // the lease of the runner expired
	GangBroken     EndReason = "broken" // another task of the gang ended
	GangIncomplete EndReason = "alone"  // the other tasks of the gang did not start in time
)

// ActiveRun is a run that has not ended.
type ActiveRun struct {
	Task       work.Task
	Run        int     // number of the run
	Percent    float64 // progress
	Checkpoint string  // last checkpoint; empty if there is none
}

// EndedRun is a run that has ended.
type EndedRun struct {
	Number     int64 // number of the end, counted from 1 for each incarnation of a runner
	Task       work.Task
	Run        int // number of the run
	Reason     EndReason
	Checkpoint string // last checkpoint; empty if there is none
}

// HoldReply is the reply to a Hold.
type HoldReply struct {
	Verdict     Verdict
	Clock       int64 // time on the clock of the runner
	Incarnation int64 // incarnation of the runner; greater for later ones
	Running     []ActiveRun
	Ends        []EndedRun // ends that the runner has not forgotten, from the first on

	// EndsTruncated means that Ends is as long as a reply can list, so that there may be more. A
	// run that neither Running nor Ends lists may then have ended.
	EndsTruncated bool
}

// Advice is the reply of the adviser. It holds a ticket for each runner that may run the
// task.
type Advice struct {
	Replied  bool              // the adviser replied
	Tickets  map[string]string // by id of the runner
	ValidFor time.Duration     // validity of the tickets
}
