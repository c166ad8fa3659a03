// Package fair provides a weighted fair queue in which accepted work waits for a
// target.
//
// A Queue divides service between teams by weight, using stride scheduling. Each
// team has a pass, a virtual time that advances by cost over weight with each item
// served; the team with the lowest pass is served next. A team without queued
// items accumulates no service: when it queues items again, its pass is raised to
// the virtual time of the queue.
//
// Urgency orders the work of one team only, so that many urgent items of one team
// take no service from another. Within a team a floor, a fraction of the team's
// service, is reserved for work that is less urgent than the team's most urgent.
//
// The queue is bounded by number of items and by bytes, in total and for each team.
// When it is full, the newest of the least urgent items is evicted from the team
// with the highest ratio of queue usage to weight; this may be the new item.
// Evicted items and items whose deadline has passed are returned by Expire with
// their Reason set and are kept until then. Every accepted item therefore leaves
// the queue exactly once: by Pop, Remove, RemoveJob or Expire.
//
// Costs are in target seconds: the time for which an item occupies one slot of a
// target.
package fair
