package admit

import (
	"math/rand/v2"
	"time"

	"gypsumward/core/fair"
)

// Gate estimates whether work would meet its deadline. It implements fair.Gate and
// is not safe for concurrent use: only the goroutine of its queue may use it.
type Gate struct {
	settings    Settings
	rng         *rand.Rand
	rate        float64 // drain rate while work waits, in target seconds per second; zero if unknown
	windowStart time.Time
	servedCost  float64 // target seconds served in the current window
	wasEmpty    bool    // the queue was empty at some time in the current window
	hasWork     bool    // the queue held work at the latest call
}

var _ fair.Gate = (*Gate)(nil)

// New returns a Gate that admits everything until it has measured a rate.
func New(s Settings) *Gate {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.WaitFactor <= 0 {
		s.WaitFactor = DefaultWaitFactor
	}
	if s.MinRetryAfter <= 0 {
		s.MinRetryAfter = DefaultMinRetryAfter
	}
	if s.MaxRetryAfter <= 0 {
		s.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return &Gate{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), wasEmpty: true}
}

// Rate returns the measured drain rate in target seconds per second. It is zero
// until a rate has been measured.
func (g *Gate) Rate() float64 {
	return g.rate
}

// Served accounts for an item of the given cost that left the queue. The cost left
// in the queue shows whether work still waits. Both are in target seconds.
func (g *Gate) Served(now time.Time, cost, left float64) {
	g.advance(now)
	g.servedCost += cost
	g.hasWork = left > 0
	g.wasEmpty = g.wasEmpty || !g.hasWork
}

// Admit reports whether work is expected to end before its deadline, and returns a
// hint after which time to resubmit it if it is refused, here or by the queue. It
// admits all work until a rate has been measured and while the queue is empty.
func (g *Gate) Admit(now time.Time, c fair.Candidate) (bool, time.Duration) {
	g.advance(now)
	g.hasWork = c.TotalCost > 0
	g.wasEmpty = g.wasEmpty || !g.hasWork
	if g.rate <= 0 || c.TotalCost <= 0 {
		return true, 0
	}
	wait := g.settings.WaitFactor * g.expectedWait(c)
	if c.Deadline.IsZero() {
		return true, g.retryAfter(wait)
	}
	overrun := wait + c.Cost - c.Deadline.Sub(now).Seconds()
	return overrun <= 0, g.retryAfter(max(overrun, 0))
}

// expectedWait returns the time in seconds for which new work would wait. This is
// the time to drain the team's work ahead of it at the team's share of the drain
// rate, bounded by the time to drain all queued work, and by the time to drain the
// team's work of the same urgency at its floor.
func (g *Gate) expectedWait(c fair.Candidate) float64 {
	rate := g.rate * c.Share
	wait := min(c.CostAhead/rate, c.TotalCost/g.rate)
	if c.Floor > 0 && c.Floor < 1 {
		wait = min(wait, c.LevelCost/(rate*c.Floor))
	}
	return wait
}

// retryAfter returns the given time with jitter of plus or minus half, clamped to
// the bounds of the settings.
func (g *Gate) retryAfter(seconds float64) time.Duration {
	d := time.Duration(seconds * (0.5 + g.rng.Float64()) * float64(time.Second))
	return min(max(d, g.settings.MinRetryAfter), g.settings.MaxRetryAfter)
}

// Parameters of the drain rate.
const (
	rateSmoothing    = 0.2 // weight of the newest window in the rate
	maxMissedWindows = 50  // maximum number of windows accounted for after a time without calls
)

// advance ends the windows that have passed and updates the rate. If the queue was
// empty in a window, the work served is limited by arrivals and not by the targets,
// so that such a window may only raise the rate.
func (g *Gate) advance(now time.Time) {
	if g.windowStart.IsZero() {
		g.windowStart = now
		return
	}
	for range maxMissedWindows {
		if now.Sub(g.windowStart) < g.settings.Window {
			return
		}
		rate := g.servedCost / g.settings.Window.Seconds()
		switch {
		case g.rate == 0:
			if !g.wasEmpty {
				g.rate = rate
			}
		case !g.wasEmpty:
			g.rate += rateSmoothing * (rate - g.rate)
		case rate > g.rate:
			g.rate += rateSmoothing * (rate - g.rate)
		}
		g.servedCost = 0
		g.wasEmpty = !g.hasWork
		g.windowStart = g.windowStart.Add(g.settings.Window)
	}
	g.windowStart = now
}
