//go:build bench

package bench_test

import (
	"slices"
)

func init() {
	register("place-1-steady", measurePlacement)
}

// maxOverload is the target for the longest overload of a worker: three times the lag of
// reports.
const maxOverload = 3 * reportLag

// measurePlacement measures placement with wrong declared requirements at two loads, and
// with stragglers.
func measurePlacement(r *report, set uint64) {
	for _, s := range []struct {
		name     string
		load     float64
		straggle float64
	}{
		{"place-50", 0.5, 0}, {"place-80", 0.8, 0}, {"place-50-stragglers", 0.5, 0.01},
	} {
		for _, p := range placePolicies {
			w := newPlaceWorld(p, set)
			w.stragglerShare = s.straggle
			w.run(s.load, set)
			r.Rows = append(r.Rows, w.row(s.name, p.name, set))
			if p.name == byPlacer.name {
				r.atMost(s.name+"-overload-s", w.overload().Seconds(), maxOverload.Seconds())
			}
		}
	}
}

// quantile returns the q-quantile of values, or zero if there are none. It sorts values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
