package forward

import (
	"context"
	"strconv"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/detach"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/span"
	"gypsumward/core/spill"
	"gypsumward/core/targetclient"
)

// PeerCentres calls the instances of other data centres.
type PeerCentres interface {
	// FreeCapacity asks these instances how many requests they could accept from the
	// instance asker.
	FreeCapacity(ctx context.Context, asker string) []spill.Report
	// Spill sends a request to the instance h.Instance and waits for its result.
	// Without an error exactly one field of the result is set. With an error the
	// api.Ran tells whether the request may have run.
	Spill(ctx context.Context, h SpillRequest) (SpillResponse, api.RunStatus, error)
}

// SpillRequest is a request that is sent to an instance of another data centre. The
// claim of a request that is not repeatable stays with the sender.
type SpillRequest struct {
	Instance   string    `json:"instance"` // recipient, in the form name@incarnation
	Name       string    `json:"name"`     // unique for each transfer; begins with TEAM/ID
	Team       string    `json:"team"`
	Kind       string    `json:"kind"`
	Input      []byte    `json:"input,omitempty"` // bytes and not raw JSON, which would be encoded anew in a call between instances
	Urgency    int       `json:"urgency,omitempty"`
	Repeatable bool      `json:"repeatable,omitempty"`
	TimeLeft   span.Span `json:"left"` // time to the deadline
}

// SpillResponse is the result of a request sent to another data centre. Exactly one of its
// fields is set.
type SpillResponse struct {
	Answer  *api.Answer  `json:"answer,omitempty"`
	Refusal *api.Refusal `json:"refusal,omitempty"`
}

// returnMargin is subtracted from the time to the deadline for the transfer between
// data centres.
const returnMargin = 20 * time.Millisecond

// SpillStats returns the number of requests sent to other data centres and the number
// of requests accepted from them.
func (f *Forwarder) SpillStats() (sent, taken int64) {
	return f.spilledOut.Load(), f.spilledIn.Load()
}

// RunSpilled runs a request of another data centre and waits for its result until ctx
// ends. The request is never transferred to a further data centre. It is refused if
// its recipient is not this incarnation of the instance.
func (f *Forwarder) RunSpilled(ctx context.Context, h SpillRequest) SpillResponse {
	reply := make(chan *call, 1)
	if h.Instance != f.ID || !f.post(acceptMessage{request: h, reply: reply}) {
		return SpillResponse{Refusal: refusal(api.ReasonStopping, "the instance is gone", api.RanNot)}
	}
	select {
	case c := <-reply:
		a, r := f.await(ctx, c)
		if a != nil && !a.Final() {
			return SpillResponse{Refusal: refusal(api.ReasonDeadline, "the request did not end in time", api.RanUnknown)}
		}
		return SpillResponse{Answer: a, Refusal: r}
	case <-f.closed:
		return SpillResponse{Refusal: refusal(api.ReasonStopping, "the instance stopped", api.RanUnknown)}
	}
}

// acceptMessage asks the loop to accept a request of another data centre. The reply
// is the call to wait for.
type acceptMessage struct {
	request SpillRequest
	reply   chan *call
}

// apply replies with a new call, which is refused or queued. An unreachable store is
// no reason to refuse it, since it needs no claim row here.
func (m acceptMessage) apply(f *Forwarder) {
	now, h := f.Clock.Now(), m.request
	f.serial++
	c := &call{
		key: api.Key{Team: h.Team, ID: "-" + strconv.FormatInt(f.serial, 10)}, spillName: h.Name, hops: 1,
		spec: api.Request{
			Team: h.Team, Kind: h.Kind, Input: h.Input, Urgency: h.Urgency, Repeatable: h.Repeatable,
		},
		ran: api.RanNot, accepted: now, deadline: now.Add(h.TimeLeft.Duration()), finished: make(chan struct{}),
	}
	defer func() { m.reply <- c }()
	f.openCalls++
	if reason, detail := f.rejection(c); reason != "" && reason != api.ReasonStore {
		f.end(c, result{refusal: refusal(reason, detail, api.RanNot)})
		return
	}
	f.spilledIn.Add(1)
	f.countDemand(c.spec)
	f.enqueue(c)
}

// FreeCapacity returns the free capacity that this instance grants to the instance asker
// of another data centre. It is zero after the loop has ended.
func (f *Forwarder) FreeCapacity(asker string) spill.Report {
	reply := make(chan int, 1)
	if f.post(capacityMessage{asker: asker, reply: reply}) {
		select {
		case free := <-reply:
			return spill.Report{Instance: f.ID, Centre: f.Centre, Capacity: free}
		case <-f.closed:
		}
	}
	return spill.Report{Instance: f.ID, Centre: f.Centre}
}

// capacityMessage asks the loop how many requests can be accepted from asker. The
// number is zero while draining.
type capacityMessage struct {
	asker string
	reply chan int
}

func (m capacityMessage) apply(f *Forwarder) {
	now := f.Clock.Now()
	free := 0
	if f.drained == nil {
		free = f.spill.GrantCapacity(now, m.asker, f.localCapacity(now))
	}
	m.reply <- free
}

