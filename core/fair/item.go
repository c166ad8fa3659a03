package fair

import (
	"time"

	"gypsumward/core/api"
)

// Item is a unit of work that waits for a target.
type Item[T any] struct {
	Team     string
	Job      string // key for RemoveJob; empty if the work belongs to no job
	Urgency  int    // 0 to api.MaxUrgency; values outside are clamped
	Deadline time.Time
	Cost     float64    // expected cost in target seconds
	Bytes    int        // memory that the item occupies
	Reason   api.Reason // reason of removal; set on the items that Expire returns
	Payload  T
}

// Admission is the result of pushing an item.
type Admission struct {
	Queued     bool
	Reason     api.Reason    // ReasonFull or ReasonDeadline if the item was not queued
	RetryAfter time.Duration // time after which to resubmit the item; zero means not to
}

// minCost is the minimum cost charged for an item, in target seconds.
const minCost = 1e-6

// normalized returns the item with its fields clamped to their ranges and without
// a Reason.
func (it Item[T]) normalized() Item[T] {
	it.Urgency = min(max(it.Urgency, 0), api.MaxUrgency)
	it.Cost = max(it.Cost, minCost)
	it.Bytes = max(it.Bytes, 0)
	it.Reason = ""
	return it
}

// isExpired reports whether the deadline of the item has passed.
func (it *Item[T]) isExpired(now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}
