package estimate

import (
	"math"
	"time"
)

// Variances of the logarithms of run times.
const (
	kindPrior     = 4.0    // of a kind without observations
	targetPrior   = 0.5    // of a target without observations; a factor of five either way is likely
	pairPrior     = 0.02   // of the deviation of a pair from its kind and target
	noiseVariance = 0.05   // of single run times
	targetDrift   = 0.0005 // added to that of the target with each observation
	kindDrift     = 0.0001 // added to that of the kind with each observation
	pairDrift     = 0.0002 // added to that of the pair with each observation
)

// outlierDeviations is the number of standard deviations above which an
// observation is treated as a straggler or as a change of speed.
const outlierDeviations = 3.0

// component is one summand of the logarithm of a run time with its variance.
type component struct {
	value, variance float64
}

// update corrects the component by its share of the error of an estimate whose
// total variance is given, and then adds drift to its variance.
func (p *component) update(err, total, drift float64) {
	gain := p.variance / total
	p.value += gain * err
	p.variance = p.variance*(1-gain) + drift
}

// target holds the estimates for one target.
type target struct {
	component
	pairs       []component // by kind
	seen        bool        // whether there was an observation
	outlierSign int8        // sign of the error of the last observation if it was an outlier, else zero
}

// Estimator estimates run times. The zero value has no observations and is
// ready for use. An Estimator is not safe for concurrent use.
type Estimator struct {
	kinds   []component
	targets []target
	sum     float64 // sum of the components of all targets with observations
	count   int     // number of targets with observations
}

// Observe updates the estimates with the observed run time of a call of the
// kind on the target. Run times below a microsecond count as a microsecond.
func (e *Estimator) Observe(targetNo, kindNo int, runTime time.Duration) {
	e.ensure(targetNo, kindNo)
	g, k := &e.targets[targetNo], &e.kinds[kindNo]
	p := &g.pairs[kindNo]
	x := math.Log(max(runTime, time.Microsecond).Seconds())
	e.removeFromMean(g)
	total := k.variance + g.variance + p.variance + noiseVariance
	err := x - k.value - g.value - p.value
	err = g.limitOutlier(err, &total, k.variance+p.variance+noiseVariance)
	k.update(err, total, kindDrift)
	g.update(err, total, targetDrift)
	p.update(err, total, pairDrift)
	g.seen = true
	e.sum += g.value
	e.count++
}

// limitOutlier returns the error to correct for. It limits the error of an
// outlier. If the previous observation was an outlier with the same sign, it
// resets the variance of the target instead and adapts total, where
// otherVariance is the variance of everything but the target.
func (g *target) limitOutlier(err float64, total *float64, otherVariance float64) float64 {
	limit := outlierDeviations * math.Sqrt(*total)
	sign := int8(0)
	switch {
	case err > limit:
		sign = 1
	case err < -limit:
		sign = -1
	}
	previous := g.outlierSign
	g.outlierSign = sign
	if sign == 0 {
		return err
	}
	if sign != previous {
		return float64(sign) * limit
	}
	g.variance = targetPrior
	*total = otherVariance + targetPrior
	return err
}

// LogRunTime returns the logarithm of the estimated run time, in seconds, of a
// call of the kind on the target. For a kind without observations the result is
// useful only to compare targets.
func (e *Estimator) LogRunTime(targetNo, kindNo int) float64 {
	return e.LogKind(kindNo) + e.offset(targetNo, kindNo)
}

// RunTime returns the estimated run time of a call of the kind on the target, or
// zero if there are no observations of the kind.
func (e *Estimator) RunTime(targetNo, kindNo int) time.Duration {
	if !e.HasKind(kindNo) {
		return 0
	}
	return fromLog(e.LogRunTime(targetNo, kindNo))
}

// LogKind returns the logarithm of the estimated run time, in seconds, of the
// kind on a target whose logarithmic factor is zero. It returns zero if there
// are no observations of the kind.
func (e *Estimator) LogKind(kindNo int) float64 {
	if !e.HasKind(kindNo) {
		return 0
	}
	return e.kinds[kindNo].value
}

// MeanRunTime returns the estimated run time of a call of the kind on a target
// of mean speed, or zero if there are no observations of the kind.
func (e *Estimator) MeanRunTime(kindNo int) time.Duration {
	if !e.HasKind(kindNo) {
		return 0
	}
	return fromLog(e.kinds[kindNo].value + e.mean())
}

// HasKind reports whether there are observations of the kind.
func (e *Estimator) HasKind(kindNo int) bool {
	return kindNo < len(e.kinds) && e.kinds[kindNo].variance < kindPrior
}

// LogFactor returns the logarithm of the target's speed factor: the ratio of
// its run times to those of a target with factor one, over all kinds. It serves
// to order targets by speed. For a target without observations it returns the
// mean of the others.
func (e *Estimator) LogFactor(targetNo int) float64 {
	if targetNo >= len(e.targets) || !e.targets[targetNo].seen {
		return e.mean()
	}
	return e.targets[targetNo].value
}

// HasTarget reports whether there are observations of the target since its last
// Reset.
func (e *Estimator) HasTarget(targetNo int) bool {
	return targetNo < len(e.targets) && e.targets[targetNo].seen
}

// Reset deletes the estimates of the target, so that its number can be reused.
func (e *Estimator) Reset(targetNo int) {
	if targetNo >= len(e.targets) {
		return
	}
	g := &e.targets[targetNo]
	e.removeFromMean(g)
	*g = target{pairs: g.pairs[:0]}
}

// offset returns the sum of the components of the target and of the pair.
func (e *Estimator) offset(targetNo, kindNo int) float64 {
	offset := e.LogFactor(targetNo)
	if targetNo < len(e.targets) && kindNo < len(e.targets[targetNo].pairs) {
		offset += e.targets[targetNo].pairs[kindNo].value
	}
	return offset
}

// removeFromMean removes the target from the mean.
func (e *Estimator) removeFromMean(g *target) {
	if g.seen {
		e.sum -= g.value
		e.count--
	}
}

// mean returns the mean component of the targets with observations, or zero if
// there are none.
func (e *Estimator) mean() float64 {
	if e.count == 0 {
		return 0
	}
	return e.sum / float64(e.count)
}

// ensure adds entries for the target, the kind and the pair where they are
// missing.
func (e *Estimator) ensure(targetNo, kindNo int) {
	for len(e.kinds) <= kindNo {
		e.kinds = append(e.kinds, component{variance: kindPrior})
	}
	for len(e.targets) <= targetNo {
		e.targets = append(e.targets, target{})
	}
	g := &e.targets[targetNo]
	if !g.seen && g.variance == 0 {
		g.component = component{value: e.mean(), variance: targetPrior}
	}
	for len(g.pairs) <= kindNo {
		g.pairs = append(g.pairs, component{variance: pairPrior})
	}
}

// fromLog returns the duration whose logarithm in seconds is log.
func fromLog(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
