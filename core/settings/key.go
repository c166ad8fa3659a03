package settings

import (
	"fmt"
	"math"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/settings/size"
	"gypsumward/core/span"
)

// Limits of the values of keys.
const (
	MinWeight      = 0.01
	MaxWeight      = 1000
	MaxFloor       = 0.9
	MaxQueued      = 1000000
	MaxQueuedBytes = 4 * size.GiB
	MaxRetryBudget = 1
	MaxHedgeBudget = 0.5
	MinDeadline    = 10 * span.Millisecond
	MaxSpillKinds  = 64
)

// Types of the values of keys, as named in faults and in the documentation.
const (
	typeNumber   = "number"
	typeText     = "text"
	typeTextList = "list of text"
)

// Key describes one key of a team's subtree: its type, unit, range and meaning.
type Key struct {
	Name        string
	Type        string // one of number, text and list of text
	Unit        string
	Range       string
	Description string

	field    func(t *Team) any    // pointer to the field that holds the value
	validate func(t *Team) string // fault of the value; empty if valid
}

// FormatDefault returns the default value in TOML.
func (k Key) FormatDefault() string {
	t := Default()
	return formatValue(k.field(&t))
}

// FormatValue returns the value of the key in t, in TOML.
func (k Key) FormatValue(t Team) string {
	return formatValue(k.field(&t))
}

// IsQuoted reports whether values are quoted in TOML.
func (k Key) IsQuoted() bool {
	return k.Type == typeText
}

// Keys returns all keys of a team's subtree, in the order of the documentation.
// The caller must not modify the result.
func Keys() []Key {
	return keys
}

// keyByName returns the key of the given name and whether there is one.
func keyByName(name string) (Key, bool) {
	for _, k := range keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

var keys = []Key{
	{
		Name: "weight", Type: typeNumber, Unit: "share", Range: fmt.Sprintf("%g to %g", MinWeight, float64(MaxWeight)),
		Description: "the team's part of the service while others wait too, against the weights of these",
		field:       func(t *Team) any { return &t.Weight },
		validate:    func(t *Team) string { return checkRange(t.Weight, MinWeight, MaxWeight) },
	},
	{
		Name: "floor", Type: typeNumber, Unit: "part of the team's service", Range: fmt.Sprintf("0 to %g", MaxFloor),
		Description: "kept for work that is less urgent than the most urgent work of the team",
		field:       func(t *Team) any { return &t.Floor },
		validate:    func(t *Team) string { return checkRange(t.Floor, 0, MaxFloor) },
	},
	{
		Name: "count", Type: typeNumber, Unit: "tasks and requests", Range: fmt.Sprintf("1 to %d", MaxQueued),
		Description: "largest number that may wait in the queue of one instance",
		field:       func(t *Team) any { return &t.MaxQueued },
		validate:    func(t *Team) string { return checkRange(t.MaxQueued, 1, MaxQueued) },
	},
	{
		Name: "bytes", Type: typeText, Unit: "B, KiB, MiB or GiB", Range: fmt.Sprintf("%v to %v", size.MiB, MaxQueuedBytes),
		Description: "largest size of the inputs that may wait in the queue of one instance",
		field:       func(t *Team) any { return &t.MaxQueuedBytes },
		validate:    func(t *Team) string { return checkRange(t.MaxQueuedBytes, size.MiB, MaxQueuedBytes) },
	},
	{
		Name: "retry", Type: typeNumber, Unit: "retries for each request", Range: fmt.Sprintf("0 (off) to %d", MaxRetryBudget),
		Description: "budget of further attempts at repeatable requests whose target failed",
		field:       func(t *Team) any { return &t.RetryBudget },
		validate:    func(t *Team) string { return checkRange(t.RetryBudget, 0, MaxRetryBudget) },
	},
	{
		Name: "hedge", Type: typeNumber, Unit: "hedges for each request", Range: fmt.Sprintf("0 (off) to %g", MaxHedgeBudget),
		Description: "budget of second attempts at repeatable requests that are late; trades messages for time",
		field:       func(t *Team) any { return &t.HedgeBudget },
		validate:    func(t *Team) string { return checkRange(t.HedgeBudget, 0, MaxHedgeBudget) },
	},
	{
		Name: "deadline", Type: typeText, Unit: "ms, s, m or h", Range: fmt.Sprintf("%v to %v", MinDeadline, api.MaxDeadline),
		Description: "time to the answer of jobs and requests that declare no deadline",
		field:       func(t *Team) any { return &t.DefaultDeadline },
		validate:    func(t *Team) string { return checkRange(t.DefaultDeadline, MinDeadline, api.MaxDeadline) },
	},
	{
		Name: "spill", Type: typeTextList, Unit: "kinds", Range: fmt.Sprintf("up to %d kinds; %q for all, [] for none", MaxSpillKinds, AllKinds),
		Description: "kinds of work that another data centre may take while the own targets are full or gone",
		field:       func(t *Team) any { return &t.SpillKinds },
		validate:    checkSpill,
	},
	{
		Name: "wave", Type: typeNumber, Unit: "tasks", Range: fmt.Sprintf("1 to %d", api.MaxTasks),
		Description: "tasks of a job that are recorded as possibly started in one write; more means fewer writes and more tasks lost with an instance",
		field:       func(t *Team) any { return &t.MarkBatch },
		validate:    func(t *Team) string { return checkRange(t.MarkBatch, 1, api.MaxTasks) },
	},
}

// checkRange returns the fault of a value that is NaN or not in [low, high], or an
// empty text.
func checkRange[N int | float64 | size.Size | span.Span](v, low, high N) string {
	if v >= low && v <= high && !math.IsNaN(float64(v)) {
		return ""
	}
	return fmt.Sprintf("%v is out of range", v)
}

// checkSpill returns the fault of the kinds that may spill, or an empty text.
func checkSpill(t *Team) string {
	if len(t.SpillKinds) > MaxSpillKinds {
		return fmt.Sprintf("%d kinds are too many", len(t.SpillKinds))
	}
	for _, kind := range t.SpillKinds {
		if kind == AllKinds {
			continue
		}
		if r := check.ID("kind", kind); r != nil {
			return r.Detail
		}
	}
	return ""
}

// formatValue returns the value that v points to, in TOML. It panics if no key has
// a value of that type.
func formatValue(v any) string {
	switch v := v.(type) {
	case *float64:
		return fmt.Sprintf("%g", *v)
	case *int:
		return fmt.Sprintf("%d", *v)
	case *size.Size:
		return fmt.Sprintf("%q", *v)
	case *span.Span:
		return fmt.Sprintf("%q", *v)
	case *[]string:
		return formatList(*v)
	}
	panic(fmt.Sprintf("settings: key has unsupported type %T", v))
}

// formatList returns items as a TOML array.
func formatList(items []string) string {
	out := "["
	for i, item := range items {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%q", item)
	}
	return out + "]"
}
