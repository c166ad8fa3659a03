//go:build bench

package bench_test

import (
	"time"

	"gypsumward/core/admit"
	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
	"gypsumward/core/fair"
)

// Settings of the experiments on shares. The flood belongs to the team floodTeam.
const (
	floodTeam       = "flood"
	floodFloor      = 0.1
	queueBound      = 2000                   // calls that one instance queues
	unknownKindCost = 300 * time.Millisecond // expected run time of a kind that has not run yet
	othersTimeout   = 10 * time.Second
	floodTimeout    = 5 * time.Second
	floodFactor     = 10.0 // rate of the flood relative to the rate that the fleet can serve
)

// otherTeams are the teams that do not flood.
var otherTeams = []string{"a", "b", "c"}

// shareQueue is a fleet.Queue that orders calls by a fair.Queue.
type shareQueue struct {
	queue     *fair.Queue[*fleet.Call]
	chooser   *choose.Chooser
	gate      *admit.Gate
	drop      func(c *fleet.Call, now bool) // called with a call that is refused now or dropped later
	competing int                           // number of calls that compete with the one offered
}

// newShareQueue returns a queue in which all teams have equal weights. If refuseLate is set,
// calls that would be late are refused on arrival.
func newShareQueue(c *choose.Chooser, refuseLate bool, seed uint64) *shareQueue {
	s := fair.Settings{MaxItems: queueBound}
	q := &shareQueue{chooser: c}
	if refuseLate {
		q.gate = admit.New(admit.Settings{Seed: seed})
		s.Gate = q.gate
	}
	q.queue = fair.New[*fleet.Call](s)
	for _, team := range append([]string{floodTeam}, otherTeams...) {
		q.queue.SetTeamWeight(team, 1, floodFloor)
	}
	return q
}

// Len returns the number of calls that compete with the one that is offered. The chooser
// weighs it against the speed of idle targets.
func (q *shareQueue) Len() int {
	return q.competing
}

// cost returns the expected run time of a call in seconds.
func (q *shareQueue) cost(c *fleet.Call) float64 {
	if d := q.chooser.ExpectedRunTime(c.Kind); d > 0 {
		return d.Seconds()
	}
	return unknownKindCost.Seconds()
}

// Push queues or refuses a call.
func (q *shareQueue) Push(now time.Time, c *fleet.Call) bool {
	v := q.queue.Push(now, fair.Item[*fleet.Call]{
		Team: c.Team, Urgency: c.Urgency, Deadline: c.ArrivedAt.Add(c.Timeout), Cost: q.cost(c), Bytes: 1, Payload: c,
	})
	if !v.Queued {
		q.drop(c, true)
	}
	q.dropExpired(now)
	return v.Queued
}

// dropExpired drops calls that passed their deadline or were displaced by others.
func (q *shareQueue) dropExpired(now time.Time) {
	for _, it := range q.queue.Expire(now) {
		q.drop(it.Payload, false)
	}
}

// Next offers calls in order of shares until one is placed. It returns whether one was.
func (q *shareQueue) Next(now time.Time, place func(*fleet.Call) bool) bool {
	q.dropExpired(now)
	_, ok := q.queue.Pop(now, func(it fair.Item[*fleet.Call]) bool {
		q.competing = q.queue.CompetingItems(it.Team)
		return place(it.Payload)
	})
	return ok
}

// boundedFIFO is a queue in order of arrival that drops calls past their deadline and
// refuses calls beyond its bound.
type boundedFIFO struct {
	fleet.FIFO
	bound int
	drop  func(c *fleet.Call, now bool)
}

func (q *boundedFIFO) Push(now time.Time, c *fleet.Call) bool {
	if q.Len() >= q.bound {
		q.drop(c, true)
		return false
	}
	return q.FIFO.Push(now, c)
}

func (q *boundedFIFO) Next(now time.Time, place func(*fleet.Call) bool) bool {
	return q.FIFO.Next(now, func(c *fleet.Call) bool {
		if now.After(c.ArrivedAt.Add(c.Timeout)) {
			q.drop(c, false)
			return true
		}
		return place(c)
	})
}
