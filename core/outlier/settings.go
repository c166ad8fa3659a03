package outlier

import "time"

// Defaults of Settings.
const (
	DefaultEvidenceThreshold = 9.0 // four consecutive failures if peers do not fail
	DefaultMaxQuarantined    = 0.8
	DefaultRequiredProbes    = 3
	DefaultFirstWait         = 1 * time.Second
	DefaultMaxWait           = 30 * time.Second
)

// Settings holds the parameters of a Detector. Zero fields mean the defaults.
type Settings struct {
	EvidenceThreshold float64       // evidence that starts a quarantine, as the logarithm of a likelihood ratio
	MaxQuarantined    float64       // largest part of the targets in quarantine at a time
	RequiredProbes    int           // consecutive successful probes that end a quarantine
	FirstWait         time.Duration // wait before the first probe
	MaxWait           time.Duration // longest wait before a probe
}

// withDefaults returns s with its zero fields set to the defaults.
func (s Settings) withDefaults() Settings {
	if s.EvidenceThreshold == 0 {
		s.EvidenceThreshold = DefaultEvidenceThreshold
	}
	if s.MaxQuarantined == 0 {
		s.MaxQuarantined = DefaultMaxQuarantined
	}
	if s.RequiredProbes == 0 {
		s.RequiredProbes = DefaultRequiredProbes
	}
	if s.FirstWait == 0 {
		s.FirstWait = DefaultFirstWait
	}
	if s.MaxWait == 0 {
		s.MaxWait = DefaultMaxWait
	}
	return s
}
