package api

import (
	"encoding/json"

	"gypsumward/core/span"
)

// State is the state of a job or request.
type State string

// The states of a job or request. StateComplete and StateFailed are final.
const (
	StateOpen     State = "open"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// RunStatus states whether work without an outcome was started.
type RunStatus string

// The values of Ran in refusals and failures.
const (
	RanNot     RunStatus = "notrun"  // no part of it was started, and none will be
	RanUnknown RunStatus = "unknown" // it may have been started
	RanYes     RunStatus = "ran"     // it was started
)

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons of refusals and failures. docs/API.md explains each to callers.
const (
	ReasonInvalid   Reason = "invalid"   // the message violates a limit or rule
	ReasonTeam      Reason = "team"      // the team is not known or the key does not allow it
	ReasonConflict  Reason = "conflict"  // the id was used before with other content
	ReasonMissing   Reason = "missing"   // no job or request has this id
	ReasonFull      Reason = "full"      // queues are full or the team is over its share
	ReasonDeadline  Reason = "deadline"  // the deadline passed or cannot be met
	ReasonStore     Reason = "store"     // the platform's table service cannot be reached
	ReasonStopping  Reason = "stopping"  // the instance is shutting down
	ReasonTargets   Reason = "targets"   // no target can take the work now
	ReasonUnfit     Reason = "unfit"     // no worker is large enough for the task
	ReasonTask      Reason = "task"      // a task ran and failed
	ReasonLost      Reason = "lost"      // a started task cannot be accounted for
	ReasonOwner     Reason = "owner"     // the owning instance cannot be reached
	ReasonTarget    Reason = "target"    // the target closed the connection or sent an invalid response
	ReasonCancelled Reason = "cancelled" // the caller cancelled it
)

// Answer is the state of a job or request, final or not.
type Answer struct {
	Team    string          `json:"team"`
	ID      string          `json:"id,omitempty"`
	State   State           `json:"state"`
	Reason  Reason          `json:"reason,omitempty"` // cause of the failure
	Detail  string          `json:"detail,omitempty"` // description of the cause
	Ran     RunStatus       `json:"ran,omitempty"`    // set on failures
	Results []TaskResult    `json:"results,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"` // output of a request
	Elapsed span.Span       `json:"took,omitempty"`   // time from acceptance to the final answer
}

// TaskResult is the output of one task of a complete job. Answer.Results holds them in
// the order of Job.Tasks.
type TaskResult struct {
	Name   string          `json:"name"`
	Output json.RawMessage `json:"output,omitempty"`
}

// Final reports whether the answer can no longer change.
func (a Answer) Final() bool {
	return a.State == StateComplete || a.State == StateFailed
}

// Refusal is the response to a message that was not accepted. It states the reason
// and whether the work ran.
type Refusal struct {
	Reason     Reason    `json:"reason"`
	Detail     string    `json:"detail,omitempty"`
	Ran        RunStatus `json:"ran"`
	RetryAfter span.Span `json:"retry,omitempty"` // time after which to retry; zero means do not retry
}

// Error returns the reason, detail and Ran value of the refusal. It implements
// error.
func (r *Refusal) Error() string {
	return string(r.Reason) + ": " + r.Detail + " (" + string(r.Ran) + ")"
}
