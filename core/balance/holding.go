package balance

import (
	"gypsumward/core/election"
	"gypsumward/core/promise"
)

// Holding is a cell that an instance holds, and the instance that would hold it next.
type Holding struct {
	Zone      string // data centre of the runners; empty if they are in several
	Self      election.Member
	Cells     int  // number of cells that Self holds, including this one
	Slow      bool // the machine of Self is too slow for the cell
	Successor election.Member
	// SuccessorCells is the number of cells that Successor holds.
	SuccessorCells int
}

// Reason returns why the cell is to be handed over to the successor, or an empty string. A
// cell whose holder is in the data centre of its runners stays there, and one whose holder is
// elsewhere only moves there, unless the machine is too slow.
func (h Holding) Reason() string {
	switch home, toHome := h.isHome(h.Self), h.isHome(h.Successor); {
	case !home && toHome:
		return "its runners are in another data centre"
	case home && !toHome:
		return ""
	case home && h.Cells > 1 && promise.CellsPerCore(h.SuccessorCells+1, h.Successor.Cores) < promise.CellsPerCore(h.Cells, h.Self.Cores):
		return "the successor has fewer cells for its cores"
	case h.Slow && h.SuccessorCells == 0:
		return "this machine is too slow"
	}
	return ""
}

// isHome reports whether a member is in the data centre of the runners, or these are in
// several.
func (h Holding) isHome(m election.Member) bool {
	return h.Zone == "" || m.Zone == h.Zone
}
