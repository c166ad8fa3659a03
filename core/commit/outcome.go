package commit

import "gypsumward/core/table"

// Result is how a Change ended.
type Result int

// The results of a Change.
const (
	NotWritten Result = iota // it did not take effect and never will
	Written                  // it took effect
	Conflict                 // a condition did not hold; it will never take effect
	Unresolved               // the caller stopped waiting; it may still take effect
)

// Outcome is the result of a Change with the rows that it concerns.
type Outcome struct {
	Result  Result
	Version int64       // version of the rows written, if Written
	Rows    []table.Row // on Conflict, the rows whose conditions did not hold
}

// Row returns the conflicting row with the given key; its version is zero if
// the row is absent or not among the conflicts.
func (o Outcome) Row(key string) table.Row {
	for _, r := range o.Rows {
		if r.Key == key {
			return r
		}
	}
	return table.Row{Key: key}
}
