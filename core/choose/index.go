package choose

import (
	"math"
	"math/bits"
)

// Speed classes of the index.
const (
	numClasses = 64
	classWidth = 0.1            // width in the logarithm of run times; run times in a class differ by a tenth at most
	unitClass  = numClasses / 2 // class whose lower bound is speed factor one
)

// index holds the runners that can get a call now by speed class, so that the
// fastest is found without examining all of them. Class 0 is the fastest.
type index struct {
	available [numClasses][]*runner // available runners of each class
	mask      uint64                // bit set of the classes with available runners
	busy      [numClasses]int       // outstanding own calls on the runners of each class
}

// classOf returns the class of a speed factor given as its logarithm. Factors
// outside the range of the index belong to the first or last class.
func classOf(factor float64) int {
	return min(max(unitClass+int(math.Floor(factor/classWidth)), 0), numClasses-1)
}

// logFactorOf returns the logarithm of the speed factor in the middle of a class.
func logFactorOf(class int) float64 {
	return (float64(class-unitClass) + 0.5) * classWidth
}

// update moves a runner to the class, updates the call count of the class, and
// adds the runner to the available runners or removes it from them.
func (x *index) update(r *runner, class int, usable bool) {
	if r.class != class || r.countedBusy != r.busy {
		x.busy[r.class] -= r.countedBusy
		x.busy[class] += r.busy
		r.countedBusy = r.busy
	}
	if r.position >= 0 && (!usable || r.class != class) {
		x.removeAvailable(r)
	}
	r.class = class
	if usable && r.position < 0 {
		r.position = len(x.available[class])
		x.available[class] = append(x.available[class], r)
		x.mask |= 1 << class
	}
}

// removeAvailable removes a runner from the available runners of its class.
func (x *index) removeAvailable(r *runner) {
	list := x.available[r.class]
	last := len(list) - 1
	list[r.position] = list[last]
	list[r.position].position = r.position
	list[last] = nil
	x.available[r.class] = list[:last]
	if last == 0 {
		x.mask &^= 1 << r.class
	}
	r.position = -1
}

// remove deletes a runner and its calls from the index.
func (x *index) remove(r *runner) {
	x.busy[r.class] -= r.countedBusy
	r.countedBusy = 0
	if r.position >= 0 {
		x.removeAvailable(r)
	}
}

// nextClass returns the first class at or after the given one that has an
// available runner, or numClasses if there is none.
func (x *index) nextClass(class int) int {
	if class >= numClasses {
		return numClasses
	}
	return class + min(bits.TrailingZeros64(x.mask>>class), numClasses-class)
}
