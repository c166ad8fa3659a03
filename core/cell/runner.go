package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gypsumward/core/order"
)

// tokensPerEpoch is the number of fencing tokens that an epoch has for each runner. Each
// incarnation of the runner, and each fencing of earlier orders, uses one.
const tokensPerEpoch = 1 << 16

// Timing of orders.
const (
	leaseMargin       = 30 * time.Millisecond // amount by which deadlines stay below the longest lease
	minAnswerTimeout  = 25 * time.Millisecond // least time allowed for the reply to an order
	probeInterval     = 300 * time.Millisecond
	pollInterval      = 12 * time.Millisecond  // between holds while some ends are not acknowledged
	orphanTimeout     = 200 * time.Millisecond // time for an instance to resubmit the job of an orphaned run
	orphanStopMargin  = 200 * time.Millisecond // for the stop of an orphaned run, beside the time that the runner takes
	clockDriftDivisor = 40                     // a runner's clock may be slow by 1/clockDriftDivisor
)

// runner is the state of one runner. Times of type int64 are in milliseconds of the
// runner's clock.
type runner struct {
	RunnerInfo
	inDirectory     bool
	unlistedAt      time.Time // when the directory was first read without it; zero if it is in the directory
	evacuated       bool      // its data centre is evacuated
	coldRead        bool      // an entry of the directory has said whether it is cold
	coldUntil       time.Time // until when it is cold
	handedOver      bool      // the previous holder may have runs on it
	memberSince     int       // number of the first set of runners that it is in; zero if it is not in the last
	incarnation     int64     // start time of the runner; zero if not known
	tokensIssued    int64     // number of tokens used so far
	token           int64
	fenced          bool           // it has answered under the current token
	displaced       bool           // another runner has answered at its address, and it has not since
	restarted       bool           // it has restarted, and the new incarnation has not answered under a token of its own
	synced          bool           // it has listed all runs and ends under a token of this holder, so orders of previous holders are void
	endsTruncated   bool           // its last reply may lack ends
	clock           int64          // latest reading; zero if not known
	clockAt         time.Time      // when clock was read, with the latest reply
	unansweredSince time.Time      // when the oldest unanswered order was sent; zero if all are answered
	maxDeadline     int64          // highest deadline in any order to it
	acked           int64          // number up to which the effects of all ends are stored
	ackBaseKnown    bool           // acked covers the ends before the first one reported in this incarnation
	startsInFlight  int            // start orders of its runs without a reply
	unackedEnds     map[int64]bool // by number above acked; true once the effects are stored
	runs            map[runKey]*run
	ended           endedRuns
	used            Resources // resources of the runs
	plannedMembers  int       // number of members of the gang that is being placed here
	orphans         int       // number of runs whose resources are not known
	unclaimed       bool      // it had runs of unknown jobs when it last replied before the rows were loaded
	firstHold       time.Time // when the first hold was sent
	lapsedFor       time.Time // value of Cell.storedUntil after which no lease covered a stored job or an end of one

	pollTicket, probeTicket int64 // tickets of the holds in flight, with and without long poll; zero if none
	pollSent                time.Time
	probeSent               time.Time
	confirmedHold           time.Time // when the latest hold was sent that this incarnation has answered
	lastStoredStart         time.Time // when the latest start order for a stored job was answered
	nextProbe               time.Time // earliest time of the next retried hold
	missedProbes            int       // retried holds since the last reply
	health                  health
	speed                   speed
	presence                *presence // kinds of the runs; nil if that is not recorded
}

// fence issues a new token, which makes all earlier orders to r void, and sends a hold to
// learn what runs there.
func (c *Cell) fence(now time.Time, r *runner) {
	r.tokensIssued++
	r.token = c.Term.Epoch*tokensPerEpoch + r.tokensIssued
	r.fenced = false
	r.pollTicket, r.probeTicket = 0, 0
	c.sendHold(now, r, 0)
}

// sortedRuns returns the runs of r ordered by task and number.
func (r *runner) sortedRuns() []*run {
	list := make([]*run, 0, len(r.runs))
	for _, x := range r.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(strings.Compare(a.key.task.Job, b.key.task.Job), cmp.Compare(a.key.task.Occurrence, b.key.task.Occurrence), cmp.Compare(a.key.task.Step, b.key.task.Step),
			cmp.Compare(a.key.task.Index, b.key.task.Index), cmp.Compare(a.key.run, b.key.run))
	})
	return list
}

func (r *runner) target() order.Target {
	return order.Target{ID: r.ID, Addr: r.Addr}
}

// free returns the unused resources of r. They are zero while the resources of one of
// its runs are not known.
func (r *runner) free() Resources {
	if r.orphans > 0 {
		return Resources{}
	}
	return r.Capacity.sub(r.used)
}

