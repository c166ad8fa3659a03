package instrument

import (
	"time"

	"gypsumward/core/api"
	"gypsumward/core/meter"
	"gypsumward/gypsumward/server"
)

// Calls counts the outcomes that are returned to callers. An outcome counts each time it
// is returned. An answer that is still open does not count.
type Calls struct {
	Meter *meter.Recorder
}

var _ server.Observer = Calls{}

// Observe counts the outcome of one call with its duration. The duration of an answer is
// measured from acceptance of the work, that of a refusal is elapsed, the duration of the
// call.
func (c Calls) Observe(team string, work server.Work, a *api.Answer, r *api.Refusal, elapsed time.Duration) {
	var outcome meter.Outcome
	switch {
	case r != nil:
		c.Meter.CountRefusal(r.Reason, r.Ran)
		outcome = meter.Refused
		if r.Ran == api.RanUnknown {
			outcome = meter.Unknown
		}
	case a.State == api.StateFailed:
		c.Meter.CountRefusal(a.Reason, a.Ran)
		outcome, elapsed = meter.Failed, a.Elapsed.Duration()
	case a.State == api.StateComplete:
		outcome, elapsed = meter.Complete, a.Elapsed.Duration()
	default:
		return
	}
	switch work {
	case server.Job:
		c.Meter.CountJob(team, outcome, elapsed)
	case server.Request:
		c.Meter.CountRequest(team, outcome, elapsed)
	case server.Cancel:
	}
}
