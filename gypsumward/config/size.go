package config

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Size is a number of bytes. Its text form has a unit, such as "64MB".
type Size int64

// Units of sizes, which are powers of 1024 bytes.
const (
	Kilobyte Size = 1 << 10
	Megabyte Size = 1 << 20
	Gigabyte Size = 1 << 30
)

// units lists the units from the largest to the smallest.
var units = []struct {
	name string
	size Size
}{
	{"GB", Gigabyte},
	{"MB", Megabyte},
	{"KB", Kilobyte},
	{"B", 1},
}

// MarshalText returns s in the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// String returns s in the largest unit that divides it, and "0B" for zero.
func (s Size) String() string {
	for _, unit := range units {
		if s%unit.size == 0 && s != 0 {
			return strconv.FormatInt(int64(s/unit.size), 10) + unit.name
		}
	}
	return "0B"
}

// UnmarshalText parses a whole number with a unit, such as "64MB". It returns an error
// for a number without a unit, below zero or of more than 63 bits.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range units {
		digits, found := strings.CutSuffix(string(text), unit.name)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || Size(n)*unit.size/unit.size != Size(n) {
			break
		}
		*s = Size(n) * unit.size
		return nil
	}
	return errors.Errorf("%q is not a size with a unit such as 512KB, 64MB or 1GB", text)
}
