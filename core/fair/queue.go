package fair

import (
	"time"

	"gypsumward/core/api"
)

// Queue holds work that waits for a target, by team and urgency. It is not safe for
// concurrent use.
type Queue[T any] struct {
	settings    Settings
	teams       map[string]*team
	ready       heap // teams with items, lowest pass first
	loaded      heap // teams with items, highest load first
	store       store[T]
	jobs        map[string]chain
	wheel       wheel
	virtualTime float64 // highest pass at which a team was served
	weights     float64 // sum of the weights of the teams with items
	cost        float64 // cost of the queued items, in target seconds
	count       int
	bytes       int
	dropped     []Item[T] // items that the next Expire returns
	skipped     []*team   // teams without a fitting item; used within Pop only
}

// New returns an empty queue with the given bounds.
func New[T any](s Settings) *Queue[T] {
	return &Queue[T]{
		settings: s.withDefaults(),
		teams:    make(map[string]*team),
		ready:    heap{kind: byPass},
		loaded:   heap{kind: byLoad},
		jobs:     make(map[string]chain),
		wheel:    wheel{buckets: make([]chain, wheelBuckets)},
	}
}

const invalidWeight = "fair: weight must be positive and floor from 0 to below 1"

// SetTeamWeight sets the weight of a team and its floor, the fraction of the team's service
// that is reserved for work less urgent than the team's most urgent. A team for
// which it was never called has DefaultWeight and DefaultFloor. SetTeamWeight panics
// if weight is not positive or floor is not in [0, 1).
func (q *Queue[T]) SetTeamWeight(name string, weight, floor float64) {
	if !(weight > 0) || !(floor >= 0 && floor < 1) {
		panic(invalidWeight)
	}
	t := q.team(name)
	if t.count > 0 {
		q.weights += weight - t.weight
	}
	t.weight = weight
	t.floor = floor
	q.updateLoad(t)
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	return q.count
}

// Bytes returns the sum of the Bytes of the queued items.
func (q *Queue[T]) Bytes() int {
	return q.bytes
}

// Cost returns the cost of the queued items in target seconds.
func (q *Queue[T]) Cost() float64 {
	return q.cost
}

// TeamCost returns the cost of the queued items of a team in target seconds.
func (q *Queue[T]) TeamCost(name string) float64 {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	return t.costAtOrAbove(0)
}

// CompetingItems estimates the number of queued items that compete with the next item of a
// team: the team's own, and those of other teams that are served between them
// according to the weights. It is zero for a team without queued items.
func (q *Queue[T]) CompetingItems(name string) int {
	t := q.teams[name]
	if t == nil || t.count == 0 {
		return 0
	}
	return min(q.count, int(float64(t.count)*q.weights/t.weight))
}

// Charge corrects the service accounted for an item that was served earlier. The
// cost is the actual cost minus the expected one, in target seconds, and may be
// negative. The correction is limited by Settings.MaxDebt and Settings.MaxLag.
func (q *Queue[T]) Charge(name string, cost float64) {
	t := q.team(name)
	t.pass += cost / t.weight
	t.pass = min(t.pass, q.virtualTime+q.settings.MaxDebt/t.weight)
	t.pass = max(t.pass, q.virtualTime-q.settings.MaxLag/t.weight)
	if t.count > 0 {
		q.ready.put(t, t.pass)
	}
}

// team returns the state of a team, which is created if it does not exist.
func (q *Queue[T]) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, number: len(q.teams), weight: DefaultWeight, floor: DefaultFloor}
		q.teams[name] = t
	}
	return t
}

// insert adds an item to the queue without checking the bounds.
func (q *Queue[T]) insert(t *team, it Item[T]) {
	i := q.store.add(it, t)
	l := &t.levels[it.Urgency]
	q.store.link(levelChain, &l.chain, i)
	l.cost += it.Cost
	t.nonEmpty |= 1 << it.Urgency
	if it.Job != "" {
		c := q.jobs[it.Job]
		q.store.link(jobChain, &c, i)
		q.jobs[it.Job] = c
	}
	if !it.Deadline.IsZero() {
		q.store.link(wheelChain, q.wheel.bucket(it.Deadline), i)
	}
	if t.count == 0 {
		t.pass = max(t.pass, q.virtualTime)
		q.weights += t.weight
		q.ready.put(t, t.pass)
	}
	t.count++
	t.bytes += it.Bytes
	q.count++
	q.bytes += it.Bytes
	q.cost += it.Cost
	q.updateLoad(t)
}

