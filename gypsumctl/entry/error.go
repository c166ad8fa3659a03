package entry

import "strings"

// Error reports that no instance replied to a call.
type Error struct {
	MaybeSent bool      // whether a part of the call may have reached an instance
	Attempts  []Attempt // failed attempts in order
}

// Attempt is a failed attempt to call one instance.
type Attempt struct {
	Addr      string // address of the instance
	MaybeSent bool   // whether a connection was open, so that a part of the call may have arrived
	Err       error
}

// Error lists the failed attempts with their errors.
func (e *Error) Error() string {
	parts := make([]string, 0, len(e.Attempts))
	for _, attempt := range e.Attempts {
		parts = append(parts, attempt.Addr+": "+attempt.Err.Error())
	}
	return "no entry instance answered: " + strings.Join(parts, "; ")
}
