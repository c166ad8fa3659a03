package outlier

import "math"

// Failure rates of the likelihood ratio test.
const (
	minRate           = 0.05 // lower bound of the rate of the peers
	uninformativeRate = 0.6  // rate of the peers above which a failure is no evidence
	maxRate           = 0.95 // upper bound of the rate of the peers
	soundRate         = 0.8  // rate above which a target does not count as a sound peer
	soundFraction     = 0.2  // part of the targets that must be sound for only these to be the peers
	badFraction       = 0.7  // part of the calls that a bad target fails among those that peers do not
)

// Weights of a new outcome in the averages.
const (
	targetWeight = 0.2 // in the rate of a target
	kindWeight   = 0.1 // in the rate of a kind
)

// rate is the failure rate of one target with the evidence against the target.
type rate struct {
	value    float64 // moving average of failures over calls
	seen     bool    // whether there was an outcome
	evidence float64 // logarithm of the likelihood ratio of a bad target to one like its peers, at least zero
}

// peers holds the failure rates of all targets for one kind, or for connections.
type peers struct {
	all        rateSum // sum of the rates of all targets
	sound      rateSum // sum of the rates of sound targets
	lastTarget int     // target of the last outcome, plus one; zero if none
	rate       float64 // moving average of failures over calls, with consecutive calls of one target counted once
}

// updateRate updates the rate over all targets. Consecutive outcomes of one
// target count once, so that one bad target does not dominate.
func (p *peers) updateRate(targetNo int, failed bool) {
	if p.lastTarget == targetNo+1 {
		return
	}
	p.lastTarget = targetNo + 1
	value := 0.0
	if failed {
		value = 1
	}
	p.rate += kindWeight * (value - p.rate)
}

// observe updates the rate and evidence of a target with an outcome, and
// returns the logarithm of the likelihood ratio of the outcome.
func (p *peers) observe(r *rate, failed bool) float64 {
	expected := p.peerRate(r)
	bad := expected + (1-expected)*badFraction
	ratio := math.Log((1 - bad) / (1 - expected))
	value := 0.0
	if failed {
		ratio = 0
		value = 1
		if expected <= uninformativeRate {
			ratio = math.Log(bad / expected)
		}
	}
	r.evidence = max(r.evidence+ratio, 0)
	p.exclude(r)
	if !r.seen {
		r.seen, r.value = true, value
	}
	r.value += targetWeight * (value - r.value)
	p.include(r)
	return ratio
}

// peerRate returns the mean rate of the peers of r: of the sound targets if there
// are enough, otherwise of all. Without peers it is a half, so that failures of a
// kind that no other target has run count for little.
func (p *peers) peerRate(r *rate) float64 {
	all, sound := p.all, p.sound
	if r.seen {
		all.remove(r.value)
		if r.value <= soundRate {
			sound.remove(r.value)
		}
	}
	if float64(sound.count) < soundFraction*float64(all.count) {
		sound = all
	}
	return min(max((sound.sum+0.5)/float64(sound.count+1), minRate), maxRate)
}

// setFailed sets the rate of a target that was quarantined on sufficient
// evidence to one.
func (p *peers) setFailed(r *rate) {
	p.exclude(r)
	r.seen, r.value = true, 1
	p.include(r)
}

// include adds r to the sums.
func (p *peers) include(r *rate) {
	p.all.add(r.value)
	if r.value <= soundRate {
		p.sound.add(r.value)
	}
}

// exclude removes r from the sums if it is in them.
func (p *peers) exclude(r *rate) {
	if !r.seen {
		return
	}
	p.all.remove(r.value)
	if r.value <= soundRate {
		p.sound.remove(r.value)
	}
}

// rateSum is a sum of rates and their number.
type rateSum struct {
	sum   float64
	count int
}

// add adds a rate.
func (s *rateSum) add(value float64) {
	s.sum += value
	s.count++
}

// remove removes a rate.
func (s *rateSum) remove(value float64) {
	s.sum -= value
	s.count--
}
