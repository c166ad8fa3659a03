package choose

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// runner is the state of one runner.
type runner struct {
	Runner
	number         int
	offset         float64   // position of its slots among the parts of the instances, 0 to 1
	listed         bool      // whether it is in the list given to SetRunners
	ownSlots       int       // number of own slots
	limit          int       // number of own slots that can be used now
	limitSet       bool      // whether limit is set
	growsAt        time.Time // time at which limit grows to ownSlots; zero if it does not
	refusals       int       // consecutive refused calls
	busy           int       // outstanding calls of this instance
	leavingUntil   time.Time // end of the time without calls after it reported that it is leaving
	lastUsed       time.Time // time of the last call
	fullUntil      time.Time // end of the back-off after a refusal
	probeDue       bool      // whether its next call is a probe because it is quarantined
	recheckPending bool      // whether it is in the queue of rechecks
	class          int       // speed class; see index
	position       int       // position in the list of its class, or -1 if it gets no calls now
	countedBusy    int       // outstanding calls that the index counts for its class
}

// newRunner returns the state of a runner without calls so far.
func newRunner(id string, number int) *runner {
	return &runner{
		Runner:   Runner{ID: id},
		number:   number,
		offset:   fraction(xxhash.Sum64String(id)),
		position: -1,
	}
}

// slotsBetween returns the number of the runner's slots in the interval from
// lower to upper. The slots are spread evenly over 0 to 1, starting at the
// offset, so that adjacent intervals divide all slots without overlap and the
// number in each is within one slot of its length.
func (r *runner) slotsBetween(lower, upper float64) int {
	return r.slotsBelow(upper) - r.slotsBelow(lower)
}

// slotsByWeight returns the number of slots in the given part of the runner,
// rounded up or down pseudo-randomly, with the same result for the same runner
// and seed.
func (r *runner) slotsByWeight(weight float64, seed uint64) int {
	x := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(r.ID), seed))
	return int(weight*float64(r.Slots) + fraction(x))
}

// fraction maps a hash to the interval [0, 1).
func fraction(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}

// slotsBelow returns the number of slots below x, where slot j is at
// (j+offset)/Slots.
func (r *runner) slotsBelow(x float64) int {
	return int(math.Ceil(x*float64(r.Slots) - r.offset))
}
