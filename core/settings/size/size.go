// Package size provides the type of sizes in bytes used in settings.
//
// A Size is written as text with its unit, such as "64MiB", so that no settings
// file contains a size without its unit.
package size

import (
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Size is a number of bytes. It is marshalled to and from text with a unit.
type Size int64

// Units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// units lists the units from the largest to the smallest.
var units = []struct {
	name string
	size Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// String returns s in the largest unit that divides it, such as "1536KiB". Zero is
// "0B".
func (s Size) String() string {
	for _, unit := range units {
		if s%unit.size == 0 && s != 0 {
			return strconv.FormatInt(int64(s/unit.size), 10) + unit.name
		}
	}
	return "0B"
}

// MarshalText returns the text of String.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText parses a whole number with the unit B, KiB, MiB or GiB. It returns
// an error if the number is negative, has no unit or does not fit in a Size.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range units {
		digits, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > math.MaxInt64/int64(unit.size) || n < 0 {
			break
		}
		*s = Size(n) * unit.size
		return nil
	}
	return errors.Errorf("%q is not a size with a unit such as 512KiB, 64MiB or 1GiB", text)
}
