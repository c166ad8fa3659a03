package fair

import (
	"time"

	"gypsumward/core/api"
)

// maxLevelOffers is the maximum number of items of one team and urgency that one
// Pop offers to fits.
const maxLevelOffers = 8

// Pop removes and returns the next item to serve. This is the oldest of the most
// urgent items of the team with the lowest pass, unless the floor entitles less
// urgent work of that team to service. Only items for which fits returns true are
// served; a nil fits accepts any item. The others are skipped and keep their
// position. At most Settings.MaxOffers items are offered to fits. Pop reports false
// if no item was found.
func (q *Queue[T]) Pop(now time.Time, fits func(Item[T]) bool) (Item[T], bool) {
	s := search{offersLeft: q.settings.MaxOffers}
	for s.found == none && s.offersLeft > 0 && len(q.ready.teams) > 0 {
		t := q.ready.top()
		q.searchTeam(now, t, fits, &s)
		if s.found == none && t.count > 0 {
			q.ready.remove(t)
			q.skipped = append(q.skipped, t)
		}
	}
	for i, t := range q.skipped {
		q.ready.put(t, t.pass)
		q.skipped[i] = nil
	}
	q.skipped = q.skipped[:0]
	if s.found == none {
		return Item[T]{}, false
	}
	return q.serve(now, s.found), true
}

// search is the state of one call of Pop.
type search struct {
	offersLeft int   // items that may still be offered
	found      int32 // index of the item that fits, or none
}

// searchTeam searches the levels of a team for an item that fits. It begins with
// the lower level that the floor entitles to service, if any, and otherwise with the
// most urgent one.
func (q *Queue[T]) searchTeam(now time.Time, t *team, fits func(Item[T]) bool, s *search) {
	first := t.topLevel()
	if t.lowerLevels() != 0 {
		due := t.nextLowerLevel()
		head := &q.store.entries[t.levels[due].head].item
		if t.floor > 0 && t.credit >= min(head.Cost, maxCredit) {
			first = due
		}
	}
	q.searchLevel(now, t, first, fits, s)
	for u := levels - 1; u >= 0 && s.found == none; u-- {
		if u != first && t.nonEmpty&(1<<u) != 0 {
			q.searchLevel(now, t, u, fits, s)
		}
	}
}

// searchLevel offers the oldest items of a level to fits. Items whose deadline has
// passed are dropped.
func (q *Queue[T]) searchLevel(now time.Time, t *team, u int, fits func(Item[T]) bool, s *search) {
	levelOffersLeft := min(maxLevelOffers, s.offersLeft)
	for i := t.levels[u].head; i != none && levelOffersLeft > 0; {
		e := &q.store.entries[i]
		next := e.links[levelChain].next
		switch {
		case e.item.isExpired(now):
			q.drop(i, api.ReasonDeadline)
		case fits == nil || fits(e.item):
			s.found = i
			return
		default:
			levelOffersLeft--
			s.offersLeft--
		}
		i = next
	}
}

// serve removes an item that is to be sent to a target and charges its cost to the
// team.
func (q *Queue[T]) serve(now time.Time, i int32) Item[T] {
	e := &q.store.entries[i]
	t, cost := e.team, e.item.Cost
	t.recordService(e.item.Urgency, cost)
	t.pass = max(t.pass, q.virtualTime-q.settings.MaxLag/t.weight)
	q.virtualTime = max(q.virtualTime, t.pass)
	t.pass += cost / t.weight
	it := q.removeEntry(i)
	if t.count > 0 {
		q.ready.put(t, t.pass)
	}
	if q.settings.Gate != nil {
		q.settings.Gate.Served(now, cost, q.cost)
	}
	return it
}
