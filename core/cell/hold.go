package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
)

// orderDeadline returns the lease deadline of an order sent at now, in milliseconds of
// the runner's clock. It is zero if the lease must not be extended: the clock is not
// known, the runner is silent, another instance may have become the holder, which relies
// on all leases to expire, or on those of runners with stored jobs, or a run there must end.
func (c *Cell) orderDeadline(now time.Time, r *runner) int64 {
	if r.clock == 0 || r.isSilent(now, c.Settings.SilenceTimeout) || !now.Before(c.leaseUntil) {
		return 0
	}
	if !c.mayExtend(now, r) {
		return 0
	}
	lease := c.Settings.Lease - leaseMargin
	if end := c.earliestEnd(r); !end.IsZero() {
		lease = min(lease, end.Add(-c.Settings.StopGrace).Sub(now))
	}
	if lease <= 0 {
		return 0
	}
	return r.estimateClock(now) + lease.Milliseconds()
}

// mayExtend reports whether the lease of r may be extended as far as stored jobs are concerned. Once
// another instance may start what runs of them, their runs have to lapse, and so must the lease after
// ends that are not in rows: the other instance starts their tasks again, and the end of one that was
// done is void only if the lease has lapsed since.
func (c *Cell) mayExtend(now time.Time, r *runner) bool {
	if now.Before(c.storedUntil) || r.lapsedFor.Equal(c.storedUntil) {
		return true
	}
	if !c.loaded || ((r.hasStoredRun() || r.hasUnstoredEnd()) && !r.leasesLapsed(now, c.Settings.Lease)) {
		return false
	}
	r.lapsedFor = c.storedUntil
	return true
}

// hasStoredRun reports whether r has a run of a stored job, or one of which that is not known.
func (r *runner) hasStoredRun() bool {
	for _, x := range r.runs {
		if x.task == nil || !x.task.job.Transient {
			return true
		}
	}
	return false
}

// hasUnstoredEnd reports whether r has reported an end that may have effects which are not stored.
func (r *runner) hasUnstoredEnd() bool {
	for _, stored := range r.unackedEnds {
		if !stored {
			return true
		}
	}
	return r.endsTruncated
}

// earliestEnd returns the earliest time by which a run on r must have ended, zero if none must. The
// lease of r, which applies to all runs there, must not outlast it: the stop order may be lost.
func (c *Cell) earliestEnd(r *runner) time.Time {
	end := time.Time{}
	if !c.loaded && r.unclaimed {
		end = c.resubmissionTime(r)
	}
	for _, x := range r.runs {
		if !x.endBy.IsZero() && (end.IsZero() || x.endBy.Before(end)) {
			end = x.endBy
		}
	}
	return end
}

// resubmissionTime returns the earliest time at which a caller may submit the job of a run again,
// possibly to another cell, that the previous holder has left on r. The caller was lost with that
// holder, which was alive at Term.PreviousAlive, and not longer than a lease before r was first
// asked, since the run would have lapsed.
func (c *Cell) resubmissionTime(r *runner) time.Time {
	lost := r.firstHold.Add(-c.Settings.longestLease())
	if c.Term.PreviousAlive.After(lost) {
		lost = c.Term.PreviousAlive
	}
	return lost.Add(c.Settings.ResubmitAfter)
}

// orphanDeadline returns when the orphaned run x is stopped unless its job is submitted again: in
// time to end before that happens in another cell.
func (c *Cell) orphanDeadline(x *run) time.Time {
	deadline := c.resubmissionTime(x.runner).Add(-c.Settings.StopGrace - orphanStopMargin)
	if limit := x.startSent.Add(orphanTimeout); limit.Before(deadline) {
		return limit
	}
	return deadline
}

// sendHold sends a hold, which acknowledges ends and asks for the runs and ends of r. It
// also renews the lease if r may have runs. If wait is positive it is a long poll: the
// runner replies at the first end or after wait.
func (c *Cell) sendHold(now time.Time, r *runner, wait time.Duration) {
	c.lastTicket++
	if r.firstHold.IsZero() {
		r.firstHold = now
	}
	h := order.Hold{Token: r.token, AckedThrough: r.ackable(), Wait: wait}
	if len(r.runs) > 0 || wait > 0 || !c.loaded {
		h.Deadline = c.orderDeadline(now, r)
		r.maxDeadline = max(r.maxDeadline, h.Deadline)
	}
	if wait > 0 {
		r.pollTicket, r.pollSent = c.lastTicket, now
	} else {
		r.probeTicket, r.probeSent = c.lastTicket, now
		if r.unansweredSince.IsZero() {
			r.unansweredSince = now
		}
	}
	c.Metrics.Count("holds", 1)
	c.Orders.Hold(r.target(), h, c.lastTicket)
}

