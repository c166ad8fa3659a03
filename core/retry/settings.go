package retry

import "gypsumward/core/span"

// Defaults of Settings.
const (
	DefaultRatio      = 0.1
	DefaultRate       = 1.0
	DefaultBurst      = 10.0
	DefaultHedgeRatio = 0.03
	DefaultBaseWait   = 20 * span.Millisecond
	DefaultMaxWait    = 500 * span.Millisecond
)

// Settings holds the parameters of retries and hedges. Zero fields mean the
// defaults; a negative Ratio, Rate, Burst or HedgeRatio means zero.
type Settings struct {
	Ratio      float64   `json:"ratio,omitempty" toml:"ratio"` // retries per first attempt
	Rate       float64   `json:"floor,omitempty" toml:"floor"` // retries per second that are allowed regardless of first attempts
	Burst      float64   `json:"burst,omitempty" toml:"burst"` // upper bound of the retries, or hedges, in a budget
	HedgeAfter float64   `json:"hedge,omitempty" toml:"hedge"` // number of expected run times after which a second attempt starts; zero means no hedges
	HedgeRatio float64   `json:"spare,omitempty" toml:"spare"` // hedges per first attempt
	BaseWait   span.Span `json:"base,omitempty" toml:"base"`   // longest wait before the first retry
	MaxWait    span.Span `json:"limit,omitempty" toml:"limit"` // longest wait before any retry
}

// WithDefaults returns s with its zero fields set to the defaults and the
// negative fields that mean zero set to zero.
func (s Settings) WithDefaults() Settings {
	s.Ratio = orDefault(s.Ratio, DefaultRatio)
	s.Rate = orDefault(s.Rate, DefaultRate)
	s.HedgeRatio = orDefault(s.HedgeRatio, DefaultHedgeRatio)
	s.Burst = orDefault(s.Burst, DefaultBurst)
	if s.BaseWait <= 0 {
		s.BaseWait = DefaultBaseWait
	}
	if s.MaxWait <= 0 {
		s.MaxWait = DefaultMaxWait
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
