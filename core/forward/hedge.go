package forward

import (
	"time"

	"gypsumward/core/retry"
)

// hedgeAfter is the age of the first attempt, in expected run times, at which a
// second attempt of a repeatable request may start.
const hedgeAfter = 2.0

// HedgeConfig is the hedging configuration of one team.
type HedgeConfig struct {
	Team     string
	MaxRatio float64 // maximum ratio of hedged attempts to requests; no hedging if not positive
}

// SetHedges sets the teams whose slow repeatable requests get a second attempt on
// another runner, provided that no request is queued. The requests of all other
// teams are not hedged.
func (f *Forwarder) SetHedges(teams []HedgeConfig) {
	f.post(hedgeMessage{teams: teams})
}

// HedgeStats returns the number of hedged attempts sent, and the number of attempts
// that were wasted because their request ended first.
func (f *Forwarder) HedgeStats() (sent, wasted int64) {
	return f.hedgesSent.Load(), f.attemptsWasted.Load()
}

// hedgeMessage carries the argument of SetHedges.
type hedgeMessage struct {
	teams []HedgeConfig
}

// apply replaces the budgets of all teams, except those whose ratio is unchanged.
func (m hedgeMessage) apply(f *Forwarder) {
	next := make(map[string]teamHedges)
	for _, t := range m.teams {
		if !(t.MaxRatio > 0) {
			continue
		}
		if old, ok := f.hedges[t.Team]; ok && old.ratio == t.MaxRatio {
			next[t.Team] = old // keep the budget already spent
			continue
		}
		h := retry.NewHedger(retry.Settings{HedgeAfter: hedgeAfter, HedgeRatio: t.MaxRatio})
		next[t.Team] = teamHedges{ratio: t.MaxRatio, hedges: h}
	}
	f.hedges = next
}

// teamHedges is the hedging budget of one team.
type teamHedges struct {
	ratio  float64
	hedges *retry.Hedger
}

// scheduleHedge sets a timer for a second attempt of c, which is about to be sent
// to runner for the first time. It has no effect if c is not repeatable or its team
// is not configured for hedging.
func (f *Forwarder) scheduleHedge(now time.Time, c *call, runner string) {
	t, ok := f.hedges[c.key.Team]
	if !ok || !c.spec.Repeatable || c.attempts != 1 {
		return
	}
	t.hedges.RecordFirst(now)
	wait, ok := t.hedges.Delay(f.Chooser.ExpectedRunTimeOn(runner, c.spec.Kind), c.deadline.Sub(now))
	if ok {
		f.Clock.AfterFunc(wait, func() { f.post(hedgeDue{call: c}) })
	}
}

// hedgeDue reports that the first attempt of a call has reached the age for a
// hedged attempt.
type hedgeDue struct {
	call *call
}

// apply sends a second attempt to another runner if the first one is still in
// flight, no request is queued and the budget of the team allows it.
func (m hedgeDue) apply(f *Forwarder) {
	c := m.call
	t, ok := f.hedges[c.key.Team]
	if !ok || c.stage != stageSent || c.attempts != 1 || c.inFlight != 1 || f.Queue.Len() > 0 {
		return
	}
	now := f.Clock.Now()
	runner, ok := f.Chooser.Pick(now, c.spec.Kind, c.lastRunner)
	if !ok {
		return
	}
	if runner == c.lastRunner || f.missesDeadline(now, c, runner) || !t.hedges.TryTake(now) {
		f.releaseSlot(now, c, runner)
		return
	}
	f.hedgesSent.Add(1)
	c.charged = 0 // the charge of the queue belongs to the first attempt
	f.send(c, runner)
}
