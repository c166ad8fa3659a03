//go:build bench

package bench_test

func init() {
	register("interference-1-steady", measureInterference)
}

// maxHarm is the largest mean response time with the setting, relative to that without it, where it can
// do nothing: with a full fleet, and if no kinds interfere.
const maxHarm = 1.02

// measureInterference measures the response times of jobs of a cell at several loads, with and without
// the setting. Fastest holds p50, p95 and p99 relative to the run time of the longest task, Kept the
// mean of the kinds that are slowed down, and Goodput the part of the jobs that succeed.
func measureInterference(r *report, set uint64) {
	for _, s := range []struct {
		name  string
		load  float64
		pairs map[[2]int]float64
	}{
		{"interference-30", 0.3, interferencePairs},
		{"interference-50", 0.5, interferencePairs},
		{"interference-70", 0.7, interferencePairs},
		{"interference-full", 1.2, interferencePairs},
		{"no-interference-50", 0.5, nil},
	} {
		means := map[bool]float64{}
		for _, on := range []bool{false, true} {
			w := newCellWorld(s.load, s.pairs, on, set)
			w.run()
			policy := "off"
			if on {
				policy = "on"
			}
			line := row{Scenario: s.name, Policy: policy, Set: set, Goodput: float64(len(w.overs)) / float64(max(w.answered, 1)), Kept: mean(w.victims)}
			means[on] = mean(w.overs)
			for i, q := range []float64{0.5, 0.95, 0.99} {
				line.Fastest[i] = quantile(w.overs, q)
			}
			r.Rows = append(r.Rows, line)
		}
		if s.pairs == nil || s.load > 1 {
			r.atMost(s.name+"-mean-on/off", means[true]/means[false], maxHarm)
		} else {
			r.atMost(s.name+"-mean-on/off", means[true]/means[false], 1)
		}
	}
}

// mean returns the mean of values, or zero if there are none.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
