package fair

import (
	"math/bits"

	"gypsumward/core/api"
)

// levels is the number of urgency levels.
const levels = api.MaxUrgency + 1

// maxCredit bounds the service owed to less urgent work, in target seconds.
const maxCredit = 60.0

// level holds the items of one team and urgency, oldest first.
type level struct {
	chain
	cost float64
}

// team is the state of one team in the queue.
type team struct {
	name   string
	number int
	weight float64
	floor  float64

	pass           float64 // virtual time of the team: target seconds served over weight
	levels         [levels]level
	nonEmpty       uint16  // bit set of the levels that have items
	credit         float64 // service owed to less urgent work, in target seconds
	lastLowerLevel int     // level below the most urgent one that was served last
	count          int
	bytes          int

	keys      [heaps]float64
	positions [heaps]int // position in each heap plus one; zero if not in the heap
}

// topLevel returns the most urgent level that has items. There must be one.
func (t *team) topLevel() int {
	return bits.Len16(t.nonEmpty) - 1
}

// lowerLevels returns the bit set of the levels that have items, without the most
// urgent one.
func (t *team) lowerLevels() uint16 {
	return t.nonEmpty &^ (1 << t.topLevel())
}

// nextLowerLevel returns the next of the lower levels in round-robin order, from
// more to less urgent. There must be one.
func (t *team) nextLowerLevel() int {
	lower := t.lowerLevels()
	if below := lower & (1<<t.lastLowerLevel - 1); below != 0 {
		return bits.Len16(below) - 1
	}
	return bits.Len16(lower) - 1
}

// recordService updates the credit of less urgent work for an item that is served,
// which must still be in its level.
func (t *team) recordService(urgency int, cost float64) {
	if t.lowerLevels() == 0 {
		t.credit = 0
		return
	}
	t.credit = min(t.credit+t.floor*cost, maxCredit)
	if urgency < t.topLevel() {
		t.credit = max(t.credit-cost, 0)
		t.lastLowerLevel = urgency
	}
}

// costAtOrAbove returns the cost of the items that are at least as urgent as the
// given urgency, in target seconds.
func (t *team) costAtOrAbove(urgency int) float64 {
	sum := 0.0
	for u := urgency; u < levels; u++ {
		sum += t.levels[u].cost
	}
	return sum
}

// evictionLevel returns the level from which an item is to be evicted. This is the
// least urgent level, unless the less urgent items make up no more than the floor of
// the team's items, in which case it is the most urgent level. A new item of the
// given urgency is included; noUrgency means that there is no new item.
func (t *team) evictionLevel(urgency int) int {
	nonEmpty, count := t.nonEmpty, t.count
	if urgency != noUrgency {
		nonEmpty |= 1 << urgency
		count++
	}
	highest := bits.Len16(nonEmpty) - 1
	topCount := t.levels[highest].size
	if urgency == highest {
		topCount++
	}
	if float64(count-topCount) > t.floor*float64(count) {
		return bits.TrailingZeros16(nonEmpty)
	}
	return highest
}

// noUrgency stands for the urgency of a missing item.
const noUrgency = -1
