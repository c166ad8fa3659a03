package event

import (
	"time"

	"gypsumward/core/hlc"
)

// Kind is the kind of an event.
type Kind string

// The phases of work, in the order in which a job passes through them. A request
// skips some of them.
const (
	Received Kind = "received" // the call of a caller arrived
	Claimed  Kind = "claimed"  // the claim of the job is durable
	Queued   Kind = "queued"   // the task or request waits for a target
	Started  Kind = "started"  // a target accepted it
	Done     Kind = "done"     // the target reported the outcome
	Recorded Kind = "recorded" // the result is durable
	Replied  Kind = "told"     // the result was sent to the caller
)

// Other kinds of events.
const (
	Refused      Kind = "refused"   // not accepted; Detail says why
	Sent         Kind = "sent"      // about to be sent to a target; may have started there
	Failed       Kind = "failed"    // a target reported that it ran and failed
	Unknown      Kind = "unknown"   // a target sent no complete response
	Retried      Kind = "retried"   // queued again for another attempt
	TakenOver    Kind = "taken"     // the job was taken over from another instance
	Transferred  Kind = "handed"    // transferred to another instance
	Attached     Kind = "attached"  // a resubmission waits for the same result
	Cancelled    Kind = "cancelled" // the caller cancelled it
	Stopped      Kind = "stopped"   // a target stopped it
	Applied      Kind = "applied"   // settings were applied
	Joined       Kind = "joined"    // an instance or target was first seen
	Leaving      Kind = "leaving"   // an instance or target is about to be removed
	Lost         Kind = "lost"      // an instance or target is unavailable, or the job was lost to another instance
	MarkAdvanced Kind = "marked"    // the high-water mark of the job has advanced: more of its tasks may start
	Finished     Kind = "finished"  // all tasks of the job have ended
	Recording    Kind = "recording" // the result is being written
	Failing      Kind = "failing"   // the job is about to end as failed; Detail says why
	RunFound     Kind = "found"     // a worker knows a task whose run was searched for
)

// Phases returns the kinds of events that are phases, in order.
func Phases() []Kind {
	return []Kind{Received, Claimed, Queued, Started, Done, Recorded, Replied}
}

// Event is a single occurrence in one process.
type Event struct {
	Timestamp hlc.Timestamp `json:"at"`
	Time      time.Time     `json:"time"` // on the monotonic clock of the process, see Log
	Process   string        `json:"from"` // name@incarnation of the process
	Kind      Kind          `json:"what"`
	Team      string        `json:"team,omitempty"`
	Job       string        `json:"job,omitempty"`     // submission id
	Task      string        `json:"task,omitempty"`    // task name within the job
	Request   string        `json:"request,omitempty"` // request id
	Target    string        `json:"target,omitempty"`  // runner, worker or instance concerned
	Detail    string        `json:"detail,omitempty"`  // free text, at most MaxDetail bytes
}

// eventOverhead is the memory of an event without the contents of its strings.
const eventOverhead = 192 // bytes

// size returns the approximate memory of e, in bytes.
func (e *Event) size() int {
	return eventOverhead + len(e.Process) + len(e.Kind) + len(e.Team) + len(e.Job) + len(e.Task) +
		len(e.Request) + len(e.Target) + len(e.Detail)
}
