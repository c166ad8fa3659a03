package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds of the memory of a Model: about 42 KB for each kind, and 23 KB for its runners.
const (
	maxKinds      = 64
	maxNeighbours = 12  // of a kind
	maxRunners    = 128 // of a kind
)

// idleTime is the time after which a kind or a neighbour that has not been seen makes room for
// another one.
const idleTime = 30 * time.Second

// Kind is a kind of tasks: those of a queue that are of similar size.
type Kind struct {
	Queue string
	Size  int // size class
}

// Neighbour is a kind of which at least one other task was present on the runner for a fraction
// of the run time of a task.
type Neighbour struct {
	Kind     Kind
	Fraction float64 // from 0 to 1
}

// Observation describes a run that has succeeded.
type Observation struct {
	Kind     Kind
	Runner   string
	Job      string
	RunTime  float64 // in any unit
	Expected float64 // in the same unit, on a runner of speed one
	Beside   []Neighbour
}

// Pair is an ordered pair of kinds: tasks of Kind take longer by Factor beside tasks of Beside.
type Pair struct {
	Kind, Beside Kind
	Factor       float64
	Since        time.Time // when it was first believed to interfere
}

// Change is a belief that has begun or ended.
type Change struct {
	Pair
	Ended bool
}

// Group is a number of tasks of a kind on a runner.
type Group struct {
	Kind  Kind
	Count int
}

// Model holds what is known about the interference of kinds. Its time is that of the calls. It
// is not safe for concurrent use. Use New to create one.
type Model struct {
	kinds    map[Kind]*kind
	partners map[Kind][]partner
}

// partner is a kind that is believed to interfere with another one, in at least one direction.
type partner struct {
	kind     Kind
	suffered float64 // additional run time of the other kind beside this one, as a part of it
	caused   float64 // additional run time of this kind beside the other one
}

// New returns a Model without knowledge.
func New() *Model {
	return &Model{kinds: map[Kind]*kind{}, partners: map[Kind][]partner{}}
}

// Observe adds a run. It has no effect if the run time or the expected one is not positive, or if
// there are too many kinds. Update makes the knowledge available.
func (m *Model) Observe(now time.Time, o Observation) {
	if !(o.RunTime > 0) || !(o.Expected > 0) || math.IsInf(o.RunTime/o.Expected, 0) || o.RunTime/o.Expected == 0 {
		return
	}
	if k := m.kind(now, o.Kind); k != nil {
		k.observe(now, &o)
	}
}

// kind returns the state of a kind and creates it if needed. It returns nil if there are too many.
func (m *Model) kind(now time.Time, name Kind) *kind {
	k := m.kinds[name]
	if k != nil {
		return k
	}
	if len(m.kinds) >= maxKinds && !m.dropIdle(now) {
		return nil
	}
	k = &kind{updated: now, seen: now, runners: map[string]*baseline{}}
	m.kinds[name] = k
	return k
}

// dropIdle drops the kind of which no run has ended for the longest time, if that is longer than
// idleTime and it is not believed to suffer. It reports whether there was one.
func (m *Model) dropIdle(now time.Time) bool {
	var oldest *kind
	var name Kind
	for other, k := range m.kinds {
		if !k.believes() && (oldest == nil || k.seen.Before(oldest.seen)) {
			oldest, name = k, other
		}
	}
	if oldest == nil || now.Sub(oldest.seen) <= idleTime {
		return false
	}
	delete(m.kinds, name)
	return true
}

// Update applies the decay up to now, forms and drops beliefs, and returns the changes. It is to
// be called about once a second.
func (m *Model) Update(now time.Time) []Change {
	var changes []Change
	clear(m.partners)
	for _, name := range slices.SortedFunc(maps.Keys(m.kinds), compareKinds) {
		k := m.kinds[name]
		changes = k.update(now, name, changes)
		for i := range k.slots[:k.used] {
			if s := &k.slots[i]; s.believed {
				m.addPartner(name, partner{kind: s.kind, suffered: math.Exp(s.cost) - 1})
				m.addPartner(s.kind, partner{kind: name, caused: math.Exp(s.cost) - 1})
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return comparePairs(a.Pair, b.Pair) })
	return changes
}

// addPartner adds the costs of p to those of the partners of a kind.
func (m *Model) addPartner(of Kind, p partner) {
	list := m.partners[of]
	for i := range list {
		if list[i].kind == p.kind {
			list[i].suffered += p.suffered
			list[i].caused += p.caused
			return
		}
	}
	m.partners[of] = append(list, p)
}

// Involves reports whether k is believed to interfere with any kind.
func (m *Model) Involves(k Kind) bool {
	return len(m.partners[k]) > 0
}

// Cost returns the expected cost of placing a task of k beside the given groups, as a factor of
// its run time: 1 plus its own additional run time plus that of the tasks of the groups, each as
// a part of the run time of the task concerned.
func (m *Model) Cost(k Kind, beside []Group) float64 {
	cost := 1.0
	for _, p := range m.partners[k] {
		for _, g := range beside {
			if g.Count > 0 && g.Kind == p.kind {
				cost += p.suffered + p.caused*float64(g.Count)
			}
		}
	}
	return cost
}

// Pairs returns the pairs that are believed to interfere, in order of their names.
func (m *Model) Pairs() []Pair {
	var pairs []Pair
	for name, k := range m.kinds {
		for _, s := range k.slots[:k.used] {
			if s.believed {
				pairs = append(pairs, s.pair(name))
			}
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// comparePairs orders pairs by their names.
func comparePairs(a, b Pair) int {
	return cmp.Or(compareKinds(a.Kind, b.Kind), compareKinds(a.Beside, b.Beside))
}

// compareKinds orders kinds by their names.
func compareKinds(a, b Kind) int {
	return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Size, b.Size))
}
