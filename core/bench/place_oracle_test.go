//go:build bench

package bench_test

import (
	"time"

	"gypsumward/core/place"
)

// placeOracle is a placePicker that knows the actual usage of all workers and the actual
// requirements of tasks. It places each task on the least used worker on which it fits.
type placeOracle struct {
	randomPlacer
	workers []*fakeWorker
	kinds   map[string]*placeKind
}

func (o *placeOracle) Pick(_ time.Time, d place.Task) (string, place.Result) {
	need := o.kinds[d.Kind].cores
	var best *fakeWorker
	for _, w := range o.workers {
		if w.inFlightCores+w.used.Cores+need > w.Cores {
			continue
		}
		if best == nil || w.inFlightCores+w.used.Cores < best.inFlightCores+best.used.Cores {
			best = w
		}
	}
	if best == nil {
		return "", place.NoCapacity
	}
	best.inFlightCores += need
	return best.ID, place.Placed
}

// setWorld gives the oracle access to the workers and kinds of w.
func (o *placeOracle) setWorld(w *placeWorld) {
	o.workers = w.workers
	o.kinds = map[string]*placeKind{}
	for _, k := range w.kinds {
		o.kinds[k.name] = k
	}
}
