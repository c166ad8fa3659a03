package cell

import "math"

// Weights of learning speeds.
const (
	speedPrior  = 3.0   // samples that the kind of a runner counts for
	speedWindow = 24.0  // samples of a runner that count
	kindWindow  = 300.0 // samples of a kind that count
	kindSure    = 10.0  // samples from which on outliers are cut
	kindSpread  = 0.7   // of the logarithm; what is further off is an outlier
)

// speed is the learned speed of a runner: how much work it does in a unit of time,
// against the estimates of what it ran. While little is known of the runner, that of
// its kind counts.
type speed struct {
	log  float64 // mean of the logarithm
	n    float64
	kind *kindSpeed
}

// kindSpeed is the learned speed of the runners of a kind.
type kindSpeed struct {
	log float64
	n   float64
}

// rate returns the speed.
func (s *speed) rate() float64 {
	kind := 0.0
	if s.kind != nil {
		kind = s.kind.log
	}
	return math.Exp(kind + (s.log-kind)*s.n/(s.n+speedPrior))
}

// learn takes the speed of one run.
func (s *speed) learn(ratio float64) {
	s.observe(ratio)
	if s.kind != nil {
		s.kind.learn(math.Log(ratio))
	}
}

// observe takes the speed of one run that says nothing about other runners.
func (s *speed) observe(ratio float64) {
	s.n = min(s.n+1, speedWindow)
	s.log += (math.Log(ratio) - s.log) / s.n
}

// learn takes the logarithm of the speed of one run. A few runners that are slow for a
// time do not count for the others.
func (k *kindSpeed) learn(log float64) {
	if k.n >= kindSure {
		log = min(max(log, k.log-kindSpread), k.log+kindSpread)
	}
	k.n = min(k.n+1, kindWindow)
	k.log += (log - k.log) / k.n
}

// kind returns what is learned of the runners of a kind of a service.
func (c *Cell) kind(service, name string) *kindSpeed {
	key := service + "/" + name
	k := c.times.kinds[key]
	if k == nil {
		k = &kindSpeed{}
		c.times.kinds[key] = k
	}
	return k
}
