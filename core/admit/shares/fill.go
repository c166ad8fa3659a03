package shares

// demand is the demand of one team over the data centre, with a rate in target
// seconds per second.
type demand struct {
	weight float64
	rate   float64
}

// maxMinFair divides a capacity among demands by weighted max-min fairness: no
// demand gets more than its rate, and capacity that some do not use is divided among
// the others by weight. It returns the capacity allocated to each demand and the
// remaining capacity.
func maxMinFair(demands []demand, capacity float64) (allocated []float64, remaining float64) {
	allocated = make([]float64, len(demands))
	satisfied := make([]bool, len(demands))
	remaining = capacity
	for {
		totalWeight := 0.0
		for i, c := range demands {
			if !satisfied[i] {
				totalWeight += c.weight
			}
		}
		if totalWeight <= 0 || remaining <= 0 {
			return allocated, max(remaining, 0)
		}
		level := remaining / totalWeight
		progress := false
		for i, c := range demands {
			if !satisfied[i] && c.rate <= level*c.weight {
				satisfied[i], progress = true, true
				allocated[i] = c.rate
				remaining -= c.rate
			}
		}
		if progress {
			continue
		}
		for i, c := range demands {
			if !satisfied[i] {
				allocated[i] = level * c.weight
			}
		}
		return allocated, 0
	}
}
