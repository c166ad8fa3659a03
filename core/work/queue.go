package work

// Queue holds the settings of the queue that a job waits in, as they were when the job
// was submitted. A job is late when it takes longer than Stretch times the length of its
// critical path plus TargetLatency.
type Queue struct {
	Name           string  `json:"name"`
	Service        string  `json:"service"`           // service whose runners run the job
	Priority       int     `json:"priority"`          // 0 is served first
	MaxAttempts    int     `json:"attempts"`          // failures of one task after which the job has failed
	Stretch        float64 `json:"stretch"`           // factor of the critical path
	TargetLatency  int     `json:"target"`            // milliseconds
	RequiresAdvice bool    `json:"advised,omitempty"` // only runners with a ticket of the adviser may run a task
}

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Unknown   State = "" // no such job
)

// Ended reports whether s is final.
func (s State) Ended() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}
