package forward

import (
	"time"

	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/fair"
)

// lateProbeInterval is the number of requests found unable to meet their deadline
// of which one is sent nevertheless, so that an overestimated run time is
// corrected.
const lateProbeInterval = 32

// dispatch sends queued requests while runners have free slots.
func (f *Forwarder) dispatch() {
	now := f.Clock.Now()
	for {
		runner := ""
		it, ok := f.Queue.Pop(now, func(it fair.Item[*call]) bool {
			c := it.Payload
			if c.stage != stageQueued {
				runner = ""
				return true
			}
			f.Chooser.SetQueueLength(f.Queue.CompetingItems(it.Team))
			id, ok := f.Chooser.Pick(now, c.spec.Kind, c.lastRunner)
			runner = id
			return ok
		})
		switch c := it.Payload; {
		case !ok:
			return
		case runner == "":
			f.revertServed(now, it)
		case f.missesDeadline(now, c, runner):
			f.releaseSlot(now, c, runner)
			f.revertServed(now, it)
			f.refuse(c, refusal(api.ReasonDeadline, "the request would not end before its deadline", c.ran))
		default:
			c.charged = it.Cost
			f.send(c, runner)
		}
	}
}

// releaseSlot returns a slot that was picked for c but is not used.
func (f *Forwarder) releaseSlot(now time.Time, c *call, runner string) {
	f.Chooser.Done(now, runner, c.spec.Kind, 0, choose.TimedOut) // no failure is recorded, since the elapsed time is zero
}

// missesDeadline reports whether c would end after its deadline on the runner,
// which is the one expected to end it first. It reports false if the run time has
// no estimate, and for one in lateProbeInterval of the late requests.
func (f *Forwarder) missesDeadline(now time.Time, c *call, runner string) bool {
	expected := f.Chooser.ExpectedRunTimeOn(runner, c.spec.Kind)
	need := time.Duration(f.Settings.MarginFactor * float64(expected))
	if expected == 0 || need <= c.deadline.Sub(now) {
		return false
	}
	f.lateCount++
	return f.lateCount%lateProbeInterval != 0
}

// revertServed cancels the accounting of an item that left the queue but was not
// sent to a runner.
func (f *Forwarder) revertServed(now time.Time, it fair.Item[*call]) {
	f.Queue.Charge(it.Team, -it.Cost)
	f.Gate.Served(now, -it.Cost, f.Queue.Cost())
}
