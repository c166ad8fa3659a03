package fair

import (
	"time"

	"gypsumward/core/api"
)

// Push queues an item, or refuses it because it would miss its deadline or because
// the queue is full. Items that are evicted for the new one are returned by Expire.
func (q *Queue[T]) Push(now time.Time, it Item[T]) Admission {
	it = it.normalized()
	if it.isExpired(now) {
		return Admission{Reason: api.ReasonDeadline}
	}
	t := q.team(it.Team)
	fullRetryAfter := q.settings.RetryAfter
	if q.settings.Gate != nil {
		ok, retryAfter := q.settings.Gate.Admit(now, q.candidate(t, &it))
		if !ok {
			return Admission{Reason: api.ReasonDeadline, RetryAfter: retryAfter}
		}
		fullRetryAfter = max(retryAfter, wheelTick)
	}
	if !q.evictFor(t, &it) {
		return Admission{Reason: api.ReasonFull, RetryAfter: fullRetryAfter}
	}
	q.insert(t, it)
	return Admission{Queued: true}
}

// candidate returns the description of a new item of a team for the Gate.
func (q *Queue[T]) candidate(t *team, it *Item[T]) Candidate {
	weights := q.weights
	if t.count == 0 {
		weights += t.weight
	}
	c := Candidate{
		Deadline:  it.Deadline,
		Cost:      it.Cost,
		CostAhead: t.costAtOrAbove(it.Urgency),
		LevelCost: t.levels[it.Urgency].cost,
		TotalCost: q.cost,
		Share:     t.weight / weights,
		Floor:     1,
	}
	if t.nonEmpty>>it.Urgency>>1 != 0 {
		c.Floor = t.floor
	}
	return c
}

// evictFor evicts items until the new one fits within the bounds. It reports false
// if the new item must be refused instead.
func (q *Queue[T]) evictFor(t *team, it *Item[T]) bool {
	s := &q.settings
	if float64(it.Bytes) > s.MaxTeamFraction*float64(s.MaxBytes) {
		return false
	}
	for {
		teamFull := float64(t.count+1) > s.MaxTeamFraction*float64(s.MaxItems) ||
			float64(t.bytes+it.Bytes) > s.MaxTeamFraction*float64(s.MaxBytes)
		if !teamFull && q.count < s.MaxItems && q.bytes+it.Bytes <= s.MaxBytes {
			return true
		}
		if len(q.dropped) >= s.MaxItems {
			return false // Expire is not being called
		}
		if !q.evictOne(t, it, teamFull) {
			return false
		}
	}
}

// evictOne drops one item in favour of the new one. The item is taken from the team
// with the highest load, or from the new item's own team if teamFull is set or no
// other team has a higher load. evictOne reports false if the new item itself is
// the one to evict.
func (q *Queue[T]) evictOne(t *team, it *Item[T], teamFull bool) bool {
	if !teamFull {
		heaviest := q.loaded.top()
		if heaviest != t && -heaviest.keys[byLoad] > q.load(t, 1, it.Bytes) {
			q.drop(heaviest.levels[heaviest.evictionLevel(noUrgency)].tail, api.ReasonFull)
			return true
		}
	}
	victim := t.evictionLevel(it.Urgency)
	if victim == it.Urgency || t.levels[victim].size == 0 {
		return false
	}
	q.drop(t.levels[victim].tail, api.ReasonFull)
	return true
}
