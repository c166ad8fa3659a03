package interference

import (
	"math"
	"time"
)

// Parameters of the evidence.
const (
	baselineWindow = 32          // runs in the moving mean of a kind on a runner
	maxDeviation   = 0.8         // of the logarithm of a run time from the mean; bounds the effect of stragglers
	decayTime      = time.Minute // after which evidence counts 1/e
	decayRuns      = 4000.0      // number of runs of a kind after which evidence counts 1/e
	decayInterval  = 5 * time.Second
	groupTime      = 5 * time.Second  // for which the runs of a runner, or a job, are in one group
	groupCount     = 16               // of each division of the evidence
	ridge          = 0.5              // added to the sum of squares of each fraction, so that few runs say little
	maxUpdateGap   = 10 * time.Minute // longest time for which decay is computed
)

// division numbers the ways to divide the evidence into groups.
const (
	byRunner = iota
	byJob
	divisions
)

// Thresholds of a belief. The errors are standard errors of the logarithm of the factor. Those that
// end a belief are lower, so that it does not come and go with noise.
const (
	minFactor    = 1.15 // from which on it is worth while to keep kinds apart
	minEvidence  = 5.0  // ratio of the logarithm to its error if all runs were independent
	minAgreement = 5.0  // ratio of the logarithm to its error by the groups
	minGroups    = 6    // effective number of groups
	endFactor    = 1.08
	endEvidence  = 2.0
	endAgreement = 2.0
	minFreedom   = 30.0  // runs beyond the number of neighbours
	minResidual  = 0.005 // least variance of the logarithm of a run time
	minPivot     = 1e-9  // of the matrix, against division by zero
)

// vector has an entry for each neighbour of a kind.
type vector [maxNeighbours]float64

// matrix has an entry for each two neighbours of a kind.
type matrix [maxNeighbours]vector

// sums are weighted sums of products of deviations from baselines.
type sums struct {
	fractions matrix // of the fractions of two neighbours
	products  vector // of the fraction of a neighbour and the run time
	squares   float64
	runs      float64
}

// baseline holds the moving means of a kind on a runner.
type baseline struct {
	runs      float64
	runTime   float64 // logarithm of the run time relative to the expected one
	fractions vector
	seen      time.Time
}

// slot holds what is known of a neighbour of a kind.
type slot struct {
	kind     Kind
	seen     time.Time
	cost     float64 // logarithm of the factor of run time
	believed bool
	since    time.Time
}

// pair returns the pair of a kind and its neighbour.
func (s *slot) pair(k Kind) Pair {
	return Pair{Kind: k, Beside: s.kind, Factor: math.Exp(s.cost), Since: s.since}
}

// kind holds the evidence on a kind and its neighbours.
type kind struct {
	slots    [maxNeighbours]slot
	used     int // number of slots
	runners  map[string]*baseline
	evidence [divisions][groupCount]sums
	newRuns  float64 // since the last update
	updated  time.Time
	seen     time.Time
}

// believes reports whether any neighbour is believed to interfere.
func (k *kind) believes() bool {
	for i := range k.slots[:k.used] {
		if k.slots[i].believed {
			return true
		}
	}
	return false
}

// observe adds a run to the evidence.
func (k *kind) observe(now time.Time, o *Observation) {
	k.seen = now
	var fractions vector
	for _, n := range o.Beside {
		if i := k.slot(now, n.Kind); i >= 0 {
			fractions[i] = min(max(n.Fraction, 0), 1)
		}
	}
	b := k.baseline(now, o.Runner)
	runTime := math.Log(o.RunTime / o.Expected)
	if b.runs > 0 {
		runTime = min(max(runTime, b.runTime-maxDeviation), b.runTime+maxDeviation)
		weight := b.runs / (b.runs + 1)
		period := uint64(now.UnixNano() / int64(groupTime))
		k.evidence[byRunner][group(o.Runner, period)].add(k.used, &fractions, b, runTime, weight)
		k.evidence[byJob][group(o.Job, period)].add(k.used, &fractions, b, runTime, weight)
		k.newRuns++
	}
	b.runs = min(b.runs+1, baselineWindow)
	b.runTime += (runTime - b.runTime) / b.runs
	for i := range fractions {
		b.fractions[i] += (fractions[i] - b.fractions[i]) / b.runs
	}
}

// add adds the deviations of a run from b.
func (s *sums) add(used int, fractions *vector, b *baseline, runTime, weight float64) {
	var d vector
	for i := range used {
		d[i] = fractions[i] - b.fractions[i]
	}
	dy := runTime - b.runTime
	for i := range used {
		if d[i] == 0 {
			continue
		}
		wd := weight * d[i]
		s.products[i] += wd * dy
		for j := range used {
			s.fractions[i][j] += wd * d[j]
		}
	}
	s.squares += weight * dy * dy
	s.runs++
}

// group returns the number of the group of a name in a period, by the FNV-1a hash.
func group(name string, period uint64) int {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	for range 8 {
		h = (h ^ (period & 0xff)) * prime
		period >>= 8
	}
	return int((h >> 32) % groupCount)
}

// slot returns the number of the slot of a neighbour, which it gets if needed. It returns -1 if
// none is free.
func (k *kind) slot(now time.Time, name Kind) int {
	oldest := -1
	for i := range k.slots[:k.used] {
		s := &k.slots[i]
		if s.kind == name {
			s.seen = now
			return i
		}
		if !s.believed && (oldest < 0 || s.seen.Before(k.slots[oldest].seen)) {
			oldest = i
		}
	}
	if k.used < maxNeighbours {
		k.used++
		k.slots[k.used-1] = slot{kind: name, seen: now}
		return k.used - 1
	}
	if oldest < 0 || now.Sub(k.slots[oldest].seen) < idleTime {
		return -1
	}
	k.clear(oldest)
	k.slots[oldest] = slot{kind: name, seen: now}
	return oldest
}

// clear removes the evidence on the neighbour in a slot.
func (k *kind) clear(i int) {
	for d := range k.evidence {
		for g := range k.evidence[d] {
			s := &k.evidence[d][g]
			s.products[i], s.fractions[i] = 0, vector{}
			for j := range s.fractions {
				s.fractions[j][i] = 0
			}
		}
	}
	for _, b := range k.runners {
		b.fractions[i] = 0
	}
}

// baseline returns the means on a runner. If there are too many runners, it replaces those of the
// runner on which no run has ended for the longest time.
func (k *kind) baseline(now time.Time, runner string) *baseline {
	b := k.runners[runner]
	if b == nil {
		if len(k.runners) >= maxRunners {
			k.dropOldest()
		}
		b = &baseline{}
		k.runners[runner] = b
	}
	b.seen = now
	return b
}

// dropOldest drops the means on the runner on which no run has ended for the longest time.
func (k *kind) dropOldest() {
	oldest := ""
	for id, b := range k.runners {
		if oldest == "" || b.seen.Before(k.runners[oldest].seen) {
			oldest = id
		}
	}
	delete(k.runners, oldest)
}
