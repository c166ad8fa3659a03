// Package span provides durations in the text form used in messages and settings.
//
// A Text is encoded as text with a unit, such as "250ms" or "1m30s", so that the unit of a
// value in a message or settings file is never ambiguous.
package span
