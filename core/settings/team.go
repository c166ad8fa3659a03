package settings

import (
	"slices"

	"gypsumward/core/api"
	"gypsumward/core/settings/size"
	"gypsumward/core/span"
)

// Team holds the settings of one team. Keys returns the meaning, unit and range
// of each field.
type Team struct {
	Weight          float64
	Floor           float64
	MaxQueued       int
	MaxQueuedBytes  size.Size
	RetryBudget     float64
	HedgeBudget     float64
	DefaultDeadline span.Span
	SpillKinds      []string
	MarkBatch       int
}

// AllKinds in Team.SpillKinds matches all kinds.
const AllKinds = "*"

// Default returns the settings of a team without a subtree or with an empty one.
func Default() Team {
	return Team{
		Weight:          1,
		Floor:           0.1,
		MaxQueued:       20000,
		MaxQueuedBytes:  64 * size.MiB,
		RetryBudget:     0.1,
		HedgeBudget:     0,
		DefaultDeadline: api.DefaultDeadline,
		SpillKinds:      []string{AllKinds},
		MarkBatch:       32,
	}
}

// MaySpill reports whether work of the given kind may be sent to another data
// centre.
func (t Team) MaySpill(kind string) bool {
	return slices.Contains(t.SpillKinds, AllKinds) || slices.Contains(t.SpillKinds, kind)
}
