package meter

import (
	"net/http"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/platformclient"
)

// Outcome is the outcome of a job, a request, a task or a call of the store.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	Refused  Outcome = "refused" // not accepted, or without effect
	Dropped  Outcome = "dropped" // a task that ended before it started
	Unknown  Outcome = "unknown" // no response; may have taken effect
)

// storeOutcome returns the outcome of a call of the store that returned err.
func storeOutcome(err error) Outcome {
	var fault *platformclient.Error
	switch {
	case err == nil:
		return Complete
	case !errors.As(err, &fault):
		return Unknown
	case fault.Status == http.StatusNotFound:
		return Complete // a response that the object does not exist
	case fault.Busy:
		return Refused
	case fault.MayHaveTakenEffect:
		return Unknown
	default:
		return Failed
	}
}

// reasonLabel returns the label of a reason. Reasons may come from other processes; one
// that is not defined here becomes Other so that the label stays bounded.
func reasonLabel(reason api.Reason) string {
	switch reason {
	case api.ReasonInvalid, api.ReasonTeam, api.ReasonConflict, api.ReasonMissing, api.ReasonFull,
		api.ReasonDeadline, api.ReasonStore, api.ReasonStopping, api.ReasonTargets, api.ReasonUnfit,
		api.ReasonTask, api.ReasonLost, api.ReasonOwner, api.ReasonTarget, api.ReasonCancelled:
		return string(reason)
	default:
		return Other
	}
}
