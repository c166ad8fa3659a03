package member

import "gypsumward/core/table"

// Condition is the state of an instance or target in a View.
type Condition string

// The conditions. If several hold, the first in this order counts.
const (
	Leaving     Condition = "leaving"
	Silent      Condition = "silent" // an instance whose record has not advanced for too long
	Unreachable Condition = "cut"    // an instance that the last call from here did not reach
	Down        Condition = "down"   // a target to which no connection can be made
	Live        Condition = "live"
)

// Tally is the number of instances or targets of one kind in one condition.
type Tally struct {
	Kind  table.Kind
	State Condition
	Count int
}

// Tallies returns the tallies of all combinations of kind and condition that can
// occur, including those with a count of zero. The own instance is not counted.
func (v *View) Tallies() []Tally {
	tallies := []Tally{
		{Kind: table.Entry, State: Leaving},
		{Kind: table.Entry, State: Silent},
		{Kind: table.Entry, State: Unreachable},
		{Kind: table.Entry, State: Live},
		{Kind: table.Runner, State: Leaving},
		{Kind: table.Runner, State: Down},
		{Kind: table.Runner, State: Live},
		{Kind: table.Worker, State: Leaving},
		{Kind: table.Worker, State: Down},
		{Kind: table.Worker, State: Live},
	}
	count := func(kind table.Kind, state Condition) {
		for i := range tallies {
			if tallies[i].Kind == kind && tallies[i].State == state {
				tallies[i].Count++
			}
		}
	}
	for i := range v.Entries {
		count(table.Entry, v.Entries[i].condition())
	}
	for i := range v.Runners {
		count(table.Runner, v.Runners[i].condition())
	}
	for i := range v.Workers {
		count(table.Worker, v.Workers[i].condition())
	}
	return tallies
}

func (e *Entry) condition() Condition {
	switch {
	case e.Leaving:
		return Leaving
	case e.Silent:
		return Silent
	case e.Cut:
		return Unreachable
	default:
		return Live
	}
}

func (t *Target) condition() Condition {
	switch {
	case t.Leaving:
		return Leaving
	case t.Down:
		return Down
	default:
		return Live
	}
}
