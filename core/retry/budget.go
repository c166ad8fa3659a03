package retry

import "time"

// Budget limits retries to a ratio of first attempts plus a constant rate, in the
// manner of a token bucket. It is not safe for concurrent use.
type Budget struct {
	settings   Settings
	tokens     float64   // number of retries that are allowed now
	lastRefill time.Time // time of the last refill; zero before the first one
}

// NewBudget returns a Budget that is full at first.
func NewBudget(s Settings) *Budget {
	s = s.WithDefaults()
	return &Budget{settings: s, tokens: s.Burst}
}

// RecordFirst records a first attempt, which adds Settings.Ratio retries to the budget.
func (b *Budget) RecordFirst(now time.Time) {
	b.refill(now)
	b.add(b.settings.Ratio)
}

// TryTake removes one retry from the budget. It reports false and has no effect if
// the budget does not allow a retry.
func (b *Budget) TryTake(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the retries of the constant rate since the last call. It adds none
// if the clock has stepped back.
func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); !b.lastRefill.IsZero() && elapsed > 0 {
		b.add(elapsed.Seconds() * b.settings.Rate)
	}
	b.lastRefill = now
}

// add adds retries to the budget, up to Settings.Burst in total.
func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.settings.Burst)
}
