//go:build bench

package bench_test

import (
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
	"gypsumward/core/retry"
)

func init() {
	register("runner-5-storm", measureStorm)
	register("runner-6-straggler", measureStragglers)
}

// The retry storm: most runners are dead for a while, and clients that get no answer in time
// resend their calls at once.
const (
	stormLoad     = 0.8
	deadOfFive    = 3  // of each five runners
	maxResends    = 3  // by one client for one call
	timeoutFactor = 15 // ratio of the timeout of a call to its run time
	minTimeout    = time.Second
)

// deadlineFIFO is a queue that drops calls which would end after their deadline.
type deadlineFIFO struct {
	fleet.FIFO
	chooser *choose.Chooser
	drop    func(*fleet.Call)
}

// Next drops calls that are ended or would be late, and offers the others in order.
func (q *deadlineFIFO) Next(now time.Time, place func(*fleet.Call) bool) bool {
	return q.FIFO.Next(now, func(c *fleet.Call) bool {
		if !c.Ended && now.Add(q.chooser.ExpectedRunTime(c.Kind)).Before(c.ArrivedAt.Add(c.Timeout)) {
			return place(c)
		}
		q.drop(c)
		return true
	})
}

// measureStorm measures the goodput after most runners were dead for a while, with
// successively more countermeasures: none, a retry budget, and dropping late calls.
func measureStorm(r *report, set uint64) {
	for _, p := range []struct {
		name     string
		drops    bool
		settings retry.Settings
	}{
		{"none", false, retry.Settings{Ratio: maxAttempts, Burst: 1e6}},
		{"budget", false, retry.Settings{}},
		{"budget+deadline", true, retry.Settings{}},
	} {
		w := newWorld(stormLoad, evenParts(instanceCount), set)
		choosers := w.addChoosers(instanceCount, choose.Settings{}, set)
		w.enableRetries(p.settings, choosers, set)
		clients := w.clients()
		if p.drops {
			w.dropLateCalls(choosers)
		}
		outage := measured / 4
		w.loop.After(warmUp, func() { faultOnSome("", deadOfFive, fleet.Fault{Dead: true}).inject(w) })
		w.loop.After(warmUp+outage, func() { faultOnSome("", deadOfFive, fleet.Fault{}).inject(w) })
		w.measureFrom = warmUp + 2*outage
		w.run()
		x := w.row("retry-storm-after", p.name, set)
		x.Goodput = clients.goodput(w)
		r.Rows = append(r.Rows, x)
		if p.drops {
			r.atLeast("retry-storm-goodput-after", x.Goodput, 0.95)
		}
	}
}

// clients simulates clients that resend calls without a useful answer in time.
type clients struct {
	served map[int]bool // by number of the original call
}

// clients adds clients whose calls have deadlines, and returns them.
func (w *world) clients() *clients {
	x := &clients{served: map[int]bool{}}
	for n, c := range w.calls {
		c.Number, c.Timeout = n, max(minTimeout, timeoutFactor*c.RunTime)
	}
	resend := func(c *fleet.Call) {
		if c.Resends >= maxResends {
			return
		}
		next := &fleet.Call{
			Number: c.Number, Kind: c.Kind, ArrivedAt: w.loop.Now(), Timeout: c.Timeout, RunTime: c.RunTime,
			Instance: (c.Instance + 1) % len(w.instances), Resends: c.Resends + 1,
		}
		w.loop.After(0, func() { w.arrive(next) })
	}
	for _, i := range w.instances {
		i.OnAnswer = func(c *fleet.Call, _ choose.Outcome) {
			if c.Good {
				x.served[c.Number] = true
			} else {
				resend(c)
			}
		}
	}
	w.onArrival = func(_ int, c *fleet.Call) {
		w.loop.After(c.Timeout, func() {
			if !c.Ended {
				c.Ended = true
				resend(c)
			}
		})
	}
	return x
}

// goodput returns the fraction of the measured original calls that were served, also after
// they were resent.
func (x *clients) goodput(w *world) float64 {
	served, count := 0, 0
	for _, c := range w.calls {
		if !c.ArrivedAt.Before(fleet.NewLoop().Now().Add(w.measureFrom)) {
			count++
			if x.served[c.Number] {
				served++
			}
		}
	}
	return float64(served) / float64(count)
}

// dropLateCalls gives each instance a queue that drops calls that would be late.
func (w *world) dropLateCalls(choosers []*choose.Chooser) {
	for n, i := range w.instances {
		i.Queue = &deadlineFIFO{chooser: choosers[n], FIFO: fleet.FIFO{Lookahead: 16}, drop: func(c *fleet.Call) {
			if !c.Ended {
				c.Ended = true
				i.OnAnswer(c, choose.Refused)
			}
		}}
	}
}

// measureStragglers measures hedging of calls when one call in fifty takes 20 times longer.
func measureStragglers(r *report, set uint64) {
	for _, p := range []struct {
		name     string
		settings retry.Settings
	}{
		{"no-hedge", retry.Settings{}},
		{"hedge-2x", retry.Settings{HedgeAfter: 2}},
		{"hedge-3x", retry.Settings{HedgeAfter: 3}},
		{"hedge-2x-5%", retry.Settings{HedgeAfter: 2, HedgeRatio: 0.05}},
	} {
		w := newWorld(faultLoad, evenParts(instanceCount), set)
		for n, c := range w.calls {
			if n%50 == 0 {
				c.StraggleFactor = 20
			}
		}
		choosers := w.addChoosers(instanceCount, choose.Settings{}, set)
		for n, i := range w.instances {
			hedges := retry.NewHedger(p.settings)
			i.OnFirstAttempt = func() { hedges.RecordFirst(w.loop.Now()) }
			i.TakeHedge = func() bool { return hedges.TryTake(w.loop.Now()) }
			i.Hedge = func(c *fleet.Call, id string) (time.Duration, bool) {
				return hedges.Delay(choosers[n].ExpectedRunTimeOn(id, c.Kind), c.Timeout)
			}
		}
		w.run()
		x := w.row("stragglers", p.name, set)
		r.Rows = append(r.Rows, x)
	}
}
