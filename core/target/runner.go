package target

import (
	"encoding/json"

	"gypsumward/core/span"
)

// Call asks a runner to execute one request.
type Call struct {
	ID       string          `json:"id"` // identifier, unique for each attempt
	Team     string          `json:"team"`
	Kind     string          `json:"kind"`
	Input    json.RawMessage `json:"input,omitempty"`
	TimeLeft span.Span       `json:"left"` // time left to the caller's deadline
}

// Reply is the response of a runner to a Call.
type Reply struct {
	ID      string          `json:"id"`                // the ID of the Call
	Output  json.RawMessage `json:"output,omitempty"`  // output of a call that succeeded
	Error   string          `json:"failed,omitempty"`  // error text if the call ran and failed, else empty
	Refused Refused         `json:"refused,omitempty"` // reason if the call was not started, else empty
	RunTime span.Span       `json:"took,omitempty"`    // run time on the runner
}

// Refused is the reason why a target did not start a call or task. The zero value
// means that it was not refused.
type Refused string

// Reasons of refusals.
const (
	RefusedLeaving Refused = "leaving" // the target is shutting down
	RefusedFull    Refused = "full"    // all slots or connections are in use
	RefusedLate    Refused = "late"    // the deadline had passed when the call arrived
)
