package proxy

import "time"

// lostAfter is how long all calls to a holder must have failed until it counts as lost. One
// that was reset does not.
const lostAfter = 150 * time.Millisecond

// reach records whether calls reach the holder of an epoch. The zero value has recorded none.
type reach struct {
	epoch       int64
	failingFrom time.Time // since when calls fail; zero if the last one was answered
}

// record records the result of a call to the holder of an epoch. Those of a former one are
// ignored.
func (r *reach) record(now time.Time, epoch int64, reached bool) {
	switch {
	case epoch < r.epoch:
	case reached:
		*r = reach{epoch: epoch}
	case epoch > r.epoch || r.failingFrom.IsZero():
		*r = reach{epoch: epoch, failingFrom: now}
	}
}

// failingSince returns since when calls to the holder of an epoch fail; zero if the last one
// was answered or none was made.
func (r *reach) failingSince(epoch int64) time.Time {
	if epoch != r.epoch {
		return time.Time{}
	}
	return r.failingFrom
}

// lost reports whether calls to the holder of an epoch have failed for lostAfter.
func (r *reach) lost(now time.Time, epoch int64) bool {
	from := r.failingSince(epoch)
	return !from.IsZero() && now.Sub(from) > lostAfter
}
