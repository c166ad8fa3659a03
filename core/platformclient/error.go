package platformclient

import (
	"strconv"

	"github.com/juju/errors"
)

// Error is the error of a call that failed or got no valid response.
type Error struct {
	MayHaveTakenEffect bool  // the call may have taken effect
	Busy               bool  // the platform refused the call because of load or an outage
	Status             int   // HTTP status of the response; zero if there was none
	Err                error // cause; may be nil
}

// Error returns the effect, the status and the cause of the error.
func (e *Error) Error() string {
	text := "platform: no effect"
	if e.MayHaveTakenEffect {
		text = "platform: effect unknown"
	}
	if e.Status != 0 {
		text += ": status " + strconv.Itoa(e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error {
	return e.Err
}

// MayHaveTakenEffect reports whether the call that returned err may have taken effect. It
// returns true for an error that is not an *Error, and false for a nil error.
func MayHaveTakenEffect(err error) bool {
	if err == nil {
		return false
	}
	var fault *Error
	if errors.As(err, &fault) {
		return fault.MayHaveTakenEffect
	}
	return true
}
