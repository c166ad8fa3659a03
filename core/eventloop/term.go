package eventloop

import (
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/election"
)

// termOf returns the term t of a holder as the cell with the given name needs it.
func termOf(name string, t election.Term) cell.Term {
	term := cell.Term{
		Cell: name, HolderKey: election.Key(name, election.HolderRow), Epoch: t.Epoch, TermNumber: t.Number,
		PreviousEpoch: t.ReplacedEpoch, PreviousRunners: t.PreviousRunners, PreviousEnd: t.PreviousEnd,
		PreviousOpen: t.PreviousOpen, PreviousAlive: t.PreviousAlive,
	}
	for _, e := range t.Earlier {
		term.Earlier = append(term.Earlier, cell.EarlierTerm(e))
	}
	return term
}

// PreviousEnded notifies the cell that the previous holder has ended its term, and of the
// runners on which it may have runs. Complete means that there are no others.
func (l *Loop) PreviousEnded(occupied []cell.RunnerInfo, complete bool) {
	l.Post(previousEndedMessage{occupied, complete})
}

type previousEndedMessage struct {
	occupied []cell.RunnerInfo
	complete bool
}

func (m previousEndedMessage) Apply(c *cell.Cell, now time.Time) {
	c.PreviousEnded(now, m.occupied, m.complete)
}

// FormerEnded notifies the cell that the holder of an earlier epoch, which has not handed the cell over to
// this one, has ended its term, and of the runners on which it may have runs.
func (l *Loop) FormerEnded(epoch int64, occupied []cell.RunnerInfo) {
	l.Post(formerEndedMessage{epoch, occupied})
}

type formerEndedMessage struct {
	epoch    int64
	occupied []cell.RunnerInfo
}

func (m formerEndedMessage) Apply(c *cell.Cell, now time.Time) {
	c.FormerEnded(now, m.epoch, m.occupied)
}

// Occupied waits until the term is over and returns the runners that may have runs. Complete is
// false if there may be others.
func (l *Loop) Occupied() (runners []cell.RunnerInfo, complete bool) {
	<-l.done
	return l.cell.Occupied()
}
