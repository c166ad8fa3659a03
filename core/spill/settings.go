package spill

import "time"

// Defaults of Settings.
const (
	DefaultWait   = 500 * time.Millisecond
	DefaultMaxAge = 3 * time.Second
	DefaultKeep   = 0.05
	DefaultAsk    = 200 * time.Millisecond
)

// Settings holds the parameters of a Spill. Zero fields mean the defaults.
type Settings struct {
	Wait   time.Duration // expected wait in the own centre above which requests are forwarded
	MaxAge time.Duration // age up to which a Report is used
	Ask    time.Duration // interval between questions for capacity; doubles up to MaxAge while there is none
	Keep   float64       // part of the slots that a centre reserves for its own requests; negative means none
}

// withDefaults returns s with its zero fields set to the defaults and a negative
// Keep set to zero.
func (s Settings) withDefaults() Settings {
	if s.Wait == 0 {
		s.Wait = DefaultWait
	}
	if s.MaxAge == 0 {
		s.MaxAge = DefaultMaxAge
	}
	if s.Keep == 0 {
		s.Keep = DefaultKeep
	}
	if s.Ask == 0 {
		s.Ask = DefaultAsk
	}
	s.Keep = max(s.Keep, 0)
	return s
}
