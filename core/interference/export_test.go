package interference

// Size returns the number of kinds of m, and that of their baselines.
func Size(m *Model) [2]int {
	n := [2]int{len(m.kinds), 0}
	for _, k := range m.kinds {
		n[1] += len(k.runners)
	}
	return n
}
