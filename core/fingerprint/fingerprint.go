// Package fingerprint tells whether two sets of names are the same without comparing them.
package fingerprint

import (
	"hash/fnv"
	"iter"
)

// Set is the fingerprint of a set of names. Equal sets have equal fingerprints, and different
// ones hardly ever. The zero value is that of no set.
type Set uint64

// Of returns the fingerprint of the names, each of which must occur once, in any order.
func Of(names iter.Seq[string]) Set {
	const empty = 1 // so that the fingerprint of no names differs from that of no set
	sum := uint64(empty)
	for name := range names {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd // spreads each bit, since the sums of FNV-1a values of similar names may agree
		x ^= x >> 33
		sum += x
	}
	return Set(sum)
}
