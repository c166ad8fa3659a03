package promise

import (
	"cmp"
	"time"

	"gypsumward/core/election"
)

// peerTimeout is how long a silent peer is still assumed able to take over. A peer that
// is silent for longer is considered to have left.
const peerTimeout = 10 * time.Second

// Received records the promises that other instances have given to one incarnation of an
// instance. Incarnation must be set before the first call.
type Received struct {
	Incarnation string // to which the promises are given

	peers map[string]entry // by node
}

// entry is what is known of a peer from its hello messages.
type entry struct {
	member  election.Member
	helloAt time.Time
	until   time.Time // the peer does not take over before; zero if it has promised nothing
	cells   int       // number of cells the peer holds
	listed  bool      // the peer takes over only as a standby
	leaving bool      // the peer shuts down
}

// RecordHello records a hello message received at now. Promises given to another
// incarnation are ignored. A new incarnation of the peer keeps the promises of previous
// ones.
func (r *Received) RecordHello(now time.Time, hello Hello) {
	if r.peers == nil {
		r.peers = map[string]entry{}
	}
	e := entry{
		member: hello.Member, helloAt: now, cells: hello.Cells, listed: hello.StandbyOnly, leaving: hello.Leaving,
		until: r.peers[hello.Node].until,
	}
	repliedAt := time.Unix(0, hello.ReplyTimestamp)
	if hello.HolderIncarnation == r.Incarnation && hello.ReplyTimestamp != 0 && !repliedAt.After(now) {
		validFor := min(max(hello.PromiseDuration.Duration(), 0), ExtendedDuration) // a longer one was never given
		if end := repliedAt.Add(validFor - validFor/driftDivisor); end.After(e.until) {
			e.until = end
		}
	}
	r.peers[hello.Node] = e
}

// Until returns the time until which none of the given standbys takes over, and no peer
// with a recent hello message that may take over without being one. If the standbys are
// not known, every peer may. Ok is false if one of them may take over now or there are no
// such peers.
func (r *Received) Until(now time.Time, standbys []string, known bool) (until time.Time, ok bool) {
	count := func(e entry) {
		if !ok || e.until.Before(until) {
			until, ok = e.until, true
		}
	}
	for node, e := range r.peers {
		if now.Sub(e.helloAt) > peerTimeout {
			delete(r.peers, node)
			continue
		}
		if !known || !e.listed {
			count(e)
		}
	}
	for _, node := range standbys {
		count(r.peers[node])
	}
	return until, ok && until.After(now)
}

// StoredUntil returns the time until which the holder may run stored jobs, given that no standby takes
// over before until: at least until alone, when no reserve starts what may still run, and at most until
// most, when any instance may take over. Between the two it depends on the promises of all reserves; a
// holder without reserves has the promises of all that could take over before.
func (r *Received) StoredUntil(until time.Time, reserves []string, alone, most time.Time) time.Time {
	for _, node := range reserves {
		end := r.peers[node].until
		if end.Before(alone) {
			end = alone
		}
		if end.Before(most) {
			most = end
		}
	}
	if most.Before(until) {
		return most
	}
	return until
}

// Heard reports whether a hello message of a node was received within the given time.
func (r *Received) Heard(now time.Time, node string, within time.Duration) bool {
	e, ok := r.peers[node]
	return ok && now.Sub(e.helloAt) <= within
}

// Leaving reports whether the last hello message of a node said that it shuts down.
func (r *Received) Leaving(node string) bool { return r.peers[node].leaving }

// Recent returns the peers from which a hello message was received within the given time,
// in no particular order.
func (r *Received) Recent(now time.Time, within time.Duration) []election.Member {
	var members []election.Member
	for _, e := range r.peers {
		if now.Sub(e.helloAt) <= within {
			members = append(members, e.member)
		}
	}
	return members
}

// BestSuccessor returns the peer best suited to hold a cell next, of those that sent a
// hello message within the given time, do not shut down and for which usable returns true:
// one in the given data centre if there is any, and among these the one that would have the
// fewest cells for its cores, then the one that holds the fewest, then the one that started
// last. It also returns how many cells that peer holds. Ok is false if there is none.
func (r *Received) BestSuccessor(now time.Time, within time.Duration, usable func(m election.Member) bool, zone string) (m election.Member, cells int, ok bool) {
	var best entry
	for _, e := range r.peers {
		if !e.leaving && now.Sub(e.helloAt) <= within && usable(e.member) && (!ok || e.preferredTo(best, zone)) {
			best, ok = e, true
		}
	}
	return best.member, best.cells, ok
}

// CellsPerCore returns the load of an instance that holds a number of cells.
func CellsPerCore(cells int, cores float64) float64 { return float64(cells) / max(cores, minCores) }

// minCores stands for unknown numbers of cores.
const minCores = 0.01

// preferredTo reports whether e is better suited than other to hold a cell of a data centre.
func (e entry) preferredTo(other entry, zone string) bool {
	if local := e.member.Zone == zone; local != (other.member.Zone == zone) {
		return local
	}
	return cmp.Or(
		cmp.Compare(CellsPerCore(other.cells+1, other.member.Cores), CellsPerCore(e.cells+1, e.member.Cores)),
		cmp.Compare(other.cells, e.cells),
		cmp.Compare(e.member.StartedAt, other.member.StartedAt),
	) > 0
}
