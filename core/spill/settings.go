package spill

import "time"

// Defaults of Settings.
const (
	DefaultMaxWait      = 500 * time.Millisecond
	DefaultMaxAge       = 3 * time.Second
	DefaultReservedPart = 0.05
	DefaultAskInterval  = 200 * time.Millisecond
)

// Settings holds the parameters of a Decider. Zero fields mean the defaults.
type Settings struct {
	MaxWait      time.Duration // expected wait in the own centre above which requests are forwarded
	MaxAge       time.Duration // age up to which a Report is used
	AskInterval  time.Duration // interval between questions for capacity; doubles up to MaxAge while there is none
	ReservedPart float64       // part of the slots that a centre reserves for its own requests; negative means none
}

// withDefaults returns s with its zero fields set to the defaults and a negative
// ReservedPart set to zero.
func (s Settings) withDefaults() Settings {
	if s.MaxWait == 0 {
		s.MaxWait = DefaultMaxWait
	}
	if s.MaxAge == 0 {
		s.MaxAge = DefaultMaxAge
	}
	if s.ReservedPart == 0 {
		s.ReservedPart = DefaultReservedPart
	}
	if s.AskInterval == 0 {
		s.AskInterval = DefaultAskInterval
	}
	s.ReservedPart = max(s.ReservedPart, 0)
	return s
}