// ackable returns the number up to which ends may be acknowledged now. A runner that has
// restarted under the same id numbers its ends anew, and an acknowledgement meant for the
// previous incarnation would make it forget ends that the cell has not received. So it is
// zero while a run of a stored job may have been started by another incarnation: after the latest
// hold that this one has answered, unless the answer to the order shows that it is the same.
func (r *runner) ackable() int64 {
	for _, x := range r.runs {
		if x.task == nil || x.task.job.Transient || x.confirmed {
			continue
		}
		if x.startAnswered.IsZero() || x.startAnswered.After(r.confirmedHold) {
			return 0
		}
	}
	if r.lastStoredStart.After(r.confirmedHold) {
		return 0
	}
	return r.acked
}

// maintain does the work that is due at a runner: it renews leases, retries orders, polls
// for ends and releases runs whose leases have expired.
func (c *Cell) maintain(r *runner, now time.Time) {
	if r.token == 0 || (!r.isListed(now) && len(r.runs) == 0 && (!r.handedOver || r.synced)) {
		return
	}
	c.retryHold(now, r)
	if !r.fenced {
		if !c.loaded && r.probeTicket == 0 && now.Sub(r.probeSent) > c.Settings.Lease/4 {
			c.sendHold(now, r, 0)
		}
		c.releaseLapsed(now, r)
		return
	}
	if c.renewalDue(now, r) {
		c.sendHold(now, r, 0)
	}
	if r.pollTicket == 0 && r.unansweredSince.IsZero() && !c.draining && c.canPoll(now, r) {
		wait := c.Settings.IdlePollWait
		if len(r.runs) > 0 {
			wait = c.Settings.BusyPollWait
		}
		c.sendHold(now, r, wait)
	}
	c.lookAtRuns(now, r)
	c.checkRuns(now, r)
	c.releaseLapsed(now, r)
}

// renewalDue reports whether the lease of r is to be renewed now.
func (c *Cell) renewalDue(now time.Time, r *runner) bool {
	return r.probeTicket == 0 && len(r.runs) > 0 && now.Sub(r.probeSent) > minRenewalInterval &&
		time.Duration(r.maxDeadline-r.estimateClock(now))*time.Millisecond < c.Settings.Lease*9/20
}

// minRenewalInterval is the least time between two renewals of a lease that cannot be extended by
// as much as usual.
const minRenewalInterval = 40 * time.Millisecond

// retryHold sends another hold to a runner that has not answered an order in time, or
// whose last hold failed. The time between them doubles up to probeInterval.
func (c *Cell) retryHold(now time.Time, r *runner) {
	unanswered := r.probeTicket != 0 && now.Sub(r.probeSent) > c.answerTimeout(r)
	failed := r.probeTicket == 0 && (!r.unansweredSince.IsZero() || !r.fenced)
	if (unanswered || failed) && now.After(r.nextProbe) {
		r.nextProbe = now.Add(min(c.answerTimeout(r)<<r.missedProbes, probeInterval))
		r.missedProbes = min(r.missedProbes+1, maxProbeShift)
		c.sendHold(now, r, 0)
	}
}

// maxProbeShift bounds the number of times that the time between probes doubles.
const maxProbeShift = 10

// canPoll reports whether a long poll may be sent. While some ends are not acknowledged
// a runner replies at once, so polls are then pollInterval apart.
func (c *Cell) canPoll(now time.Time, r *runner) bool {
	return len(r.unackedEnds) == 0 || now.Sub(r.pollSent) >= pollInterval
}