// unlistedGrace is how long a runner that is missing from the directory may be used. Entries
// that the store has removed although the runner is alive are back within that time.
const unlistedGrace = 2 * time.Second

// isListed reports whether r is in the directory or, as far as that can be told, will soon be
// there again.
func (r *runner) isListed(now time.Time) bool {
	return r.inDirectory || (r.inGrace(now) && r.unansweredSince.IsZero())
}

// inGrace reports whether r may be used, once it answers, although it is missing from the
// directory.
func (r *runner) inGrace(now time.Time) bool {
	return !r.inDirectory && !r.Draining && now.Sub(r.unlistedAt) < unlistedGrace
}

// capacityKnown reports whether the entry in the directory is not one of an earlier incarnation, which
// may have been larger.
func (r *runner) capacityKnown() bool {
	return r.Incarnation == 0 || r.Incarnation >= r.incarnation
}

// isSilent reports whether an order has been without a reply for longer than limit.
func (r *runner) isSilent(now time.Time, limit time.Duration) bool {
	return !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) > limit
}

// estimateClock returns the estimated reading of the runner's clock at now, in
// milliseconds.
func (r *runner) estimateClock(now time.Time) int64 {
	return r.clock + now.Sub(r.clockAt).Milliseconds()
}

// leaseLeft returns the time from now to a deadline on the clock of r, by the last reading of it.
func (r *runner) leaseLeft(now time.Time, deadline int64) time.Duration {
	return time.Duration(deadline-r.estimateClock(now)) * time.Millisecond
}

// leasesLapsed reports whether every lease granted to r has certainly expired, given the
// longest lease and the drift of the runner's clock.
func (r *runner) leasesLapsed(now time.Time, lease time.Duration) bool {
	passed := now.Sub(r.clockAt)
	passed -= passed / clockDriftDivisor
	if r.clock == 0 {
		return passed > 2*lease
	}
	return r.clock+passed.Milliseconds() > r.maxDeadline
}

// answerTimeout returns how long r may take to reply to an order.
func (c *Cell) answerTimeout(r *runner) time.Duration {
	return max(minAnswerTimeout, 4*r.health.meanLatency)
}

// recordAnswer records the reply at now to an order under a token, with a reading of the runner's clock. A
// clock of zero is not known. A late reply to an order under an earlier token does not answer the orders
// that were sent since.
func (r *runner) recordAnswer(now time.Time, token, clock int64) {
	if clock > 0 {
		r.clock, r.clockAt = clock, now
	}
	if token == r.token {
		r.unansweredSince, r.missedProbes, r.displaced = time.Time{}, 0, false
	}
}

// checkVerdict processes the verdict of a reply to an order given under token. It
// returns false if the runner rejected the order or may not have received it.
func (c *Cell) checkVerdict(now time.Time, r *runner, token int64, v order.Verdict) bool {
	switch v {
	case order.Unknown:
		return false
	case order.Invalid:
		return false
	case order.Fenced:
		r.unansweredSince = time.Time{}
		if token == r.token {
			c.Depose(now, "runner "+r.ID+" has seen a higher token")
		}
		return false
	case order.WrongIncarnation:
		if token == r.token {
			c.handleReplaced(now, r)
		}
		return false
	case order.Unhealthy:
		return false
	default:
		return true
	}
}

// handleReplaced processes a reply of another runner at the address of r. The incarnation
// of r in the directory has ended, and all its runs with it.
func (c *Cell) handleReplaced(now time.Time, r *runner) {
	r.displaced = true
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	if len(r.runs) == 0 {
		return
	}
	c.log("event", "runner", "runner", r.ID, "state", "replaced", "addr", r.Addr, "runs", len(r.runs))
	for _, x := range r.sortedRuns() {
		c.release(x)
	}
	c.schedulePass()
}

// handleRestart processes the first reply of a new incarnation of r. The runs of the
// previous one have ended, but orders in flight may still start runs until the runner
// has seen the newer token.
func (c *Cell) handleRestart(now time.Time, r *runner, h order.HoldReply) {
	c.log("event", "runner", "runner", r.ID, "state", "restarted", "born", h.Incarnation, "runs", len(r.runs))
	r.incarnation = h.Incarnation
	r.clock, r.maxDeadline, r.acked, r.ackBaseKnown = h.Clock, 0, 0, false
	r.clockAt = now
	r.unackedEnds, r.ended, r.endsTruncated = map[int64]bool{}, endedRuns{}, false
	r.confirmedHold, r.lastStoredStart = time.Time{}, time.Time{}
	r.restarted = true
	r.health = health{}
	c.fence(now, r)
}
