package choose

// Outcome is the result of a call to a runner.
type Outcome int

// The outcomes of a call.
const (
	Succeeded Outcome = iota // the call ran and returned an output
	Failed                   // the call ran and failed
	Refused                  // the runner refused the call because it had no free slot
	Leaving                  // the runner refused the call because it is leaving
	Broken                   // the connection broke, or the response was late or malformed
	TimedOut                 // no response arrived in time
)