// removeEntry removes an entry from the queue and returns its item.
func (q *Queue[T]) removeEntry(i int32) Item[T] {
	it, t := q.store.entries[i].item, q.store.entries[i].team
	q.unlink(i, it, t)
	q.store.release(i)
	t.count--
	t.bytes -= it.Bytes
	q.count--
	q.bytes -= it.Bytes
	q.cost -= it.Cost
	if q.count == 0 {
		q.cost = 0 // prevents the accumulation of rounding errors
	}
	if t.count == 0 {
		t.credit = 0
		q.weights -= t.weight
		if q.count == 0 {
			q.weights = 0
		}
		q.ready.remove(t)
		q.loaded.remove(t)
		return it
	}
	q.updateLoad(t)
	return it
}

// unlink removes an entry from its chains.
func (q *Queue[T]) unlink(i int32, it Item[T], t *team) {
	l := &t.levels[it.Urgency]
	q.store.unlink(levelChain, &l.chain, i)
	l.cost -= it.Cost
	if l.size == 0 {
		l.cost = 0
		t.nonEmpty &^= 1 << it.Urgency
	}
	if it.Job != "" {
		c := q.jobs[it.Job]
		q.store.unlink(jobChain, &c, i)
		q.jobs[it.Job] = c
		if c.size == 0 {
			delete(q.jobs, it.Job)
		}
	}
	if !it.Deadline.IsZero() {
		q.store.unlink(wheelChain, q.wheel.bucket(it.Deadline), i)
	}
}

// updateLoad updates the position of a team in the heap of loads after its weight
// or its items have changed.
func (q *Queue[T]) updateLoad(t *team) {
	if t.count > 0 {
		q.loaded.put(t, -q.load(t, 0, 0))
	}
}

// load returns the fraction of the queue that a team uses, over its weight. The
// usage includes count additional items with the given bytes.
func (q *Queue[T]) load(t *team, count, bytes int) float64 {
	byCount := float64(t.count+count) / float64(q.settings.MaxItems)
	byBytes := float64(t.bytes+bytes) / float64(q.settings.MaxBytes)
	return max(byCount, byBytes) / t.weight
}

// drop removes an entry and keeps its item for Expire.
func (q *Queue[T]) drop(i int32, reason api.Reason) {
	it := q.removeEntry(i)
	it.Reason = reason
	q.dropped = append(q.dropped, it)
}

// Expire removes the items whose deadline has passed. It returns these and the
// items that were evicted since the last call, each with its Reason. Expire is
// cheap and should be called every few milliseconds.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	first, last := q.wheel.pendingTicks(now)
	for at := first; at <= last; at++ {
		q.expire(now, q.wheel.at(at))
	}
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// expire drops the items of one bucket whose deadline has passed.
func (q *Queue[T]) expire(now time.Time, c *chain) {
	for i := c.head; i != none; {
		next := q.store.next(wheelChain, i)
		if q.store.entries[i].item.isExpired(now) {
			q.drop(i, api.ReasonDeadline)
		}
		i = next
	}
}

// Remove removes and returns all items that match. Its cost is proportional to the
// capacity in use; RemoveJob is faster for the items of a job.
func (q *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for i := range q.store.entries {
		if q.store.entries[i].team != nil && match(q.store.entries[i].item) {
			removed = append(removed, q.removeEntry(int32(i)))
		}
	}
	return removed
}

// RemoveJob removes and returns the items of a job, oldest first. Its cost depends
// on their number only.
func (q *Queue[T]) RemoveJob(job string) []Item[T] {
	c, ok := q.jobs[job]
	if !ok {
		return nil
	}
	removed := make([]Item[T], 0, c.size)
	for i := c.head; i != none; {
		next := q.store.next(jobChain, i)
		removed = append(removed, q.removeEntry(i))
		i = next
	}
	return removed
}
