package promise

import (
	"cmp"
	"time"

	"gypsumward/core/tenure"
)

// peerLife is for how long a silent peer may still become the holder. One that is
// silent for longer is taken to be gone.
const peerLife = 10 * time.Second

// Ledger is what others have promised the instance of a life. Its field is set before
// the first call.
type Ledger struct {
	Life string

	peers map[string]entry // by node
}

// entry is a peer that has greeted this instance.
type entry struct {
	member tenure.Member
	at     time.Time
	until  time.Time // it becomes the holder no sooner; zero if it has promised nothing
	cells  int       // that it holds
}

// Take takes a greeting that came at now.
func (l *Ledger) Take(now time.Time, g Greeting) {
	if l.peers == nil {
		l.peers = map[string]entry{}
	}
	e := entry{member: g.Member, at: now, cells: g.Cells}
	if former := l.peers[g.Node]; former.member.Life == g.Life {
		e.until = former.until
	}
	if g.Holder == l.Life && g.Stamp != 0 {
		length := g.Length.Duration()
		if end := time.Unix(0, g.Stamp).Add(length - length/drift); end.After(e.until) {
			e.until = end
		}
	}
	l.peers[g.Node] = e
}

// Until returns until when no peer that was heard lately becomes the holder. Ok is
// false if one may do so now, or none was heard.
func (l *Ledger) Until(now time.Time) (until time.Time, ok bool) {
	for node, e := range l.peers {
		if now.Sub(e.at) > peerLife {
			delete(l.peers, node)
			continue
		}
		if !ok || e.until.Before(until) {
			until, ok = e.until, true
		}
	}
	return until, ok && until.After(now)
}

// Best returns the peer heard within a time that should hold a cell next: the one that
// holds the fewest, has the most cores and started last. Ok is false if none was heard.
func (l *Ledger) Best(now time.Time, within time.Duration) (m tenure.Member, ok bool) {
	var best entry
	for _, e := range l.peers {
		if now.Sub(e.at) <= within && (!ok || e.better(best)) {
			best, ok = e, true
		}
	}
	return best.member, ok
}

func (e entry) better(other entry) bool {
	return cmp.Or(
		cmp.Compare(other.cells, e.cells),
		cmp.Compare(e.member.Cores, other.member.Cores),
		cmp.Compare(e.member.Since, other.member.Since),
	) > 0
}
