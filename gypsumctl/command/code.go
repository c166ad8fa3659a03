package command

import (
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/entry"
)

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes. Scripts may rely on them.
const (
	Complete    ExitCode = 0 // done, or the job or request is complete
	Failed      ExitCode = 1 // the job or request failed, or a check found a fault
	Usage       ExitCode = 2 // wrong arguments or an unreadable file; nothing was sent
	Refused     ExitCode = 3 // refused; nothing ran and nothing was written
	Unknown     ExitCode = 4 // the outcome is not known, or not final yet
	Unreachable ExitCode = 5 // no entry instance could be reached; nothing was sent
)

// exitCodesHelp describes the exit codes at the end of every help page.
const exitCodesHelp = `Exit codes:
  0  done, or complete
  1  the job or request failed, or a check found a fault
  2  wrong arguments or an unreadable file; nothing was sent
  3  refused; nothing ran and nothing was written
  4  the outcome is not known, or not final yet
  5  no entry instance could be reached; nothing was sent
`

// ExitCodeFor returns the exit code for the error of a call to an entry
// instance. It returns Complete for a nil error and Unknown for an error that
// is neither a refusal nor proof that nothing was sent.
func ExitCodeFor(err error) ExitCode {
	if err == nil {
		return Complete
	}
	var refusal *api.Refusal
	if errors.As(err, &refusal) {
		return exitCodeForRefusal(refusal)
	}
	var callErr *entry.Error
	if errors.As(err, &callErr) && !callErr.MaybeSent {
		return Unreachable
	}
	return Unknown
}

// exitCodeForRefusal returns the exit code for a refusal: Failed if the work
// ran, Refused if it did not run or the call was invalid or named unknown work,
// and Unknown otherwise.
func exitCodeForRefusal(r *api.Refusal) ExitCode {
	switch {
	case r.Ran == api.RanYes:
		return Failed
	case r.Ran == api.RanNot, r.Reason == api.ReasonMissing, r.Reason == api.ReasonInvalid:
		return Refused
	}
	return Unknown
}
