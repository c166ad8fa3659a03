package eventloop

import (
	"context"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/hangup"
)

// Submit submits a job to the cell and waits for the outcome. The error is ErrQueueFull
// if the job was not submitted, ErrTermOver if the term ended without an outcome, or that
// of ctx. A job is not submitted after ctx has ended, or if the connection that ctx carries is
// closed (see package hangup); the verdict is then cell.OutcomeUnknown.
func (l *Loop) Submit(ctx context.Context, submission cell.Submission) (cell.Outcome, error) {
	m := submitMessage{ctx: ctx, submission: submission, reply: make(chan cell.Outcome, 2)}
	return request(ctx, l, m, m.reply)
}

type submitMessage struct {
	ctx        context.Context // of the caller
	submission cell.Submission
	reply      chan cell.Outcome
}

func (m submitMessage) Apply(c *cell.Cell, now time.Time) {
	if m.ctx.Err() != nil {
		return
	}
	if hangup.Closed(m.ctx) {
		m.reply <- cell.Outcome{Verdict: cell.OutcomeUnknown}
		return
	}
	known := c.Knows(m.submission.Job.ID)
	defer func() {
		if v := recover(); v != nil {
			m.reply <- m.failure(c, known)
			panic(v)
		}
	}()
	c.Submit(now, m.submission, func(o cell.Outcome) { m.reply <- o })
}

// failure returns the outcome of a submission that has made the cell panic. The term ends without a
// pass of the cell, so a job that was not known before has neither been written nor started.
func (m submitMessage) failure(c *cell.Cell, known bool) cell.Outcome {
	if known || m.submission.Resubmitted || c.HasRun(m.submission.Job.ID) {
		return cell.Outcome{Verdict: cell.OutcomeUnknown, Reason: cell.ReasonFault}
	}
	return cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonFault}
}

// Leave notifies the cell that a caller of Submit no longer waits, since a time ago. It returns false
// if the term is over.
func (l *Loop) Leave(id, caller string, ago time.Duration) bool {
	return l.Post(leaveMessage{id, caller, l.Clock.Now().Add(-ago)})
}

// Abandon notifies the cell that nobody waits for one attempt of a submission any more.
func (l *Loop) Abandon(id, caller string) { l.Post(abandonMessage{id, caller}) }

type abandonMessage struct{ id, caller string }

func (m abandonMessage) Apply(c *cell.Cell, now time.Time) { c.AttemptLost(now, m.id, m.caller) }

type leaveMessage struct {
	id, caller string
	left       time.Time
}

func (m leaveMessage) Apply(c *cell.Cell, now time.Time) {
	c.CallerLeftBefore(now, m.left, m.id, m.caller)
}
