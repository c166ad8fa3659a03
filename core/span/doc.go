// Package span provides durations in the text form used in messages and settings.
//
// A Span is encoded as text with a unit, such as "250ms" or "1m30s", so that the unit of a
// value in a message or settings file is never ambiguous.
//
// The names span and Span are seen by callers: encoding/json puts the name of the Go type
// into the error for a value of the wrong JSON type ("cannot unmarshal number into Go struct
// field Job.deadline of type span.Span"), and that text is sent back. They must not change.
package span
