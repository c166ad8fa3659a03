package target

import (
	"encoding/json"

	"gypsumward/core/span"
)

// Start asks a worker to start tasks. The worker starts all tasks whether they
// fit or not, and does not recognise an id that it has seen before.
type Start struct {
	Holder string    `json:"holder"` // entry instance that watches the tasks
	Lease  span.Span `json:"lease"`  // time without a Watch after which the worker stops the tasks
	Tasks  []Task    `json:"tasks"`
}

// Task describes one task to start.
type Task struct {
	ID     string          `json:"id"` // identifier, unique over all jobs; see api.TaskID
	Kind   string          `json:"kind"`
	Input  json.RawMessage `json:"input,omitempty"`
	Cores  float64         `json:"cores,omitempty"`
	Memory int64           `json:"memory,omitempty"` // bytes
}

// Started lists the state of each task of a Start, in the same order.
type Started struct {
	Tasks []TaskState `json:"tasks"`
}

// Phase is the state of a task in its life cycle on a worker.
type Phase string

// The phases of a task on a worker.
const (
	Running    Phase = "running" // the task is running
	Done       Phase = "done"    // the task succeeded and has an output
	Failed     Phase = "failed"  // the task ran and failed
	Stopped    Phase = "stopped" // the task was stopped on request or because its lease expired
	NotStarted Phase = "refused" // the task was not started and never will be
	Unknown    Phase = "unknown" // the worker does not know the task
)

// TaskState is the state of one task on a worker.
type TaskState struct {
	ID      string          `json:"id"`
	Phase   Phase           `json:"phase"`
	Output  json.RawMessage `json:"output,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	RunTime span.Span       `json:"took,omitempty"`
}

// Watch asks a worker for the outcomes of the holder's tasks and renews their
// leases. The worker responds at the first outcome or after Wait.
type Watch struct {
	Holder string    `json:"holder"`
	After  int64     `json:"after"` // Next of the last Outcomes received; zero in the first Watch
	Wait   span.Span `json:"wait"`  // longest time to wait for an outcome
}

// Outcomes lists outcomes in the order in which they occurred. The worker keeps an
// outcome until a Watch acknowledges it with an After at or beyond it, and for
// some time afterwards.
type Outcomes struct {
	Next  int64       `json:"next"`
	Tasks []TaskState `json:"tasks"`
	Usage Usage       `json:"usage"`
}

// Usage is the load of a worker at an earlier time, as reports lag.
type Usage struct {
	Cores   float64   `json:"cores"`             // cores in use
	Memory  int64     `json:"memory"`            // bytes in use
	Running int       `json:"running"`           // number of running tasks
	Age     span.Span `json:"age"`               // age of the figures
	Leaving bool      `json:"leaving,omitempty"` // whether the worker is shutting down
}

// Adopt asks a worker to make Holder the holder of the listed tasks and to return
// the state of each. Tasks that the worker does not know have the phase Unknown.
type Adopt struct {
	Holder string   `json:"holder"`
	IDs    []string `json:"ids"`
}

// TaskStates lists the state of each task of an Adopt or a TaskIDs, in the same
// order.
type TaskStates struct {
	Tasks []TaskState `json:"tasks"`
}

// TaskIDs lists the tasks to stop, throttle or checkpoint, depending on the path to
// which it is sent.
type TaskIDs struct {
	IDs []string `json:"ids"`
}

// StartCount is the number of starts of one call or task as recorded by a target
// itself. It serves to check that nothing is started more often than intended.
type StartCount struct {
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Count int    `json:"count"` // number of starts with this id
}
