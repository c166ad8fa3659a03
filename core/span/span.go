package span

import (
	"time"

	"github.com/juju/errors"
)

// Span is a duration that marshals to and from text with a unit.
type Span time.Duration

// Of returns d as a Text.
func Of(d time.Duration) Span {
	return Span(d)
}

// Duration returns s as a time.Duration.
func (s Span) Duration() time.Duration {
	return time.Duration(s)
}

// String returns s in the form of time.Duration.
func (s Span) String() string {
	return time.Duration(s).String()
}

// MarshalText returns s in the form of String.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText sets s from a number with a unit, such as "250ms". A number without a unit
// is an error.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a time with a unit such as 250ms, 3s or 1m", text)
	}
	*s = Span(d)
	return nil
}

// Common durations.
const (
	Millisecond = Span(time.Millisecond)
	Second      = Span(time.Second)
	Minute      = Span(time.Minute)
	Hour        = Span(time.Hour)
)
