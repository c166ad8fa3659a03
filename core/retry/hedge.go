package retry

import "time"

// Hedger decides on hedges: second attempts of requests whose first attempt takes
// longer than expected. Only a repeatable request may be hedged. The work of the
// slower attempt is wasted, so hedges have a budget of their own, and there are
// none by default. Hedger is not safe for concurrent use.
type Hedger struct {
	settings Settings
	budget   *Budget
}

// NewHedger returns a Hedger whose budget is full at first.
func NewHedger(s Settings) *Hedger {
	s = s.WithDefaults()
	return &Hedger{
		settings: s,
		budget:   &Budget{settings: Settings{Ratio: s.HedgeRatio, Burst: s.Burst}, tokens: s.Burst},
	}
}

// RecordFirst records a first attempt, which adds Settings.HedgeRatio hedges to the
// budget.
func (h *Hedger) RecordFirst(now time.Time) {
	h.budget.RecordFirst(now)
}

// Delay returns the time from the start of the first attempt to that of the
// second, for a request with the given expected run time and time left to its
// deadline, where zero means no deadline. It reports false if there should be no
// second attempt: hedges are off, the run time is unknown, or the second attempt
// would not end in time.
func (h *Hedger) Delay(expected, left time.Duration) (wait time.Duration, ok bool) {
	if h.settings.HedgeAfter <= 0 || expected <= 0 {
		return 0, false
	}
	wait = time.Duration(h.settings.HedgeAfter * float64(expected))
	return wait, left == 0 || wait+expected <= left
}

// TryTake removes one hedge from the budget. It should be called when the hedge is
// due. It reports false and has no effect if the budget does not allow a hedge.
func (h *Hedger) TryTake(now time.Time) bool {
	return h.budget.TryTake(now)
}
