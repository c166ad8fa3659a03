package choose

import "math"

// Weights of size and demand in Bounds.
const (
	sizeFraction    = 0.25 // part of the runners that is divided by size if demand is not proportional to size
	demandTolerance = 0.15 // relative deviation of demand from proportionality to size that is ignored
)

// InstanceDemand holds the size and demand by which an instance gets its part of the
// runners.
type InstanceDemand struct {
	Instance string
	Weight   float64 // size of the instance, such as its number of cores; zero or less counts as one
	Demand   float64 // demand of the instance in seconds of run time per second, as measured by Demand
}

// Bounds returns the bounds of the part of the runners that belongs to the
// instance, for Chooser.SetBounds. If the demands of all instances are nearly
// proportional to their sizes, the runners are divided by size; otherwise a
// quarter is divided by size and the rest by demand. All instances have to pass
// the list in the same order. Bounds returns an empty part for an instance that
// is not in the list.
func Bounds(instances []InstanceDemand, instance string) (lower, upper float64) {
	var size, demand float64
	for _, d := range instances {
		size += d.size()
		demand += max(d.Demand, 0)
	}
	bySize := 1.0
	for _, d := range instances {
		if math.Abs(d.Demand*size-d.size()*demand) > demandTolerance*d.size()*demand {
			bySize = sizeFraction
		}
	}
	for _, d := range instances {
		part := bySize * d.size() / size
		if bySize < 1 {
			part += (1 - bySize) * max(d.Demand, 0) / demand
		}
		if d.Instance == instance {
			return lower, min(lower+part, 1)
		}
		lower += part
	}
	return 0, 0
}

// size returns the size of the instance, which is never zero.
func (d InstanceDemand) size() float64 {
	if d.Weight <= 0 {
		return 1
	}
	return d.Weight
}
