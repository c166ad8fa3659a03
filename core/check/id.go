package check

import (
	"fmt"

	"gypsumward/core/api"
)

// maxQuoted is the number of bytes of an overlong value that a refusal quotes.
const maxQuoted = 40

// ID returns nil if value may be the name of a team, submission, request, task
// or kind: 1 to api.MaxIDLen bytes, each an ASCII letter, a digit or one of . _ : -.
// Such a name can be used unescaped in a table key, a URL and a log line. The
// detail of the refusal starts with field.
func ID(field, value string) *api.Refusal {
	if value == "" {
		return refusal("%s: missing", field)
	}
	if len(value) > api.MaxIDLen {
		return refusal("%s: %d bytes, starting with %q; allowed are up to %d", field, len(value), value[:maxQuoted], api.MaxIDLen)
	}
	for i := 0; i < len(value); i++ {
		if !isIDByte(value[i]) {
			return refusal("%s: byte %#02x at %d of %.40q; allowed are letters, digits and . _ : -", field, value[i], i, value)
		}
	}
	return nil
}

// isIDByte reports whether c is allowed in an id.
func isIDByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == ':' || c == '-'
}

// checkIDs checks two names and returns the refusal of the first invalid one.
func checkIDs(a, fieldA, b, fieldB string) *api.Refusal {
	if r := ID(fieldA, a); r != nil {
		return r
	}
	return ID(fieldB, b)
}

// refusal returns a refusal of an invalid message.
func refusal(format string, args ...any) *api.Refusal {
	return &api.Refusal{
		Reason: api.ReasonInvalid,
		Detail: fmt.Sprintf(format, args...),
		Ran:    api.RanNot,
	}
}
