package settings

import (
	"fmt"
	"strings"
)

// Fault describes one error in a subtree.
type Fault struct {
	File   string `json:"file"`           // name of the file, or path in the table
	Line   int    `json:"line,omitempty"` // line number from 1; zero if unknown
	Key    string `json:"key,omitempty"`
	Detail string `json:"detail"` // what is wrong and what is allowed
}

// String returns the fault as "file:line: key: detail". Line and key are left out
// if they are unknown.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		place += ": " + f.Key
	}
	return place + ": " + f.Detail
}

// Faults is the error of refused settings.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
