package mirror

import "time"

// Failure describes a call that failed or has received nothing in time.
type Failure struct {
	Err      error
	Age      time.Duration // since the last successful call, or since Run was called
	Timeout  time.Duration // for which nothing may arrive
	Received int64         // bytes of the response that had arrived
}

// KeyValues returns the failure as keys and values of a log line.
func (f Failure) KeyValues() []any {
	return []any{"age", f.Age, "timeout", f.Timeout, "received", f.Received, "err", f.Err}
}
