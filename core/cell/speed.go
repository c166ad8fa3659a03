package cell

import "math"

// Parameters of the speed estimates.
const (
	kindPriorSamples   = 3.0   // weight of the kind's speed, in samples of the runner
	speedWindow        = 24.0  // samples in the moving average of a runner
	kindWindow         = 300.0 // samples in the moving average of a kind
	changeLogDistance  = 1.1   // distance of a sample from the mean logarithm that means a change
	changeSamples      = 2.0   // former samples that count after a change
	progressSamples    = 6.0   // weight of a measured progress, in samples
	outlierMinSamples  = 10.0  // samples of a kind from which on outliers are limited
	outlierLogDistance = 0.7   // distance from the mean logarithm beyond which a sample is an outlier
)

// speed is the estimated speed of a runner: the expected run time of its tasks divided by
// the measured one. With few samples it is close to the speed of the runner's kind.
type speed struct {
	meanLog float64 // mean of the logarithm of the samples
	samples float64
	kind    *kindSpeed
}

// kindSpeed is the estimated speed of the runners of a kind.
type kindSpeed struct {
	meanLog float64
	samples float64
	cold    coldSpeed
}

// rate returns the estimated speed; 1 is as fast as expected.
func (s *speed) rate() float64 {
	kind := 0.0
	if s.kind != nil {
		kind = s.kind.meanLog
	}
	return math.Exp(kind + (s.meanLog-kind)*s.samples/(s.samples+kindPriorSamples))
}

// update adds the speed of one run to the estimates of the runner and its kind.
func (s *speed) update(ratio float64) {
	s.updateOwn(ratio)
	if s.kind != nil {
		s.kind.update(math.Log(ratio))
	}
}

// updateOwn adds the speed of one run that says nothing about other runners of the kind. A
// speed far from the estimate means that the runner has changed, so that former samples
// count little.
func (s *speed) updateOwn(ratio float64) {
	if math.Abs(math.Log(ratio)-s.meanLog) > changeLogDistance {
		s.samples = min(s.samples, changeSamples)
	}
	s.samples = min(s.samples+1, speedWindow)
	s.meanLog += (math.Log(ratio) - s.meanLog) / s.samples
}

// replace sets the estimate to the logarithm of a speed that was measured by the progress
// of a run.
func (s *speed) replace(log float64) {
	s.meanLog, s.samples = log, max(s.samples, progressSamples)
}

// update adds the logarithm of the speed of one run. Outliers are limited, so that a few
// runners that are slow for a time hardly affect the others.
func (k *kindSpeed) update(log float64) {
	if k.samples >= outlierMinSamples {
		log = min(max(log, k.meanLog-outlierLogDistance), k.meanLog+outlierLogDistance)
	}
	k.samples = min(k.samples+1, kindWindow)
	k.meanLog += (log - k.meanLog) / k.samples
}

// kindSpeed returns the speed estimate for the runners of a service on a kind of machine,
// and creates it if needed.
func (c *Cell) kindSpeed(service, name string) *kindSpeed {
	key := service + "/" + name
	k := c.estimates.kinds[key]
	if k == nil {
		k = &kindSpeed{}
		c.estimates.kinds[key] = k
	}
	return k
}
