package api

import (
	"encoding/json"

	"gypsumward/core/span"
)

// Limits on what a caller may submit.
const (
	MaxTasks        = 1200             // tasks in one job
	MaxIDLen        = 128              // bytes in a team, submission, request, task or kind name
	MaxInputSize    = 1 << 20          // bytes in the input of one task or request
	MaxBodyBytes    = 64 << 20         // bytes in the body of one call
	MaxCores        = 1024             // cores declared for one task
	MaxMemory       = 4 << 40          // bytes of memory declared for one task
	MaxDeadline     = 24 * span.Hour   // longest deadline of a job or request
	MaxUrgency      = 9                // the most urgent level; 0 is the least urgent
	DefaultDeadline = 30 * span.Second // deadline of a job or request that declares none
	DefaultCores    = 1                // cores of a task that declares none
)

// Job is a batch of tasks that completes or fails as a whole.
type Job struct {
	Team     string    `json:"team"`
	ID       string    `json:"id"`                 // submission id, chosen by the caller
	Tasks    []Task    `json:"tasks"`              // 1 to MaxTasks, names unique
	Urgency  int       `json:"urgency,omitempty"`  // 0 to MaxUrgency; higher values run sooner
	Deadline span.Span `json:"deadline,omitempty"` // time left until the answer is due; zero means DefaultDeadline
}

// Task is one piece of work of a job.
type Task struct {
	Name            string          `json:"name"`
	Kind            string          `json:"kind"`
	Input           json.RawMessage `json:"input,omitempty"`
	Cores           float64         `json:"cores,omitempty"`  // zero means DefaultCores
	Memory          int64           `json:"memory,omitempty"` // bytes; zero means unknown
	ExpectedRunTime span.Span       `json:"time,omitempty"`   // expected run time; zero means unknown
}

// Request is a single call that is forwarded to a runner. Urgency and Deadline are
// as in Job.
type Request struct {
	Team       string          `json:"team"`
	ID         string          `json:"id,omitempty"` // identifies the call across resubmissions; required unless Repeatable is set
	Kind       string          `json:"kind"`
	Input      json.RawMessage `json:"input,omitempty"`
	Repeatable bool            `json:"repeatable,omitempty"` // the call may run more than once
	Urgency    int             `json:"urgency,omitempty"`
	Deadline   span.Span       `json:"deadline,omitempty"`
}

// Key identifies a job or a request of a team.
type Key struct {
	Team string `json:"team"`
	ID   string `json:"id"`
}
