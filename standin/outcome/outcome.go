package outcome

import (
	"time"

	"gypsumward/core/api"
	"gypsumward/standin/arrival"
)

// State is the result of a call as observed by its sender.
type State string

// The states.
const (
	Complete State = "complete"
	Failed   State = "failed"
	Refused  State = "refused"
	Open     State = "open"  // no final answer within the deadline and a grace
	Wrong    State = "wrong" // an answer that belongs to another call
)

// Outcome is the outcome of one arrival.
type Outcome struct {
	Team          string        `json:"team"`
	ID            string        `json:"id"`
	NonRepeatable bool          `json:"once,omitempty"` // whether the request is not repeatable
	Tasks         int           `json:"tasks,omitempty"`
	Group         arrival.Group `json:"group"`
	State         State         `json:"state"`
	Reason        api.Reason    `json:"reason,omitempty"`
	Ran           api.RunStatus `json:"ran,omitempty"`
	Detail        string        `json:"detail,omitempty"`
	Attempts      int           `json:"tries"` // number of calls made

	Latency  time.Duration `json:"-"` // from the planned arrival to the answer
	Overhead time.Duration `json:"-"` // Latency minus the run time at speed 1
	Lateness time.Duration `json:"-"` // time past the deadline; zero if the answer was in time
}

// New returns an outcome that identifies the arrival and has no state.
func New(a arrival.Arrival) Outcome {
	return Outcome{Team: a.Team, ID: a.ID, NonRepeatable: a.NonRepeatable, Tasks: a.Tasks, Group: a.Group}
}
