package shares

import (
	"sort"
	"time"
)

// Allocation holds the fraction of the targets and the weights that this instance should
// use.
type Allocation struct {
	Fraction  float64            // fraction of the data centre's targets, more than 0 and at most 1
	Fractions []InstanceFraction // fractions of this instance and of its known peers, ordered by instance
	Teams     []TeamWeight       // local weights, ordered by team
}

// InstanceFraction is the fraction of the data centre's targets that one instance uses.
type InstanceFraction struct {
	Instance string
	Fraction float64
}

// TeamWeight is the local weight of a team.
type TeamWeight struct {
	Team   string
	Weight float64
}

// headroom multiplies the rates of teams in the division of the targets, so that
// bursts find free targets if there is capacity left.
const headroom = 1.5

// Allocate computes the local weights and the fractions of the targets from the reports
// that are not stale at the time now.
func (s *Shares) Allocate(now time.Time) Allocation {
	known := float64(s.dropStalePeers(now) + 1)
	demands := s.totalDemand()
	d := s.divide(demands)
	a := Allocation{Teams: make([]TeamWeight, 0, len(s.sorted))}
	for i, t := range s.sorted {
		a.Teams = append(a.Teams, TeamWeight{Team: t.name, Weight: t.weight * d.weightFactor(i, t.rate, known)})
	}
	a.Fraction = d.fraction(s.settings.Size, s.settings.SizeFraction, func(i int) float64 { return s.sorted[i].rate })
	a.Fractions = append(a.Fractions, InstanceFraction{Instance: s.self, Fraction: a.Fraction})
	for _, p := range s.peers {
		fraction := d.fraction(p.size, s.settings.SizeFraction, func(i int) float64 { return p.rates[s.sorted[i].name] })
		a.Fractions = append(a.Fractions, InstanceFraction{Instance: p.id, Fraction: fraction})
	}
	sort.Slice(a.Fractions, func(i, j int) bool { return a.Fractions[i].Instance < a.Fractions[j].Instance })
	return a
}

// division is the division of the targets of the known instances among teams. An
// instance is known if it is this one or a peer with a recent report.
type division struct {
	demands       []demand
	served        []float64 // target seconds per second allocated to each demand
	unclaimed     float64   // target seconds per second that no demand needs
	knownCapacity float64   // sum of served and unclaimed
	knownFraction float64   // fraction of the targets that the known instances use
	knownSize     float64   // total size of the known instances
	totalSize     float64   // total size of all instances; unknown ones count with the mean size
}

// divide divides the capacity of the known instances among the teams. The demands
// are in the order of s.sorted.
func (s *Shares) divide(demands []demand) division {
	d := division{demands: demands, knownSize: s.settings.Size}
	for _, p := range s.peers {
		d.knownSize += p.size
	}
	known := len(s.peers) + 1
	d.totalSize = d.knownSize * float64(max(s.instances, known)) / float64(known)
	d.knownFraction = d.knownSize / d.totalSize
	d.served, d.unclaimed = maxMinFair(demands, s.capacity*d.knownFraction)
	d.knownCapacity = d.unclaimed
	for _, x := range d.served {
		d.knownCapacity += x
	}
	return d
}

// withinShareFactor multiplies the weight of a team whose demand does not exceed its
// share of the data centre. The bursts of such a team are then served before the
// work of teams that demand more, and on average it cannot get more than it demands.
const withinShareFactor = 4

// weightFactor returns the factor by which the weight of team i is multiplied at an
// instance that receives the team's demand at the given rate. Known is the number of
// known instances.
func (d *division) weightFactor(i int, rate, known float64) float64 {
	totalRate := d.demands[i].rate / headroom
	if totalRate <= 0 {
		return 1
	}
	w := max(rate*headroom/d.demands[i].rate*known, minWeightFactor)
	if d.served[i] >= totalRate {
		w *= withinShareFactor
	}
	return w
}

// fraction returns the fraction of the data centre's targets for an instance of the
// given size, where rate returns the demand of each team that the instance receives.
// The part sizeFraction of the result is determined by size, the rest by demand.
func (d *division) fraction(size, sizeFraction float64, rate func(i int) float64) float64 {
	bySize := size / d.totalSize
	if d.knownCapacity <= 0 {
		return bySize
	}
	ownCapacity := d.unclaimed * size / d.knownSize // its part by size of the capacity that is not needed
	for i := range d.demands {
		if d.demands[i].rate > 0 {
			ownCapacity += d.served[i] * rate(i) * headroom / d.demands[i].rate
		}
	}
	return sizeFraction*bySize + (1-sizeFraction)*d.knownFraction*ownCapacity/d.knownCapacity
}

// minWeightFactor is the minimum fraction of its weight that a team keeps at an
// instance that receives little of its demand.
const minWeightFactor = 0.05
