package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gypsumward/core/order"
)

// Bounds of fencing tokens: each life of a runner under one holder, and each time
// that orders to it are made void, takes one.
const tokensPerEpoch = 1 << 16

// Times of orders.
const (
	leaseMargin = 30 * time.Millisecond // below the lease that a runner grants
	firstAnswer = 60 * time.Millisecond // for the answer to an order, at least
	probePause  = 300 * time.Millisecond
	pollPause   = 12 * time.Millisecond  // between holds while ends are not acknowledged
	strayTime   = 600 * time.Millisecond // for a caller to hand in again the job of a run that was found
	driftPart   = 40                     // a runner's clock may be slower by one part of these
)

// runner is what is known of one runner.
type runner struct {
	Listing
	listed  bool
	life    int64 // born
	issued  int64 // tokens used so far
	token   int64
	fenced  bool // it has answered under the token
	synced  bool // it has answered under a token of this holder, so no earlier order is left
	clock   int64
	seen    time.Time // when clock was taken, and the last answer
	asked   time.Time // when the oldest order without answer was given; zero if none is
	until   int64     // highest deadline in any order
	acked   int64
	based   bool // acked is that of the first end listed in this life, or above
	ends    map[int64]bool
	runs    map[runKey]*run
	used    Room
	planned int // members of the gang that is being placed
	strays  int // runs without a task

	poll, look int64 // tickets of open holds, that wait and that do not
	polled     time.Time
	looked     time.Time
	confirmed  time.Time // when the last hold was sent that this life has answered
	ordered    time.Time // when the last start of a stored job was answered
	next       time.Time // of the next probe
	health     health
	speed      speed
}

// fence makes all earlier orders to r void, and asks what runs there.
func (c *Cell) fence(now time.Time, r *runner) {
	r.issued++
	r.token = c.Tenure.Epoch*tokensPerEpoch + r.issued
	r.fenced = false
	r.poll, r.look = 0, 0
	c.probe(now, r, 0)
}

// all returns the runs of r in a fixed order.
func (r *runner) all() []*run {
	list := make([]*run, 0, len(r.runs))
	for _, x := range r.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(strings.Compare(a.key.task.Job, b.key.task.Job), cmp.Compare(a.key.task.Step, b.key.task.Step),
			cmp.Compare(a.key.task.Index, b.key.task.Index), cmp.Compare(a.key.run, b.key.run))
	})
	return list
}

func (r *runner) target() order.Target {
	return order.Target{ID: r.ID, Addr: r.Addr}
}

// free returns the room that is left. None is, while a run of unknown size is there.
func (r *runner) free() Room {
	if r.strays > 0 {
		return Room{}
	}
	return r.Room.less(r.used)
}

// silent reports whether an order has been without answer for long.
func (r *runner) silent(now time.Time, limit time.Duration) bool {
	return !r.asked.IsZero() && now.Sub(r.asked) > limit
}

// estimate returns what the runner's clock shows at now.
func (r *runner) estimate(now time.Time) int64 {
	return r.clock + now.Sub(r.seen).Milliseconds()
}

// lapsed reports whether every lease given has certainly ended.
func (r *runner) lapsed(now time.Time, lease time.Duration) bool {
	passed := now.Sub(r.seen)
	passed -= passed / driftPart
	if r.clock == 0 {
		return passed > 2*lease
	}
	return r.clock+passed.Milliseconds() > r.until
}

// answerTime is how long an order may be without answer.
func (c *Cell) answerTime(r *runner) time.Duration {
	return max(firstAnswer, 4*r.health.answer)
}

// take notes what the clock of a runner showed.
func (r *runner) take(now time.Time, clock int64) {
	if clock > 0 {
		r.clock, r.seen = clock, now
	}
	r.asked = time.Time{}
}

// heard takes the verdict of an order. It returns false if the order was not carried
// out.
func (c *Cell) heard(now time.Time, r *runner, token int64, v order.Verdict) bool {
	switch v {
	case order.Unknown:
		return false
	case order.Invalid:
		return false
	case order.Fenced:
		r.asked = time.Time{}
		if token == r.token {
			c.Depose(now, "runner "+r.ID+" has seen a higher token")
		}
		return false
	case order.Other:
		if token == r.token {
			c.replaced(now, r)
		}
		return false
	case order.Unfit:
		r.asked = time.Time{}
		return false
	default:
		return true
	}
}

// replaced takes the answer of another runner at the address of r: the life of r that
// the directory told of is over, and with it all that ran.
func (c *Cell) replaced(now time.Time, r *runner) {
	if r.asked.IsZero() {
		r.asked = now
	}
	if len(r.runs) == 0 {
		return
	}
	c.log("event", "runner", "runner", r.ID, "state", "replaced", "addr", r.Addr, "runs", len(r.runs))
	for _, x := range r.all() {
		c.release(x)
	}
	c.wake()
}

// reborn takes the first sign of a new life of a runner: all that ran is gone, but
// for what orders on their way may start before a newer token is seen there.
func (c *Cell) reborn(now time.Time, r *runner, h order.Held) {
	c.log("event", "runner", "runner", r.ID, "state", "restarted", "born", h.Born, "runs", len(r.runs))
	r.life = h.Born
	r.clock, r.until, r.acked, r.based = h.Clock, 0, 0, false
	r.seen = now
	r.ends = map[int64]bool{}
	r.confirmed, r.ordered = time.Time{}, time.Time{}
	r.health = health{}
	c.fence(now, r)
}
