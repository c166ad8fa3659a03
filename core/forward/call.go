package forward

import (
	"strconv"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/claim"
	"gypsumward/core/detach"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// stage is the processing state of a request.
type stage int

const (
	stageClaiming stage = iota
	stageQueued
	stageSent
	stageReleasing // refused as not run; its claim row is being released
	stageEnded     // answered, refused or owned by another instance
)

// result is the end of a request as its callers receive it: a refusal if that is
// not nil, a redirection to the instance that owns the id if ownedElsewhere is
// set, and the answer otherwise.
type result struct {
	answer         api.Answer
	refusal        *api.Refusal
	ownedElsewhere bool
}

// call is the state of one request. Resubmissions of the same id share it.
type call struct {
	key        api.Key
	spillName  string // name given by the data centre that spilled the request; empty if it was submitted here
	hops       int    // number of transfers between data centres
	spec       api.Request
	digest     string
	row        claim.Row
	version    int64
	claimed    bool
	stage      stage
	attempts   int
	inFlight   int           // attempts on runners without a reply yet
	ran        api.RunStatus // whether any attempt so far may have run
	lastRunner string        // runner of the latest attempt
	charged    float64       // target seconds charged to the team for the latest attempt
	accepted   time.Time
	deadline   time.Time
	ended      time.Time
	finished   chan struct{}
	result     result
}

// refusalFactor multiplies Settings.MaxAttempts for a request that runners refuse:
// a refusal costs a runner little and certainly starts nothing.
const refusalFactor = 4

// attemptName returns the name of the current attempt of c, which is unique over
// all attempts.
func (c *call) attemptName(instance string) string {
	name := c.spillName
	if name == "" {
		name = c.key.Team + "/" + c.key.ID
	}
	return name + "/" + instance + "/" + strconv.Itoa(c.attempts)
}

// item returns the queue item of c, with a cost of the expected run time.
func (c *call) item(expected time.Duration) fair.Item[*call] {
	cost := expected.Seconds()
	if cost == 0 {
		cost = defaultCost
	}
	return fair.Item[*call]{
		Team: c.key.Team, Urgency: c.spec.Urgency, Deadline: c.deadline,
		Cost: cost, Bytes: len(c.spec.Input), Payload: c,
	}
}

// enqueue queues c. If the queue rejects it, it is sent to another data centre or
// refused.
func (f *Forwarder) enqueue(c *call) {
	c.stage = stageQueued
	f.logEvent(event.Queued, c, "", "")
	now := f.Clock.Now()
	v := f.Queue.Push(now, c.item(f.Chooser.ExpectedRunTime(c.spec.Kind)))
	if !v.Queued {
		if instance, send := f.spillTarget(now, c); send {
			c.charged = 0
			f.spillTo(c, instance)
			return
		}
		r := refusal(v.Reason, "the team's queue does not take the request now", c.ran)
		r.RetryAfter = span.Of(v.RetryAfter)
		f.refuse(c, r)
	}
}

// send starts one attempt of c on a runner, in the background.
func (f *Forwarder) send(c *call, runner string) {
	now := f.Clock.Now()
	c.stage = stageSent
	c.attempts++
	c.inFlight++
	c.lastRunner = runner
	f.scheduleHedge(now, c, runner)
	limit := c.deadline.Sub(now)
	if c.spec.Repeatable {
		expected := time.Duration(f.Settings.TimeoutFactor * float64(f.Chooser.ExpectedRunTime(c.spec.Kind)))
		limit = min(limit, max(expected, f.Settings.MinTimeout))
	}
	m := target.Call{
		ID: c.attemptName(f.ID), Team: c.key.Team, Kind: c.spec.Kind, Input: c.spec.Input,
		TimeLeft: span.Of(c.deadline.Sub(now)),
	}
	if c.attempts == 1 {
		f.budget(c.key.Team).RecordFirst(now)
	}
	f.logEvent(event.Sent, c, runner, "")
	addr, cost := f.addrs[runner], c.charged
	go func() {
		ctx, cancel := detach.WithTimeout(f.Clock, limit)
		defer cancel()
		outcome := f.Runners.Run(ctx, addr, m)
		f.post(attemptResult{call: c, runner: runner, began: now, charged: cost, timedOut: ctx.Err() != nil, outcome: outcome})
	}()
}

// attemptResult reports the outcome of one attempt on a runner.
type attemptResult struct {
	call     *call
	runner   string
	began    time.Time
	charged  float64 // target seconds charged to the team when the attempt was sent
	timedOut bool
	outcome  targetclient.Outcome
}

// apply updates the statistics of the runner and the charge of the team. It then
// ends the request with the outcome, queues it again, or refuses it.
func (m attemptResult) apply(f *Forwarder) {
	c := m.call
	now := f.Clock.Now()
	f.Chooser.Done(now, m.runner, c.spec.Kind, now.Sub(m.began), m.runnerOutcome())
	f.Queue.Charge(c.key.Team, m.slotSeconds(now)-m.charged)
	c.inFlight--
	if c.stage != stageSent {
		f.attemptsWasted.Add(1) // the request has ended, for instance by another attempt
		return
	}
	if m.outcome.Ran == api.RanUnknown {
		c.ran = api.RanUnknown
	}
	switch {
	case m.outcome.Succeeded():
		f.logEvent(event.Done, c, m.runner, "")
		a := c.openAnswer()
		a.State, a.Output = api.StateComplete, m.outcome.Reply.Output
		f.finish(c, a)
	case m.outcome.Ran == api.RanYes:
		f.logEvent(event.Failed, c, m.runner, m.outcome.Reply.Error)
		a := c.openAnswer()
		a.State, a.Reason, a.Detail, a.Ran = api.StateFailed, api.ReasonTask, m.outcome.Reply.Error, api.RanYes
		f.finish(c, a)
	case c.inFlight > 0:
		return // the outcome of the other attempt decides
	case f.mayRepeat(c, m.outcome, now):
		f.logEvent(event.Retried, c, m.runner, m.outcome.Err)
		f.enqueue(c)
	default:
		f.logEvent(event.Unknown, c, m.runner, m.outcome.Err)
		reason := api.ReasonTarget
		if m.timedOut {
			reason = api.ReasonDeadline
		}
		f.refuse(c, refusal(reason, "no whole answer came: "+m.outcome.Err, c.ran))
	}
}

// slotSeconds returns the time for which the attempt occupied a slot, in target
// seconds. It is zero if the attempt did not run.
func (m attemptResult) slotSeconds(now time.Time) float64 {
	if m.outcome.Ran == api.RanNot {
		return 0
	}
	return now.Sub(m.began).Seconds()
}

// runnerOutcome classifies the attempt for the health statistics that the chooser
// keeps of the runner.
func (m attemptResult) runnerOutcome() choose.Outcome {
	switch {
	case m.outcome.Succeeded():
		return choose.Succeeded
	case m.outcome.Ran == api.RanYes:
		return choose.Failed
	case m.outcome.Reply.Refused == target.RefusedLeaving:
		return choose.Leaving
	case m.outcome.Reply.Refused != "":
		return choose.Refused
	case m.timedOut:
		return choose.TimedOut
	}
	return choose.Broken
}

// mayRepeat reports whether c may be sent again after an attempt without an
// outcome. If it may, and the runner did not refuse the attempt, one retry is
// taken from the budget of the team.
func (f *Forwarder) mayRepeat(c *call, o targetclient.Outcome, now time.Time) bool {
	if !now.Before(c.deadline) {
		return false
	}
	if o.Ran == api.RanNot && o.Reply.Refused != "" {
		return c.attempts < refusalFactor*f.Settings.MaxAttempts
	}
	if o.Ran != api.RanNot && !c.spec.Repeatable {
		return false
	}
	return c.attempts < f.Settings.MaxAttempts && f.budget(c.key.Team).TryTake(now)
}

// openAnswer returns the answer for a request that has not ended.
func (c *call) openAnswer() api.Answer {
	return api.Answer{Team: c.key.Team, ID: c.spec.ID, State: api.StateOpen}
}
