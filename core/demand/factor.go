package demand

import "math"

// Bounds and prior of a factor. The bounds leave room for declarations that are
// wrong by a factor of ten.
const (
	minFactor     = 0.05
	maxFactor     = 20
	priorMean     = 1
	priorVariance = 4
	drift         = 3e-3 // variance added with each report, so that the estimate follows changes
	minVariance   = 1e-3
)

// Parameters of the noise of reports. Its standard deviation is the sum of a part
// of the reported figure and a constant.
const (
	relativeNoise = 0.1
	othersNoise   = 0.5      // relative noise of the use by other instances
	fullExcess    = 1.15     // ratio of assumed need to reported use if all cores of a target are in use
	coresNoise    = 0.3      // constant noise of cores
	memoryNoise   = 64 << 20 // constant noise of memory in bytes
)

// factor is the estimated ratio of actual to declared need.
type factor struct {
	mean, variance float64
	upper          float64 // mean plus a margin, at most maxFactor
	samples        int     // number of corrections
}

// newFactor returns the factor of a kind without reports, with the given margin
// in standard deviations.
func newFactor(margin float64) factor {
	f := factor{mean: priorMean, variance: priorVariance}
	f.updateUpper(margin)
	return f
}

// updateUpper sets upper to the mean plus the margin in standard deviations.
func (f *factor) updateUpper(margin float64) {
	f.upper = min(f.mean+margin*math.Sqrt(f.variance), maxFactor)
}

// residual holds the reported use of one resource of a target and the use that
// was expected.
type residual struct {
	reported      float64 // reported use
	constantNoise float64 // constant noise of the report
	full          bool    // whether the resource was in full use, so that the need may be larger
	margin        float64 // margin of the factors in standard deviations

	expected       float64 // expected use
	variance       float64 // variance of the expected use of the mix
	othersVariance float64 // variance of the use by other instances
}

// meanUse is the mean use of a task over all kinds.
type meanUse struct {
	value float64
	known bool // whether there was a report
}

// meanWeight is the weight of the newest report in a mean.
const meanWeight = 0.02

// addOthers updates the mean with a report of count tasks and adds the expected
// use of the n tasks of other instances among these to the residual.
func (m *meanUse) addOthers(r *residual, n, count int) {
	if count > 0 {
		newest := r.reported / float64(count)
		if !m.known {
			m.value, m.known = newest, true
		}
		m.value += meanWeight * (newest - m.value)
	}
	r.expected += float64(n) * m.value
	r.othersVariance = float64(n) * m.value * m.value // as for an exponential distribution
}

// add adds the expected use of the tasks of a kind with the given declared sum.
func (r *residual) add(f *factor, declared float64) {
	r.expected += f.mean * declared
	r.variance += f.variance * declared * declared
}

// correct corrects a factor by its part of the difference between reported and
// expected use. It has no effect if declared is not positive, or if the resource
// was in full use and less than expected, which says nothing about the need.
func (r *residual) correct(f *factor, declared float64) {
	reported := r.reported
	if r.full {
		reported *= fullExcess
	}
	diff := reported - r.expected
	if r.full && diff < 0 || declared <= 0 {
		return
	}
	noise := r.constantNoise + relativeNoise*r.reported
	gain := f.variance * declared / (r.variance + noise*noise + r.othersVariance)
	f.mean = min(max(f.mean+gain*diff, minFactor), maxFactor)
	f.variance = max(f.variance*(1-gain*declared), minVariance) + drift
	f.samples++
	f.updateUpper(r.margin)
}
