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
	Weight   float64
	Floor    float64
	Count    int
	Bytes    size.Size
	Retry    float64
	Hedge    float64
	Deadline span.Span
	Spill    []string
	Wave     int
}

// Any in Team.Spill matches all kinds.
const Any = "*"

// Default returns the settings of a team without a subtree or with an empty one.
func Default() Team {
	return Team{
		Weight:   1,
		Floor:    0.1,
		Count:    20000,
		Bytes:    64 * size.MiB,
		Retry:    0.1,
		Hedge:    0,
		Deadline: api.DefaultLeft,
		Spill:    []string{Any},
		Wave:     32,
	}
}

// Spills reports whether work of the given kind may be sent to another data
// centre.
func (t Team) Spills(kind string) bool {
	return slices.Contains(t.Spill, Any) || slices.Contains(t.Spill, kind)
}
