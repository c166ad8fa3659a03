package event

import "time"

// Filter selects events. An event must match every field that is not zero.
type Filter struct {
	Team    string    `json:"team,omitempty"`
	Job     string    `json:"job,omitempty"`
	Task    string    `json:"task,omitempty"`
	Request string    `json:"request,omitempty"`
	Target  string    `json:"target,omitempty"`
	Process string    `json:"from,omitempty"`
	Kind    Kind      `json:"what,omitempty"`
	Since   time.Time `json:"since,omitzero"`  // earliest Event.Time
	Limit   int       `json:"limit,omitempty"` // largest number of events, of which the latest are kept; zero means MaxFound
}

// MaxFound is the largest number of events that one Find returns.
const MaxFound = 20_000

// Match reports whether e matches every field except Limit.
func (f *Filter) Match(e *Event) bool {
	return match(f.Team, e.Team) && match(f.Job, e.Job) && match(f.Task, e.Task) &&
		match(f.Request, e.Request) && match(f.Target, e.Target) && match(f.Process, e.Process) &&
		match(string(f.Kind), string(e.Kind)) && !e.Time.Before(f.Since)
}

// match reports whether want is empty or equal to got.
func match(want, got string) bool {
	return want == "" || want == got
}
