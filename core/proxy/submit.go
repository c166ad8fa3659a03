package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/hangup"
	"gypsumward/core/monotonic"
	"gypsumward/core/work"
)

// Bounds of the time for which a holder is sought, as a part of the time that a job has.
const (
	searchDivisor = 4
	minSearchTime = 20 * time.Millisecond
	maxSearchTime = 400 * time.Millisecond
)

// searchTime returns how long after its arrival a job that no holder can have is refused.
func searchTime(j *work.Job) time.Duration {
	chain := j.CriticalPath(func(step int) float64 { return float64(j.Steps[step].Estimate) })
	objective := (j.Queue.Stretch*chain + float64(j.Queue.TargetLatency)) * float64(time.Millisecond)
	return time.Duration(min(max(objective/searchDivisor, float64(minSearchTime)), float64(maxSearchTime)))
}

// Submit submits a job that arrived at the given time and returns the outcome, a refusal if
// roomOnly is true and not all of its first tasks can start at once. It tries one holder
// after the other until one returns a final outcome, ctx ends, or the connection that ctx carries
// is closed (see package hangup). If it gives up while a holder may have the job, it notifies the
// holder that the caller no longer waits.
func (p *Proxy) Submit(ctx context.Context, j work.Job, arrived time.Time, roomOnly bool) cell.Outcome {
	submission := cell.Submission{Job: j}
	caller := p.Self.Incarnation + "/" + strconv.FormatInt(p.submissions.Add(1), 10)
	limit := arrived.Add(searchTime(&j))
	deadline := monotonic.DeadlineOf(ctx, p.Clock.Now())
	var err error
	opened := "" // why a holder may have the job without having said so
	var lost lostHolders
	for attempt := 1; ; attempt++ {
		now := p.Clock.Now()
		if ctx.Err() != nil || hangup.Closed(ctx) || deadline.Passed(now) { // also after a pause of the process
			break
		}
		var o cell.Outcome
		var maybeHandled bool
		submission.AgeMS = now.Sub(arrived).Milliseconds()
		submission.RoomOnly = roomOnly && !submission.Resubmitted
		submission.Caller = caller + cell.AttemptSeparator + strconv.Itoa(attempt)
		_, version, _ := p.Elector.Holder()
		o, maybeHandled, err = p.submitOnce(ctx, submission)
		if err == nil && isFinal(o, submission.Resubmitted) {
			o = p.verifyRefusal(ctx, j, o)
			_ = p.Log.Log("event", "submitted", "job", j.ID, "queue", j.Queue.Name, "caller", submission.Caller, "again", submission.Resubmitted, "opened", opened,
				"verdict", o.Verdict, "state", string(o.State), "reason", o.Reason, "took", p.Clock.Now().Sub(arrived), "gone", ctx.Err() != nil)
			return o
		}
		if maybeHandled && !errors.Is(err, context.Canceled) && lost.add(version) >= maxLostHolders {
			submission.Resubmitted = true
			break
		}
		if !submission.Resubmitted && (maybeHandled || (err == nil && o.Verdict == cell.OutcomeUnknown)) {
			submission.Resubmitted, opened = true, openedBy(attempt, o, err)
		}
		p.Elector.Refresh()
		if !submission.Resubmitted && p.Clock.Now().After(limit) {
			break
		}
		p.awaitRetry(ctx)
	}
	o := cell.Outcome{Verdict: cell.Refused, Reason: ReasonNoHolder, RetryAfter: refusalRetryAfter}
	if submission.Resubmitted {
		o = cell.Outcome{Verdict: cell.OutcomeUnknown, Reason: ReasonNoHolder}
		p.notifyLeave(j.ID, submission.Caller)
	}
	_ = p.Log.Log("event", "nosubmit", "job", j.ID, "queue", j.Queue.Name, "caller", submission.Caller, "open", submission.Resubmitted, "opened", opened,
		"took", p.Clock.Now().Sub(arrived), "gone", ctx.Err() != nil, "err", err)
	return o
}

// openedBy describes the result of an attempt after which a holder may have the job.
func openedBy(attempt int, o cell.Outcome, err error) string {
	if err != nil {
		return strconv.Itoa(attempt) + ": " + err.Error()
	}
	return strconv.Itoa(attempt) + ": " + o.Verdict.String()
}

// verifyRefusal returns o, unless o refuses a job that a previous holder has stored and
// the current one does not know. The outcome is then the stored state, or open if the
// store cannot be read.
func (p *Proxy) verifyRefusal(ctx context.Context, j work.Job, o cell.Outcome) cell.Outcome {
	if o.Verdict != cell.Refused || j.Transient {
		return o
	}
	stored, err := p.readStored(ctx, j.ID)
	switch {
	case err != nil:
		return cell.Outcome{Verdict: cell.OutcomeUnknown, Reason: o.Reason}
	case stored.Known:
		return cell.Outcome{Verdict: cell.Accepted, State: stored.State}
	case stored.To != "":
		return cell.Outcome{Verdict: cell.Accepted, State: work.Running}
	}
	return o
}

// isFinal reports whether o may be returned to the caller. A refusal of a resubmitted job
// may not, since another holder may have run the job. A job that has made its holder end the term is
// not passed on to the next one.
func isFinal(o cell.Outcome, resubmitted bool) bool {
	return o.Verdict == cell.Accepted || (o.Verdict == cell.Refused && !resubmitted) || o.Reason == cell.ReasonFault
}

// maxLostHolders is the number of holders lost while they have a submission after which it is not
// passed on to another one, since it may be what ends them.
const maxLostHolders = 2

// lostHolders counts the holders that were lost while they had a submission.
type lostHolders struct {
	epoch int64 // of the last one
	count int
}

// add records the loss of the holder of an epoch, possibly again, and returns the number of them.
func (l *lostHolders) add(epoch int64) int {
	if epoch != l.epoch {
		l.epoch = epoch
		l.count++
	}
	return l.count
}

// ReasonNoHolder is the reason of an outcome when no holder has replied.
const ReasonNoHolder = "holder"

// submitOnce submits a job to the current holder, unless it is lost, and waits for the
// outcome until the holder changes.
func (p *Proxy) submitOnce(ctx context.Context, submission cell.Submission) (o cell.Outcome, maybeHandled bool, err error) {
	if p.holderLost() {
		return cell.Outcome{}, false, ErrNoHolder
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, version, _ := p.Elector.Holder()
	go p.cancelOnHolderChange(ctx, cancel, version)
	var s submitReply
	maybeHandled, err = p.callHolder(ctx, methodSubmit, &submission, &s, func(ctx context.Context, l *eventloop.Loop) error {
		o, err := l.Submit(ctx, submission)
		s = newSubmitReply(o)
		return err
	})
	return cell.Outcome{Verdict: s.Verdict, State: s.State, Reason: s.Reason, RetryAfter: s.After.Duration()}, maybeHandled, err
}

// cancelOnHolderChange calls cancel when the holder row no longer has the given version.
func (p *Proxy) cancelOnHolderChange(ctx context.Context, cancel context.CancelFunc, version int64) {
	for {
		changed := p.Elector.Changed()
		if _, current, _ := p.Elector.Holder(); current != version {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

var _ election.Leader = (*Proxy)(nil)
