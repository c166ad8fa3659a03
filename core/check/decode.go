package check

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"gypsumward/core/api"
)

// Decode reads one JSON value from data into the message that dst points to. It
// refuses data of more than api.MaxBodyBytes bytes, unknown fields, anything other than
// space after the value, wrong types and invalid syntax. Except for the size, the
// refusal gives the line of the error.
func Decode(data []byte, dst any) *api.Refusal {
	if len(data) > api.MaxBodyBytes {
		return refusal("body: %d bytes; allowed are up to %d", len(data), api.MaxBodyBytes)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return refusal("line %d: %v", lineAt(data, errorOffset(err, d.InputOffset())), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return refusal("line %d: more than one JSON value", lineAt(data, d.InputOffset()))
	}
	return nil
}

// errorOffset returns the offset in the data at which err occurred, or fallback if
// err does not give one.
func errorOffset(err error, fallback int64) int64 {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return syntaxErr.Offset
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Offset
	}
	return fallback
}

// lineAt returns the number of the line of the byte at offset, starting at 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(0, int(offset)), len(data))], []byte{'\n'})
}