// HoldAnswered processes the reply h to the hold given, sent to the runner id with a
// ticket.
func (c *Cell) HoldAnswered(now time.Time, id string, given order.Hold, ticket int64, h order.HoldReply) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	sent := time.Time{}
	if r.pollTicket == ticket {
		r.pollTicket, sent = 0, r.pollSent
	}
	isProbe := r.probeTicket == ticket
	if isProbe {
		r.probeTicket, sent = 0, r.probeSent
	}
	if !c.checkVerdict(now, r, given.Token, h.Verdict) {
		c.recordMissedHold(r, sent)
		c.retryHold(now, r)
		return
	}
	if isProbe {
		r.health.observeLatency(now.Sub(r.probeSent))
	}
	if h.Incarnation < r.incarnation {
		return
	}
	if h.Incarnation > r.incarnation && r.incarnation != 0 {
		c.handleRestart(now, r, h)
		return
	}
	r.incarnation = h.Incarnation
	if sent.After(r.confirmedHold) {
		r.confirmedHold = sent
	}
	if h.Clock < r.clock && given.Token == r.token && r.fenced {
		return // overtaken by a later reply
	}
	r.recordAnswer(now, given.Token, h.Clock)
	if given.Token != r.token {
		return
	}
	if !c.loaded {
		r.unclaimed = slices.ContainsFunc(h.Running, func(a order.ActiveRun) bool { return c.jobs[a.Task.Job] == nil })
		if given.Deadline == 0 && c.orderDeadline(now, r) != 0 {
			c.sendHold(now, r, 0) // keeps the runs there alive until the rows show what they are
		}
		return
	}
	c.processLists(now, r, h, isProbe, sent)
}

// processLists processes the lists of r in the reply to a hold sent at a time under the
// current token.
func (c *Cell) processLists(now time.Time, r *runner, h order.HoldReply, isProbe bool, sent time.Time) {
	if c.processEnds(now, r, h.Ends) && isProbe {
		r.pollTicket = 0 // the reply to the poll in flight, which these ends caused, was lost
	}
	r.endsTruncated = h.EndsTruncated
	if !r.fenced {
		c.syncRuns(now, r, h)
	} else {
		c.recordProgress(now, r, h.Running)
	}
	if !h.EndsTruncated {
		r.synced = true
		c.releaseMissing(now, r, h.Running, sent)
	}
	c.moveSlowRuns(now, r)
	c.maintain(r, now)
	c.schedulePass()
}

// recordMissedHold records that the hold sent at the time sent was not answered. A zero
// time means none.
func (c *Cell) recordMissedHold(r *runner, sent time.Time) {
	if sent.IsZero() || !r.unansweredSince.IsZero() || sent.Before(r.clockAt) {
		return
	}
	r.unansweredSince = sent
}

// syncRuns replaces the known runs of r by the reported ones, after all orders under
// earlier tokens have become void. If the ends in the reply h are truncated, the others are
// kept: they may have ended.
func (c *Cell) syncRuns(now time.Time, r *runner, h order.HoldReply) {
	r.fenced, r.restarted = true, false
	reported := map[runKey]bool{}
	for _, a := range h.Running {
		reported[runKey{a.Task, a.Run}] = true
	}
	for _, x := range r.sortedRuns() {
		if key := x.key; !reported[key] && !h.EndsTruncated {
			c.log("event", "vanished", "runner", r.ID, "job", key.task.Job, "task", key.task.Index, "run", key.run,
				"answered", !x.startAnswered.IsZero())
			c.release(x)
		}
	}
	c.recordProgress(now, r, h.Running)
	for _, x := range r.sortedRuns() {
		x.token = r.token
		if x.startAnswered.IsZero() {
			x.startAnswered = now
		}
		if !x.stopSent.IsZero() {
			x.stopSent = time.Time{}
			c.stop(now, x, "again")
		}
	}
}

// recordProgress records the progress and the checkpoints of the reported runs, and adopts
// runs that the cell does not know.
func (c *Cell) recordProgress(now time.Time, r *runner, active []order.ActiveRun) {
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		x := r.runs[key]
		if x == nil && r.ended.contains(key) {
			continue
		}
		if x == nil {
			x = c.adopt(now, r, key)
		}
		if a.Percent != x.percent {
			x.percentChanged = now
		}
		x.percentAt, x.percent = now, a.Percent
		if x.task != nil {
			x.task.saveCheckpoint(a.Run, a.Checkpoint)
		}
	}
}

// releaseMissing releases the runs that a reply with all ends lacks although its hold was sent
// after they were known to run. Their ends have been acknowledged, or the reply that showed them
// was overtaken by the one with their end.
func (c *Cell) releaseMissing(now time.Time, r *runner, active []order.ActiveRun, sent time.Time) {
	for _, x := range r.sortedRuns() {
		if x.startAnswered.IsZero() || !x.startAnswered.Before(sent) {
			continue
		}
		if slices.ContainsFunc(active, func(a order.ActiveRun) bool { return x.key == runKey{a.Task, a.Run} }) {
			continue
		}
		c.log("event", "vanished", "runner", r.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run,
			"after", now.Sub(x.startAnswered))
		c.release(x)
	}
}
