package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/estimate"
)

// TestEstimates checks that the estimates are close to the true run times, also
// for pairs of a target and a kind without observations.
func TestEstimates(t *testing.T) {
	t.Parallel()
	const targets, kinds = 20, 5
	rnd := rand.New(rand.NewPCG(1, 2))
	truth := func(targetNo, kindNo int) float64 {
		return 0.05 * math.Pow(3, float64(kindNo)) * math.Pow(5, float64(targetNo)/(targets-1))
	}
	var estimator estimate.Estimator
	for range 4000 {
		targetNo, kindNo := rnd.IntN(targets), rnd.IntN(kinds)
		if (targetNo+kindNo)%3 == 0 {
			continue // no observations of the pair
		}
		runTime := truth(targetNo, kindNo) * math.Exp(0.15*rnd.NormFloat64())
		estimator.Observe(targetNo, kindNo, time.Duration(runTime*float64(time.Second)))
	}
	for targetNo := range targets {
		for kindNo := range kinds {
			require.InEpsilon(t, truth(targetNo, kindNo), estimator.RunTime(targetNo, kindNo).Seconds(), 0.25, "%d %d", targetNo, kindNo)
		}
	}
	require.InEpsilon(t, truth(0, 0)*math.Sqrt(5), estimator.MeanRunTime(0).Seconds(), 0.25)
	require.Zero(t, estimator.RunTime(0, kinds))
}

// TestStragglerAndChange guards against an estimate that follows a single
// straggler or that lags behind a permanent change of a target's speed.
func TestStragglerAndChange(t *testing.T) {
	t.Parallel()
	var estimator estimate.Estimator
	for i := range 500 {
		estimator.Observe(i%10, 0, 100*time.Millisecond)
	}
	estimator.Observe(3, 0, 2*time.Second)
	require.InEpsilon(t, 0.1, estimator.RunTime(3, 0).Seconds(), 0.25)
	estimator.Observe(3, 0, 100*time.Millisecond)
	for range 4 {
		estimator.Observe(3, 0, time.Second)
	}
	require.InEpsilon(t, 1, estimator.RunTime(3, 0).Seconds(), 0.3)
	require.InEpsilon(t, 0.1, estimator.RunTime(4, 0).Seconds(), 0.2)
	estimator.Reset(3)
	require.InEpsilon(t, 0.1, estimator.RunTime(3, 0).Seconds(), 0.3)
}
