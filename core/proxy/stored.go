package proxy

import (
	"encoding/json"

	"gypsumward/core/cell"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// decodeEndState returns the state in the row of an ended job. Ok is false if there is no
// such row or it is invalid.
func decodeEndState(found table.Found) (work.State, bool) {
	if len(found.Rows) == 0 || found.Rows[0].Version == 0 {
		return work.Unknown, false
	}
	var e cell.EndRow
	if json.Unmarshal(found.Rows[0].Value, &e) != nil || !e.State.Ended() {
		return work.Unknown, false
	}
	return e.State, true
}
