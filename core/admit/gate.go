package admit

import (
	"math/rand/v2"
	"time"

	"gypsumward/core/fair"
)

// Gate decides whether work would meet its deadline. It is a fair.Gate and used
// by the goroutine of the queue.
type Gate struct {
	settings Settings
	rng      *rand.Rand
	rate     float64 // target seconds drained per second while work waits
	start    time.Time
	served   float64 // in the current window
	starved  bool    // the queue was empty in the current window
	waiting  bool    // the queue held work when last seen
}

var _ fair.Gate = (*Gate)(nil)

// New returns a Gate that admits everything until it has measured a rate.
func New(s Settings) *Gate {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.Slack <= 0 {
		s.Slack = DefaultSlack
	}
	if s.Least <= 0 {
		s.Least = DefaultLeast
	}
	if s.Most <= 0 {
		s.Most = DefaultMost
	}
	return &Gate{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), starved: true}
}

// Rate returns the measured drain rate in target seconds a second; zero means
// that it is not known yet.
func (g *Gate) Rate() float64 {
	return g.rate
}

// Served counts an item that left the queue.
func (g *Gate) Served(now time.Time, cost, left float64) {
	g.roll(now)
	g.served += cost
	g.waiting = left > 0
	g.starved = g.starved || !g.waiting
}

// Admit refuses work that would end after its deadline. The hint tells when work
// like it could be admitted.
func (g *Gate) Admit(now time.Time, a fair.Candidate) (bool, time.Duration) {
	g.roll(now)
	g.waiting = a.TotalCost > 0
	g.starved = g.starved || !g.waiting
	if g.rate <= 0 || a.TotalCost <= 0 {
		return true, 0
	}
	wait := g.settings.Slack * g.wait(a)
	if a.Deadline.IsZero() {
		return true, g.hint(wait)
	}
	over := wait + a.Cost - a.Deadline.Sub(now).Seconds()
	return over <= 0, g.hint(max(over, 0))
}

// wait returns the seconds for which new work would wait: the team's work before
// it at the team's part of the drain rate, but no longer than all queued work
// takes, nor than its own urgency takes at the floor.
func (g *Gate) wait(a fair.Candidate) float64 {
	rate := g.rate * a.Share
	wait := min(a.CostAhead/rate, a.TotalCost/g.rate)
	if a.Floor > 0 && a.Floor < 1 {
		wait = min(wait, a.LevelCost/(rate*a.Floor))
	}
	return wait
}

// hint returns a wait in bounds and with jitter of half either way.
func (g *Gate) hint(seconds float64) time.Duration {
	d := time.Duration(seconds * (0.5 + g.rng.Float64()) * float64(time.Second))
	return min(max(d, g.settings.Least), g.settings.Most)
}

// Parts of the newest window in the rate.
const (
	ratePart   = 0.2
	mostMissed = 50 // windows without any call that are counted
)

// roll ends the windows that have passed. While the queue is empty the rate is
// that of arrivals, so that such a window can only raise it.
func (g *Gate) roll(now time.Time) {
	if g.start.IsZero() {
		g.start = now
		return
	}
	for range mostMissed {
		if now.Sub(g.start) < g.settings.Window {
			return
		}
		rate := g.served / g.settings.Window.Seconds()
		switch {
		case g.rate == 0:
			if !g.starved {
				g.rate = rate
			}
		case !g.starved:
			g.rate += ratePart * (rate - g.rate)
		case rate > g.rate:
			g.rate += ratePart * (rate - g.rate)
		}
		g.served = 0
		g.starved = !g.waiting
		g.start = g.start.Add(g.settings.Window)
	}
	g.start = now
}
