package fleet

import (
	"time"

	"gypsumward/core/choose"
)

// refusalBackoff is the wait before a call that was refused more than once is offered again.
const refusalBackoff = 10 * time.Millisecond

// Picker chooses targets for calls. *choose.Chooser implements it.
//
// Pick returns the target for a call of a kind, other than avoid, and reports false if the
// call has to wait. Done reports the end of an attempt that Pick placed.
type Picker interface {
	Pick(now time.Time, kind, avoid string) (id string, ok bool)
	Done(now time.Time, id, kind string, elapsed time.Duration, o choose.Outcome)
}

// QueueObserver is implemented by a Picker that takes the queue length into account.
// SetQueueLength receives the number of queued calls before each Pick.
type QueueObserver interface {
	SetQueueLength(n int)
}

// Queue holds the calls that wait at an instance. Len returns their number.
type Queue interface {
	Len() int
	Push(now time.Time, c *Call) bool                       // returns false if c is refused
	Next(now time.Time, place func(*Call) bool) (more bool) // offers calls in order; returns true if another call of Next may place more
}

// Instance is an entry instance. It queues calls and assigns each to a target only when a
// slot is free. Loop, Targets, Picker and Queue must be set before the first call; Targets
// is indexed by ID.
type Instance struct {
	Loop    *Loop
	Targets map[string]*Target
	Picker  Picker
	Queue   Queue
	Timeout time.Duration // after which an attempt counts as hung; zero means no timeout

	OnFirstAttempt func()                                                        // called before the first attempt of each call; may be nil
	Retry          func(c *Call, o choose.Outcome) (wait time.Duration, ok bool) // wait before a failed call is retried; nil means no retries
	Hedge          func(c *Call, id string) (wait time.Duration, ok bool)        // wait before a call is hedged; nil means no hedges
	TakeHedge      func() bool                                                   // takes a hedge from the budget; required with Hedge
	OnAnswer       func(c *Call, o choose.Outcome)                               // called with the final outcome of each call; may be nil

	Sent      int // attempts sent to targets
	Completed int // attempts that have ended
	Wasted    int // attempts that ended without an answer that was used
}

// Submit queues a call of a client and places what it can. It returns false if the queue
// refuses the call.
func (i *Instance) Submit(c *Call) bool {
	ok := i.Queue.Push(i.Loop.Now(), c)
	i.Pump()
	return ok
}

// Pump sends queued calls to targets until the queue offers no more.
func (i *Instance) Pump() {
	for i.Queue.Next(i.Loop.Now(), i.place) {
	}
}

// place sends a call to a target. It returns false if the call has to wait.
func (i *Instance) place(c *Call) bool {
	if w, ok := i.Picker.(QueueObserver); ok {
		w.SetQueueLength(i.Queue.Len())
	}
	id, ok := i.Picker.Pick(i.Loop.Now(), c.Kind, c.Avoid)
	if ok {
		i.send(c, id)
	}
	return ok
}

// send makes one attempt to run c on the target id.
func (i *Instance) send(c *Call, id string) {
	c.Attempts++
	i.Sent++
	if c.Attempts == 1 && i.OnFirstAttempt != nil {
		i.OnFirstAttempt()
	}
	start, settled := i.Loop.Now(), false
	settle := func(o choose.Outcome) {
		if settled {
			return
		}
		settled = true
		i.Completed++
		i.Picker.Done(i.Loop.Now(), id, c.Kind, i.Loop.Now().Sub(start), o)
		i.handleEnd(c, id, o)
		i.Pump()
	}
	i.Loop.After(MessageDelay, func() {
		i.Targets[id].run(i.Loop, c, func(o choose.Outcome) {
			i.Loop.After(MessageDelay, func() { settle(o) })
		})
	})
	if i.Timeout > 0 {
		i.Loop.After(i.Timeout, func() { settle(choose.TimedOut) })
	}
	i.hedge(c, id)
}

// hedge schedules a second attempt of a call, on another target, for the case that the
// first one, on the target id, has not ended by then.
func (i *Instance) hedge(c *Call, id string) {
	if i.Hedge == nil || c.Attempts > 1 {
		return
	}
	wait, ok := i.Hedge(c, id)
	if !ok {
		return
	}
	i.Loop.After(wait, func() {
		if c.Ended || c.Attempts > 1 || !i.TakeHedge() {
			return
		}
		if other, ok := i.Picker.Pick(i.Loop.Now(), c.Kind, id); ok {
			i.send(c, other)
		}
	})
}

// handleEnd processes the end of an attempt on the target id: it answers the call, retries
// it, or does nothing if the call already has an answer.
func (i *Instance) handleEnd(c *Call, id string, o choose.Outcome) {
	if o == choose.Succeeded && !c.Ended {
		i.answer(c, o)
		return
	}
	i.Wasted++
	if c.Ended {
		return
	}
	c.Avoid = id
	wait, ok := i.retryAfter(c, o)
	if !ok {
		i.answer(c, o)
		return
	}
	i.Loop.After(wait, func() {
		if !i.Submit(c) {
			i.answer(c, choose.Refused)
		}
	})
}

// retryAfter returns the wait before c is offered again, and false if it is not. A call
// that a target refused did not run and is always offered again, from the second refusal on
// with a wait.
func (i *Instance) retryAfter(c *Call, o choose.Outcome) (wait time.Duration, ok bool) {
	if o == choose.Refused || o == choose.Leaving {
		if c.Refusals++; c.Refusals > 1 {
			wait = refusalBackoff
		}
		return wait, true
	}
	if i.Retry == nil {
		return 0, false
	}
	return i.Retry(c, o)
}

// answer ends c with the outcome o and notifies its client.
func (i *Instance) answer(c *Call, o choose.Outcome) {
	c.Ended, c.Good, c.ResponseTime = true, o == choose.Succeeded, i.Loop.Now().Sub(c.ArrivedAt)
	if i.OnAnswer != nil {
		i.OnAnswer(c, o)
	}
}
