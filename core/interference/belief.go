package interference

import (
	"math"
	"time"
)

// update applies the decay, estimates the costs of the neighbours, and appends the beliefs that
// have begun or ended to changes.
func (k *kind) update(now time.Time, name Kind, changes []Change) []Change {
	k.decay(now)
	if k.used == 0 {
		return changes
	}
	e := k.estimate()
	for i := range k.slots[:k.used] {
		s := &k.slots[i]
		before := *s
		s.cost = e.costs[i]
		switch {
		case !s.believed && e.shows(i):
			s.believed, s.since = true, now
			changes = append(changes, Change{Pair: s.pair(name)})
		case s.believed && !e.supports(i):
			s.believed = false
			changes = append(changes, Change{Pair: before.pair(name), Ended: true})
		}
	}
	return changes
}

// decay reduces the weight of the evidence, once per decayInterval.
func (k *kind) decay(now time.Time) {
	passed := min(max(now.Sub(k.updated), 0), maxUpdateGap)
	if passed < decayInterval {
		return
	}
	keep := math.Exp(-passed.Seconds()/decayTime.Seconds() - k.newRuns/decayRuns)
	k.updated, k.newRuns = now, 0
	for d := range k.evidence {
		for g := range k.evidence[d] {
			k.evidence[d][g].scale(k.used, keep)
		}
	}
}

// scale multiplies all sums by a factor.
func (s *sums) scale(used int, factor float64) {
	s.squares *= factor
	s.runs *= factor
	for i := range used {
		s.products[i] *= factor
		for j := range used {
			s.fractions[i][j] *= factor
		}
	}
}

// estimates holds the logarithms of the factors of the neighbours of a kind, with their errors.
type estimates struct {
	costs     vector
	errors    vector // if all runs were independent
	disparity vector // errors by the groups, the larger one of both divisions
	groups    vector // effective number of groups, the smaller one of both divisions
	freedom   float64
}

// shows reports whether there is enough evidence for the belief that a neighbour interferes.
func (e *estimates) shows(i int) bool {
	return e.freedom >= minFreedom && e.groups[i] >= minGroups && e.costs[i] >= math.Log(minFactor) &&
		e.costs[i] >= minEvidence*e.errors[i] && e.costs[i] >= minAgreement*e.disparity[i]
}

// supports reports whether there is enough evidence for an existing belief.
func (e *estimates) supports(i int) bool {
	return e.costs[i] >= math.Log(endFactor) && e.costs[i] >= endEvidence*e.errors[i] && e.costs[i] >= endAgreement*e.disparity[i]
}

// estimate estimates the costs of all neighbours by a linear regression.
func (k *kind) estimate() estimates {
	total := sums{}
	for g := range k.evidence[byRunner] {
		total.addAll(k.used, &k.evidence[byRunner][g])
	}
	inverse := invert(total.fractions, k.used)
	e := estimates{costs: inverse.times(k.used, &total.products), freedom: total.runs - float64(k.used)}
	explained := 0.0
	for i := range k.used {
		explained += e.costs[i] * total.products[i]
	}
	residual := max((total.squares-explained)/max(e.freedom, 1), minResidual)
	matters := false
	for i := range k.used {
		e.errors[i] = math.Sqrt(residual * inverse[i][i])
		e.groups[i] = groupCount
		matters = matters || k.slots[i].believed || e.shows(i)
	}
	for d := 0; matters && d < divisions; d++ {
		k.compareGroups(d, &e, &total, &inverse)
	}
	return e
}

// compareGroups computes the errors by the groups of a division. The influence of each group is that
// of leaving it out.
func (k *kind) compareGroups(d int, e *estimates, total *sums, inverse *matrix) {
	var variances, squares vector
	for g := range k.evidence[d] {
		s := &k.evidence[d][g]
		var score vector
		for i := range k.used {
			score[i] = s.products[i]
			for j := range k.used {
				score[i] -= s.fractions[i][j] * e.costs[j]
			}
		}
		influence := inverse.times(k.used, &score)
		for i := range k.used {
			part := s.fractions[i][i] / max(total.fractions[i][i], ridge)
			squares[i] += part * part
			change := influence[i] / max(1-part, 1.0/groupCount)
			variances[i] += change * change
		}
	}
	for i := range k.used {
		e.disparity[i] = max(e.disparity[i], math.Sqrt(variances[i]))
		if squares[i] > 0 {
			e.groups[i] = min(e.groups[i], 1/squares[i])
		}
	}
}

// addAll adds other to s.
func (s *sums) addAll(used int, other *sums) {
	s.squares += other.squares
	s.runs += other.runs
	for i := range used {
		s.products[i] += other.products[i]
		for j := range used {
			s.fractions[i][j] += other.fractions[i][j]
		}
	}
}

// times returns the product of m and v.
func (m *matrix) times(used int, v *vector) vector {
	var product vector
	for i := range used {
		for j := range used {
			product[i] += m[i][j] * v[j]
		}
	}
	return product
}

// invert returns the inverse of m with ridge added to its diagonal, which makes it positive
// definite, so that no pivoting is needed.
func invert(m matrix, used int) matrix {
	var inverse matrix
	for i := range used {
		m[i][i] += ridge
		inverse[i][i] = 1
	}
	for i := range used {
		pivot := max(m[i][i], minPivot)
		for j := range used {
			m[i][j] /= pivot
			inverse[i][j] /= pivot
		}
		for r := range used {
			factor := m[r][i]
			if r == i || factor == 0 {
				continue
			}
			for j := range used {
				m[r][j] -= factor * m[i][j]
				inverse[r][j] -= factor * inverse[i][j]
			}
		}
	}
	return inverse
}
