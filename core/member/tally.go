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
	Kind  table.MemberKind
	State Condition
	Count int
}

// Tallies returns the tallies of all combinations of kind and condition that can
// occur, including those with a count of zero. The own instance is not counted.
func (v *View) Tallies() []Tally {
	tallies := []Tally{
		{Kind: table.KindEntry, State: Leaving},
		{Kind: table.KindEntry, State: Silent},
		{Kind: table.KindEntry, State: Unreachable},
		{Kind: table.KindEntry, State: Live},
		{Kind: table.KindRunner, State: Leaving},
		{Kind: table.KindRunner, State: Down},
		{Kind: table.KindRunner, State: Live},
		{Kind: table.KindWorker, State: Leaving},
		{Kind: table.KindWorker, State: Down},
		{Kind: table.KindWorker, State: Live},
	}
	count := func(kind table.MemberKind, state Condition) {
		for i := range tallies {
			if tallies[i].Kind == kind && tallies[i].State == state {
				tallies[i].Count++
			}
		}
	}
	for i := range v.Entries {
		count(table.KindEntry, v.Entries[i].condition())
	}
	for i := range v.Runners {
		count(table.KindRunner, v.Runners[i].condition())
	}
	for i := range v.Workers {
		count(table.KindWorker, v.Workers[i].condition())
	}
	return tallies
}

func (e *Entry) condition() Condition {
	switch {
	case e.Leaving:
		return Leaving
	case e.Silent:
		return Silent
	case e.Unreachable:
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
