package platform

import (
	"strconv"

	"github.com/juju/errors"
)

// Fault is the error of a call that failed or got no valid response.
type Fault struct {
	Unknown bool  // the call may have taken effect
	Busy    bool  // the platform refused the call because of load or an outage
	Status  int   // HTTP status of the response; zero if there was none
	Err     error // cause; may be nil
}

// Error returns the effect, the status and the cause of the fault.
func (f *Fault) Error() string {
	text := "platform: no effect"
	if f.Unknown {
		text = "platform: effect unknown"
	}
	if f.Status != 0 {
		text += ": status " + strconv.Itoa(f.Status)
	}
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

// Unwrap returns the cause of the fault.
func (f *Fault) Unwrap() error {
	return f.Err
}

// Unknown reports whether the call that returned err may have taken effect. It
// returns true for an error that is not a Fault, and false for a nil error.
func Unknown(err error) bool {
	if err == nil {
		return false
	}
	var fault *Fault
	if errors.As(err, &fault) {
		return fault.Unknown
	}
	return true
}
