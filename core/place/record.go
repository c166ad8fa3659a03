package place

import "gypsumward/core/demand"

// record holds the workers that ran a kind and those on which its last task
// failed. Each worker counts once, however fast it fails.
type record struct {
	seenOn, failedOn bitSet
	known            int // number of workers in seenOn
	failing          int // number of workers in failedOn
}

// Number of successes and outcomes assumed before any are observed.
const (
	priorSuccesses = 2
	priorOutcomes  = 3
)

// observe records the outcome of a task on a worker.
func (r *record) observe(slot int, failed bool) {
	if r.seenOn.set(slot, true) {
		r.known++
	}
	if !r.failedOn.set(slot, failed) {
		return
	}
	if failed {
		r.failing++
	} else {
		r.failing--
	}
}

// clear removes a worker from the record.
func (r *record) clear(slot int) {
	if r.failedOn.set(slot, false) {
		r.failing--
	}
	if r.seenOn.set(slot, false) {
		r.known--
	}
}

// failureWeight returns the weight, from 0 to 1, with which a failure is
// attributed to the worker rather than to the kind. It is zero if the kind
// fails on half of the other workers.
func (r *record) failureWeight(slot int) float64 {
	known, failing := r.known, r.failing
	if r.seenOn.has(slot) {
		known--
	}
	if r.failedOn.has(slot) {
		failing--
	}
	success := float64(known-failing+priorSuccesses) / float64(known+priorOutcomes)
	return max(2*success-1, 0)
}

const wordBits = 64

// bitSet is a set of small non-negative integers.
type bitSet []uint64

// has reports whether n is in the set.
func (b bitSet) has(n int) bool {
	return n/wordBits < len(b) && b[n/wordBits]&(1<<(n%wordBits)) != 0
}

// set adds n to the set or removes it, and reports whether that changed the set.
func (b *bitSet) set(n int, in bool) bool {
	if b.has(n) == in {
		return false
	}
	for n/wordBits >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[n/wordBits] ^= 1 << (n % wordBits)
	return true
}

// records holds the record of each kind and assigns the numbers, called slots, by
// which the records identify workers.
type records struct {
	kinds map[*demand.Kind]*record
	slots int   // number of slots assigned so far
	free  []int // slots that can be assigned again
}

// of returns the record of a kind and creates it if there is none.
func (r *records) of(k *demand.Kind) *record {
	rec := r.kinds[k]
	if rec == nil {
		rec = &record{}
		r.kinds[k] = rec
	}
	return rec
}

// newSlot returns an unused slot for a new worker.
func (r *records) newSlot() int {
	if n := len(r.free); n > 0 {
		s := r.free[n-1]
		r.free = r.free[:n-1]
		return s
	}
	r.slots++
	return r.slots - 1
}

// release removes a worker from all records, so that its slot can be used again.
func (r *records) release(slot int) {
	for _, rec := range r.kinds {
		rec.clear(slot)
	}
	r.free = append(r.free, slot)
}

// prune deletes the records of kinds that the demand estimator has dropped.
func (r *records) prune() {
	for k := range r.kinds {
		if k.Dropped() {
			delete(r.kinds, k)
		}
	}
}
