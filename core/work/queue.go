package work

// Queue is where a job waits, as it was set when the job was handed in.
type Queue struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`           // whose runners do the work
	Priority int     `json:"priority"`          // 0 comes first
	Attempts int     `json:"attempts"`          // failures of one task that end the job
	Stretch  float64 `json:"stretch"`           // of the longest chain of work, allowed until the answer is late
	Target   int     `json:"target"`            // milliseconds, allowed besides
	Advised  bool    `json:"advised,omitempty"` // only runners that the adviser names may run a step
}

// State is what a caller is told of a job.
type State string

// The states of a job.
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
