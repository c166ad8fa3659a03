package election

import (
	"time"

	"gypsumward/core/fingerprint"
)

// EarlierTerm is what is known of a term before the previous one whose runs the previous holder had not
// accounted for.
type EarlierTerm struct {
	Epoch int64
	// Runners is the fingerprint of the runners on which its holder may have runs; zero if it is not known.
	Runners fingerprint.Set
	// End is when the right of its holder to run stored jobs will certainly have expired.
	End time.Time
	// Open means that its holder may go on with jobs that need not be kept, beyond End.
	Open bool
}

// earlierRow is an EarlierTerm as written in the holder row. A reader counts the time that is left from
// when it reads the row, which is later than the end, since the clocks of instances differ.
type earlierRow struct {
	Epoch   int64           `json:"epoch,omitempty"`
	Runners fingerprint.Set `json:"set,omitempty"`
	Left    int64           `json:"left,omitempty"` // milliseconds from the writing until the end; negative after it
	Open    bool            `json:"open,omitempty"`
}

// maxEarlierTerms bounds the terms in the holder row. Older ones are merged into one of which only the
// latest end is known.
const maxEarlierTerms = 8

// earlierRows returns terms as written at now.
func earlierRows(now time.Time, terms []EarlierTerm) []earlierRow {
	var rows []earlierRow
	for len(terms) > maxEarlierTerms {
		merged := EarlierTerm{End: latest(terms[0].End, terms[1].End), Open: terms[0].Open || terms[1].Open}
		terms = append([]EarlierTerm{merged}, terms[2:]...)
	}
	for _, t := range terms {
		rows = append(rows, earlierRow{Epoch: t.Epoch, Runners: t.Runners, Left: t.End.Sub(now).Milliseconds() + 1, Open: t.Open})
	}
	return rows
}

// earlierTerms returns the terms of rows that were read at now.
func earlierTerms(now time.Time, rows []earlierRow) []EarlierTerm {
	var terms []EarlierTerm
	for _, r := range rows {
		terms = append(terms, EarlierTerm{Epoch: r.Epoch, Runners: r.Runners, End: now.Add(time.Duration(r.Left) * time.Millisecond), Open: r.Open})
	}
	return terms
}

// reportedRunners returns the set of runners that the holder of an epoch, the latest one, has reported.
// It is zero while that holder has not accounted for what earlier ones have left. The caller holds the
// lock.
func (e *Elector) reportedRunners(epoch int64) fingerprint.Set {
	if e.heartbeatVersion > epoch { // else it is of an earlier term
		return e.heartbeat.Set
	}
	return 0
}

// earlierOfClaim returns the terms that are written into the holder row by a claim that ends the current
// term, of which p is known: that one, and those that it has not accounted for.
func (e *Elector) earlierOfClaim(p previousTerm) []earlierRow {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holderVersion == 0 {
		return nil
	}
	last := EarlierTerm{Epoch: e.holderVersion, Runners: e.reportedRunners(e.holderVersion), End: p.end, Open: p.open}
	if last.Runners != 0 {
		return earlierRows(now, []EarlierTerm{last})
	}
	last.End = latest(last.End, e.transferredEnd)
	return earlierRows(now, append(e.earlier[:len(e.earlier):len(e.earlier)], last))
}

// earlierOfTransfer returns the terms that are written into the holder row by a transfer: those that
// this instance has not accounted for. The end of its own term follows from the transfer.
func (e *Elector) earlierOfTransfer() []earlierRow {
	if _, set := e.Leader.Runners(); set != 0 {
		return nil
	}
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return earlierRows(now, e.earlier)
}

// replacedTerm returns what the holder row says of the term that a claim has ended; the zero value if it
// says nothing. The row may be read before the claim is answered, so it is the only source of it. The
// caller holds the lock.
func (e *Elector) replacedTerm(epoch int64) EarlierTerm {
	for _, t := range e.earlier {
		if t.Epoch == epoch && epoch != 0 {
			return t
		}
	}
	return EarlierTerm{}
}

// earlierThan returns the terms before the one with the given epoch.
func earlierThan(epoch int64, terms []EarlierTerm) []EarlierTerm {
	var list []EarlierTerm
	for _, t := range terms {
		if t.Epoch != epoch {
			list = append(list, t)
		}
	}
	return list
}
