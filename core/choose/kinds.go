package choose

// maxKinds bounds the number of distinct kinds, since callers choose the names.
// All further kinds share the last number.
const maxKinds = 256

// kinds assigns numbers to the kinds of requests.
type kinds struct {
	byName map[string]int
}

// number returns the number of a kind and assigns one to a new kind.
func (k *kinds) number(name string) int {
	number, ok := k.byName[name]
	switch {
	case ok:
		return number
	case len(k.byName) >= maxKinds-1:
		return maxKinds - 1
	}
	number = len(k.byName)
	k.byName[name] = number
	return number
}
