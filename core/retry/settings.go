package retry

import "gypsumward/core/span"

// Defaults of Settings.
const (
	DefaultRatio = 0.1
	DefaultFloor = 1.0
	DefaultBurst = 10.0
	DefaultSpare = 0.03
	DefaultBase  = 20 * span.Millisecond
	DefaultLimit = 500 * span.Millisecond
)

// Settings holds the parameters of retries and hedges. Zero fields mean the
// defaults; a negative Ratio, Floor, Burst or Spare means zero.
type Settings struct {
	Ratio float64   `json:"ratio,omitempty" toml:"ratio"` // retries per first attempt
	Floor float64   `json:"floor,omitempty" toml:"floor"` // retries per second that are allowed regardless of first attempts
	Burst float64   `json:"burst,omitempty" toml:"burst"` // upper bound of the retries, or hedges, in a budget
	Hedge float64   `json:"hedge,omitempty" toml:"hedge"` // number of expected run times after which a second attempt starts; zero means no hedges
	Spare float64   `json:"spare,omitempty" toml:"spare"` // hedges per first attempt
	Base  span.Span `json:"base,omitempty" toml:"base"`   // longest wait before the first retry
	Limit span.Span `json:"limit,omitempty" toml:"limit"` // longest wait before any retry
}

// WithDefaults returns s with its zero fields set to the defaults and the
// negative fields that mean zero set to zero.
func (s Settings) WithDefaults() Settings {
	s.Ratio = orDefault(s.Ratio, DefaultRatio)
	s.Floor = orDefault(s.Floor, DefaultFloor)
	s.Spare = orDefault(s.Spare, DefaultSpare)
	s.Burst = orDefault(s.Burst, DefaultBurst)
	if s.Base <= 0 {
		s.Base = DefaultBase
	}
	if s.Limit <= 0 {
		s.Limit = DefaultLimit
	}
	return s
}

// orDefault returns v, or d if v is zero, or zero if v is negative.
func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return max(v, 0)
}
