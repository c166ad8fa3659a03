package event

import (
	"time"

	"gypsumward/core/stamp"
)

// What is the kind of an event.
type What string

// The phases of work, in the order in which a job passes through them. A request
// skips some of them.
const (
	Received What = "received" // the call of a caller arrived
	Claimed  What = "claimed"  // the claim of the job is durable
	Queued   What = "queued"   // the task or request waits for a target
	Started  What = "started"  // a target accepted it
	Done     What = "done"     // the target reported the outcome
	Recorded What = "recorded" // the result is durable
	Replied  What = "told"     // the result was sent to the caller
)

// Other kinds of events.
const (
	Refused   What = "refused"   // not accepted; Detail says why
	Sent      What = "sent"      // about to be sent to a target; may have started there
	Failed    What = "failed"    // a target reported that it ran and failed
	Unknown   What = "unknown"   // a target sent no complete response
	Retried   What = "retried"   // queued again for another attempt
	Taken     What = "taken"     // the job was taken over from another instance
	Handed    What = "handed"    // transferred to another instance
	Attached  What = "attached"  // a resubmission waits for the same result
	Cancelled What = "cancelled" // the caller cancelled it
	Stopped   What = "stopped"   // a target stopped it
	Applied   What = "applied"   // settings were applied
	Joined    What = "joined"    // an instance or target was first seen
	Leaving   What = "leaving"   // an instance or target is about to be removed
	Lost      What = "lost"      // an instance or target is unavailable, or the job was lost to another instance
	Marked    What = "marked"    // the high-water mark of the job has advanced: more of its tasks may start
	Finished  What = "finished"  // all tasks of the job have ended
	Recording What = "recording" // the result is being written
	Failing   What = "failing"   // the job is about to end as failed; Detail says why
	Found     What = "found"     // a worker knows a task whose run was searched for
)

// Phases returns the kinds of events that are phases, in order.
func Phases() []What {
	return []What{Received, Claimed, Queued, Started, Done, Recorded, Replied}
}

// Event is a single occurrence in one process.
type Event struct {
	Timestamp stamp.Stamp `json:"at"`
	Time      time.Time   `json:"time"` // on the monotonic clock of the process, see Log
	Process   string      `json:"from"` // name@incarnation of the process
	What      What        `json:"what"`
	Team      string      `json:"team,omitempty"`
	Job       string      `json:"job,omitempty"`     // submission id
	Task      string      `json:"task,omitempty"`    // task name within the job
	Request   string      `json:"request,omitempty"` // request id
	Target    string      `json:"target,omitempty"`  // runner, worker or instance concerned
	Detail    string      `json:"detail,omitempty"`  // free text, at most MaxDetail bytes
}

// eventOverhead is the memory of an event without the contents of its strings.
const eventOverhead = 192 // bytes

// size returns the approximate memory of e, in bytes.
func (e *Event) size() int {
	return eventOverhead + len(e.Process) + len(e.What) + len(e.Team) + len(e.Job) + len(e.Task) +
		len(e.Request) + len(e.Target) + len(e.Detail)
}