// localCapacity returns the slots, free slots and expected wait of the local
// runners, as seen by this instance.
func (f *Forwarder) localCapacity(now time.Time) spill.OwnState {
	f.Chooser.SetQueueLength(f.Queue.Len())
	capacity := f.Chooser.Capacity(now)
	return spill.OwnState{Slots: capacity.Slots, Free: capacity.Free, Waiting: f.Queue.Len(), ExpectedWait: capacity.ExpectedWait}
}

// spillOver sends queued requests that would wait too long to other data centres,
// and asks these for their free capacity when it is needed. It has no effect if
// PeerCentres is nil.
func (f *Forwarder) spillOver(now time.Time) {
	if f.PeerCentres == nil {
		return
	}
	f.capacity = f.localCapacity(now)
	for f.Queue.Len() > 0 {
		instance := ""
		it, ok := f.Queue.Pop(now, func(it fair.Item[*call]) bool {
			instance = ""
			if it.Payload.stage != stageQueued {
				return true
			}
			id, spills := f.spillTarget(now, it.Payload)
			instance = id
			return spills
		})
		if !ok {
			break
		}
		if instance == "" {
			f.revertServed(now, it)
			continue
		}
		it.Payload.charged = it.Cost
		f.spillTo(it.Payload, instance)
		f.capacity = f.localCapacity(now)
	}
	if f.spill.ShouldAsk(now) {
		go func() {
			ctx, cancel := detach.WithTimeout(f.Clock, f.Settings.StoreTimeout)
			defer cancel()
			f.post(reportsMessage{reports: f.PeerCentres.FreeCapacity(ctx, f.ID)})
		}()
	}
}

// spillTarget returns the instance of another data centre to which c should be
// sent. It reports false if c should stay.
func (f *Forwarder) spillTarget(now time.Time, c *call) (string, bool) {
	if f.PeerCentres == nil {
		return "", false
	}
	r := spill.Request{Hops: c.hops, RunTime: f.Chooser.ExpectedRunTime(c.spec.Kind), TimeLeft: c.deadline.Sub(now)}
	return f.spill.Decide(now, r, f.capacity)
}

// reportsMessage carries the free capacity reported by other data centres.
type reportsMessage struct {
	reports []spill.Report
}

func (m reportsMessage) apply(f *Forwarder) {
	for _, r := range m.reports {
		if r.Centre != f.Centre {
			f.spill.AddReport(f.Clock.Now(), r)
		}
	}
}

// spillTo sends c to an instance of another data centre, in the background. This
// happens at most once for a request.
func (f *Forwarder) spillTo(c *call, instance string) {
	now := f.Clock.Now()
	c.stage = stageSent
	c.attempts++
	c.hops++
	f.spilledOut.Add(1)
	if c.attempts == 1 {
		f.budget(c.key.Team).RecordFirst(now)
	}
	f.logEvent(event.Transferred, c, instance, "")
	req := SpillRequest{
		Instance: instance, Name: c.attemptName(f.ID), Team: c.key.Team, Kind: c.spec.Kind, Input: c.spec.Input,
		Urgency: c.spec.Urgency, Repeatable: c.spec.Repeatable, TimeLeft: span.Of(c.deadline.Sub(now) - returnMargin),
	}
	go func() {
		ctx, cancel := detach.WithTimeout(f.Clock, c.deadline.Sub(now))
		defer cancel()
		taken, ran, err := f.PeerCentres.Spill(ctx, req)
		f.post(spillResult{call: c, instance: instance, result: taken, ran: ran, err: err})
	}()
}

// spillResult reports the result of a request that was sent to another data centre.
type spillResult struct {
	call     *call
	instance string
	result   SpillResponse
	ran      api.RunStatus
	err      error
}

// apply ends the request with the outcome, queues it again, or refuses it. If it did
// not run, the team is not charged.
func (m spillResult) apply(f *Forwarder) {
	c, r := m.call, m.result.Refusal
	switch {
	case m.err != nil:
		f.spill.Forget(m.instance)
		ran := m.ran
		if ran != api.RanNot {
			ran = api.RanUnknown
		}
		r = refusal(api.ReasonOwner, "the other data centre did not answer: "+m.err.Error(), ran)
	case m.result.Answer != nil && m.result.Answer.Final():
		a := *m.result.Answer
		a.Team, a.ID = c.key.Team, c.spec.ID
		f.finish(c, a)
		return
	case r == nil:
		r = refusal(api.ReasonOwner, "the other data centre gave no outcome", api.RanUnknown)
	}
	now := f.Clock.Now()
	if r.Ran != api.RanNot {
		c.ran = api.RanUnknown
	} else {
		f.Queue.Charge(c.key.Team, -c.charged)
	}
	repeat := r.Ran == api.RanNot && now.Before(c.deadline) ||
		r.Ran != api.RanNot && f.mayRepeat(c, targetclient.Outcome{Ran: api.RanUnknown}, now)
	if repeat {
		f.logEvent(event.Retried, c, m.instance, r.Detail)
		f.enqueue(c)
		return
	}
	f.refuse(c, refusal(r.Reason, r.Detail, c.ran))
}
