package hlc

import (
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Header is the name of the HTTP header that carries a timestamp.
const Header = "X-Stamp"

// Timestamp is a timestamp of the hybrid logical clock, in nanoseconds since 1970. The zero
// value is before all others. The text form has a fixed length and sorts in the order of
// the timestamps.
type Timestamp int64

const (
	textBase   = 16
	textDigits = 16
)

// Time returns the wall-clock time that s is close to.
func (t Timestamp) Time() time.Time {
	return time.Unix(0, int64(t)).UTC()
}

// String returns the text form of s.
func (t Timestamp) String() string {
	text, _ := t.MarshalText()
	return string(text)
}

// MarshalText returns s as 16 hexadecimal digits. It panics if s is negative.
func (t Timestamp) MarshalText() ([]byte, error) {
	if t < 0 {
		panic(negativeError)
	}
	digits := strconv.AppendInt(make([]byte, 0, textDigits), int64(t), textBase)
	text := make([]byte, textDigits)
	zeros := textDigits - len(digits)
	for i := range zeros {
		text[i] = '0'
	}
	copy(text[zeros:], digits)
	return text, nil
}

const negativeError = "hlc: negative timestamp"

// UnmarshalText sets s from the text form. The empty text is the zero timestamp.
func (t *Timestamp) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*t = 0
		return nil
	}
	n, err := strconv.ParseInt(string(text), textBase, 64)
	if err != nil || n < 0 || len(text) != textDigits {
		return errors.Errorf("%q is not a stamp of %d hexadecimal digits", text, textDigits)
	}
	*t = Timestamp(n)
	return nil
}
