package place

import (
	"time"

	"gypsumward/core/demand"
)

// Defaults of Settings.
const (
	DefaultCores          = 0.95
	DefaultOvercommit     = 1.5
	DefaultMemory         = 0.9
	DefaultChoices        = 4
	DefaultSpread         = 0.5
	DefaultMaxQuarantined = 0.2
	DefaultQuarantine     = 5 * time.Second
	DefaultReserveAfter   = 500 * time.Millisecond
)

// Settings holds the parameters of a Placer. Zero fields mean the defaults.
type Settings struct {
	Cores          float64         // part of a worker's cores that can be used when the fleet is full; DefaultCores
	Overcommit     float64         // part of a worker's cores that can be used while reports show that the fleet is not full; DefaultOvercommit
	Memory         float64         // usable part of a worker's memory; DefaultMemory
	Choices        int             // number of workers with free capacity that are compared for one task; DefaultChoices
	Spread         float64         // weight of the spread over racks relative to utilization; DefaultSpread
	MaxQuarantined float64         // largest part of the workers in quarantine; DefaultMaxQuarantined
	Quarantine     time.Duration   // first quarantine of a worker, doubled at each relapse; DefaultQuarantine
	ReserveAfter   time.Duration   // time of rejected attempts after which a worker is reserved for a large task; DefaultReserveAfter
	Seed           uint64          // random seed of the choice among workers; should differ between instances
	Demand         demand.Settings // parameters of the estimates of need
}

// withDefaults returns s with its zero fields set to the defaults.
func (s Settings) withDefaults() Settings {
	s.Cores = orDefault(s.Cores, DefaultCores)
	s.Overcommit = max(orDefault(s.Overcommit, DefaultOvercommit), s.Cores)
	s.Memory = orDefault(s.Memory, DefaultMemory)
	s.Choices = orDefault(s.Choices, DefaultChoices)
	s.Spread = orDefault(s.Spread, DefaultSpread)
	s.MaxQuarantined = orDefault(s.MaxQuarantined, DefaultMaxQuarantined)
	s.Quarantine = orDefault(s.Quarantine, DefaultQuarantine)
	s.ReserveAfter = orDefault(s.ReserveAfter, DefaultReserveAfter)
	return s
}

// orDefault returns v, or def if v is not positive.
func orDefault[N int | float64 | time.Duration](v, def N) N {
	if v > 0 {
		return v
	}
	return def
}
