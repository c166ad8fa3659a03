package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a kind of call.
type Kind struct {
	Name    string
	RunTime time.Duration // run time on the fastest target, before the variation between calls
	Share   float64       // fraction of all calls; the shares of a load add up to 1
}

// Call is a request of a client.
type Call struct {
	Number         int
	Kind           string
	Team           string
	Urgency        int
	ArrivedAt      time.Time     // when it arrives at its entry instance
	Timeout        time.Duration // from arrival to deadline; zero means no deadline
	Instance       int           // index of the entry instance at which it arrives
	RunTime        time.Duration // run time on the fastest target
	StraggleFactor float64       // by which the first attempt takes longer; zero means 1
	Attempts       int           // number of attempts
	Refusals       int           // number of refusals by targets
	Resends        int           // number of times its client has resent it
	Avoid          string        // target of the last failed attempt
	Ended          bool          // its client has an answer or has given up
	Good           bool          // the answer is useful
	ResponseTime   time.Duration // from arrival to answer
}

// Stream is a Poisson stream of calls of one team.
type Stream struct {
	Team           string
	Urgency        int
	Kinds          []Kind
	Rate           float64       // calls a second
	Start          time.Duration // from the start of the simulation to the start of the stream
	Stop           time.Duration // from the start of the simulation to the end of the stream
	Timeout        time.Duration // from the arrival of each call to its deadline; zero means no deadline
	LogStdDev      float64       // standard deviation of the logarithm of run times
	StragglerShare float64       // fraction of the calls whose first attempt takes straggleFactor times longer
	Instances      []float64     // fraction of the calls that arrive at each entry instance
	Seed           uint64
}

// straggleFactor is the factor by which the first attempt of a straggler takes longer.
const straggleFactor = 20

// Calls returns the calls of the stream in order of arrival, for a simulation that starts
// at start.
func (s Stream) Calls(start time.Time) []*Call {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	var calls []*Call
	at := s.Start
	for {
		at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Stop {
			return calls
		}
		kind := s.Kinds[sampleIndex(rnd, len(s.Kinds), func(i int) float64 { return s.Kinds[i].Share })]
		c := &Call{
			Kind: kind.Name, Team: s.Team, Urgency: s.Urgency, ArrivedAt: start.Add(at), Timeout: s.Timeout,
			Instance: sampleIndex(rnd, len(s.Instances), func(i int) float64 { return s.Instances[i] }),
			RunTime:  time.Duration(float64(kind.RunTime) * math.Exp(s.LogStdDev*rnd.NormFloat64())),
		}
		if rnd.Float64() < s.StragglerShare {
			c.StraggleFactor = straggleFactor
		}
		calls = append(calls, c)
	}
}

// MeanRunTime returns the mean run time of a mix of kinds on the fastest target.
func MeanRunTime(kinds []Kind) time.Duration {
	var sum float64
	for _, k := range kinds {
		sum += k.Share * float64(k.RunTime)
	}
	return time.Duration(sum)
}

// sampleIndex draws an index below n with the probabilities that share returns, which add
// up to 1.
func sampleIndex(rnd *rand.Rand, n int, share func(int) float64) int {
	x := rnd.Float64()
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}
