package balance

import (
	"time"

	"gypsumward/core/election"
	"gypsumward/core/promise"
)

// MaxLag is the lag of the loop of a cell from which on the machine is too slow for it.
const MaxLag = 40 * time.Millisecond

// Holding is a cell that an instance holds, and the instance that would hold it next.
type Holding struct {
	Zone      string // data centre of the runners; empty if they are in several
	Self      election.Member
	Cells     int           // number of cells that Self holds, including this one
	Lag       time.Duration // of the loop of the cell
	Successor election.Member
	// SuccessorCells is the number of cells that Successor holds.
	SuccessorCells int
}

// Reason returns why the cell is to be handed over to the successor, or an empty string. A
// cell whose holder is in the data centre of its runners stays there.
func (h Holding) Reason() string {
	switch atHome := h.isHome(h.Successor); {
	case !h.isHome(h.Self) && atHome:
		return "its runners are in another data centre"
	case h.isHome(h.Self) && !atHome:
		return ""
	case h.Cells > 1 && promise.CellsPerCore(h.SuccessorCells+1, h.Successor.Cores) < promise.CellsPerCore(h.Cells, h.Self.Cores):
		return "the successor has fewer cells for its cores"
	case h.Lag >= MaxLag && h.SuccessorCells == 0:
		return "this machine is too slow"
	}
	return ""
}

// isHome reports whether a member is in the data centre of the runners, or these are in
// several.
func (h Holding) isHome(m election.Member) bool {
	return h.Zone == "" || m.Zone == h.Zone
}
