package duration

import (
	"time"

	"github.com/juju/errors"
)

// Text is a duration that marshals to and from text with a unit.
type Text time.Duration

// Of returns d as a Text.
func Of(d time.Duration) Text {
	return Text(d)
}

// Duration returns s as a time.Duration.
func (s Text) Duration() time.Duration {
	return time.Duration(s)
}

// String returns s in the form of time.Duration.
func (s Text) String() string {
	return time.Duration(s).String()
}

// MarshalText returns s in the form of String.
func (s Text) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText sets s from a number with a unit, such as "250ms". A number without a unit
// is an error.
func (s *Text) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a time with a unit such as 250ms, 3s or 1m", text)
	}
	*s = Text(d)
	return nil
}

// Common durations.
const (
	Millisecond = Text(time.Millisecond)
	Second      = Text(time.Second)
	Minute      = Text(time.Minute)
	Hour        = Text(time.Hour)
)
