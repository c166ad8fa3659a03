package fair

import (
	"time"
)

// Default values of the fields of Settings, and the weight and floor of a team
// that has none.
const (
	DefaultMaxItems        = 20000
	DefaultMaxBytes        = 256 << 20
	DefaultMaxTeamFraction = 0.75
	DefaultMaxOffers       = 64
	DefaultMaxLag          = 5.0
	DefaultMaxDebt         = 100.0
	DefaultRetryAfter      = time.Second
	DefaultWeight          = 1.0
	DefaultFloor           = 0.1
)

// Settings holds the bounds of a Queue. A field that is not positive means its
// default.
type Settings struct {
	MaxItems        int           // maximum number of items; DefaultMaxItems
	MaxBytes        int           // maximum number of bytes; DefaultMaxBytes
	MaxTeamFraction float64       // maximum fraction of MaxItems and MaxBytes that one team may hold; DefaultMaxTeamFraction
	MaxOffers       int           // maximum number of items that one Pop offers to fits; DefaultMaxOffers
	MaxLag          float64       // maximum service owed to a team that was skipped, in target seconds; DefaultMaxLag
	MaxDebt         float64       // maximum service that a team may owe, in target seconds; DefaultMaxDebt
	RetryAfter      time.Duration // retry hint of a refusal if there is no Gate; DefaultRetryAfter
	Gate            Gate          // refuses work that would miss its deadline; nil admits all work
}

// Gate decides at submission whether work is refused because it would miss its
// deadline.
type Gate interface {
	// Admit reports whether work may be queued, given the work that waits before
	// it. If not, retry is the time after which similar work may be admitted; else
	// retry is a hint for the case that the queue is full.
	Admit(now time.Time, a Candidate) (ok bool, retry time.Duration)
	// Served reports that an item of the given cost left the queue for a target,
	// and the cost left in the queue, both in target seconds. A negative cost
	// cancels an earlier report.
	Served(now time.Time, cost, left float64)
}

// Candidate describes an item that is to be queued, for the decision of a Gate.
type Candidate struct {
	Deadline  time.Time // zero means no deadline
	Cost      float64   // expected cost of the item, in target seconds
	CostAhead float64   // cost of the team's queued items that are at least as urgent, in target seconds
	LevelCost float64   // cost of the team's queued items of the same urgency, in target seconds
	TotalCost float64   // cost of all queued items, in target seconds
	Share     float64   // the team's fraction of the service among the teams with queued items
	Floor     float64   // fraction of the team's service guaranteed to the item's urgency
}

// withDefaults returns s with its unset fields replaced by their defaults.
func (s Settings) withDefaults() Settings {
	s.MaxItems = orDefault(s.MaxItems, DefaultMaxItems)
	s.MaxBytes = orDefault(s.MaxBytes, DefaultMaxBytes)
	s.MaxTeamFraction = orDefault(s.MaxTeamFraction, DefaultMaxTeamFraction)
	s.MaxOffers = orDefault(s.MaxOffers, DefaultMaxOffers)
	s.MaxLag = orDefault(s.MaxLag, DefaultMaxLag)
	s.MaxDebt = orDefault(s.MaxDebt, DefaultMaxDebt)
	s.RetryAfter = orDefault(s.RetryAfter, DefaultRetryAfter)
	return s
}

// orDefault returns v, or fallback if v is not positive.
func orDefault[N int | float64 | time.Duration](v, fallback N) N {
	if v > 0 {
		return v
	}
	return fallback
}
