package peer

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"gypsumward/core/api"
)

// Error codes between peers, in addition to those of JSON-RPC.
const (
	CodeBusy     int64 = -32001 // too many calls in flight
	CodeStopping int64 = -32002 // the peer is shutting down
	CodeFailed   int64 = -32003 // the handler failed
	CodeTooLong  int64 = -32004 // the result exceeds the size limit
	CodeExpired  int64 = -32005 // the caller has stopped waiting before the call was read
)

// ErrTooLong is the error of a message that exceeds the size limit.
const ErrTooLong = errors.ConstError("message is longer than the limit")

// ErrNoMemory is the error of a message for which no memory is left.
const ErrNoMemory = errors.ConstError("no memory is left for the message")

// Fault is the error of a call. A handler may return one to state whether its work
// ran.
type Fault struct {
	Ran     api.RunStatus // RanNot if the call was not handled, RanYes if the handler failed
	Addr    string        // address of the peer
	Method  string        // method that was called
	Code    int64         // code of the peer's error; zero if it did not respond
	Text    string        // description of the cause
	Refusal *api.Refusal  // refusal returned by the handler; nil if there is none
}

// Error describes the fault with the address and method of the call.
func (f *Fault) Error() string {
	return "peer " + f.Addr + " " + f.Method + ": " + f.Text + " (" + string(f.Ran) + ")"
}

// Unwrap returns the refusal, or nil if there is none.
func (f *Fault) Unwrap() error {
	if f.Refusal == nil {
		return nil
	}
	return f.Refusal
}

// Ran returns whether the call that returned err was handled: RanYes if err is nil,
// and RanUnknown if err is not a Fault.
func Ran(err error) api.RunStatus {
	if err == nil {
		return api.RanYes
	}
	var fault *Fault
	if errors.As(err, &fault) {
		return fault.Ran
	}
	return api.RanUnknown
}

// errorData is the data field of an error between peers.
type errorData struct {
	Ran     api.RunStatus `json:"ran"`
	Refusal *api.Refusal  `json:"refusal,omitempty"`
}

// encodeError returns the error of a handler as an error between peers.
func encodeError(err error) *jsonrpc2.Error {
	data := errorData{Ran: api.RanYes}
	var fault *Fault
	if errors.As(err, &fault) {
		data.Ran = fault.Ran
	}
	var refusal *api.Refusal
	if errors.As(err, &refusal) {
		data.Ran = refusal.Ran
		data.Refusal = refusal
	}
	return newError(CodeFailed, err.Error(), data)
}

// newError returns an error between peers.
func newError(code int64, text string, data errorData) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: code, Message: text}
	e.SetError(data)
	return e
}

// decodeError turns the error of a peer into a fault. Ran is unknown if the error has
// no valid data.
func decodeError(err *jsonrpc2.Error) *Fault {
	fault := &Fault{Ran: api.RanUnknown, Code: err.Code, Text: err.Message}
	var data errorData
	if err.Data == nil || json.Unmarshal(*err.Data, &data) != nil {
		return fault
	}
	switch data.Ran {
	case api.RanNot, api.RanYes:
		fault.Ran = data.Ran
	default:
	}
	fault.Refusal = data.Refusal
	return fault
}
