package cell

import (
	"math/bits"
	"time"

	"gypsumward/core/interference"
)

// Weight of the cost of interference among runners that would finish a task in time. The bound keeps it
// below the weight of a preferred rack and of a late end.
const (
	interferenceWeight     = 3.0
	maxInterferencePenalty = 4.0
)

// spareDivisor sets the part of the capacity, 1/spareDivisor, that must be free for interference to
// change the choice of a runner. With less, tasks that are spread over more runners may leave no
// room for larger ones.
const spareDivisor = 8

// minRoomyRunners is the number of runners with room for the largest task of the last time that must be left
// for interference to change the choice of a runner, so that one remains for such a task.
const minRoomyRunners = 2

// largestPeriod is the time after which the largest task of a period is that of the previous one. Large
// tasks of the last one to two periods count.
const largestPeriod = time.Minute

// Limits of what is recorded and logged.
const (
	maxPresentKinds     = 16 // kinds of which the presence on one runner is recorded
	interferenceUpdate  = time.Second
	maxInterferenceLogs = 20 // lines an update
)

// interferenceWatch holds what is known of the interference of kinds of tasks.
type interferenceWatch struct {
	model   *interference.Model
	now     time.Time // of the event that is being processed
	updated time.Time
	spare   int       // CPU that is free beyond the part that must be, in thousandths of a core
	roomy   int       // runners with room for the largest task
	largest [2]int    // CPU of the largest task that was started in this period and in the previous one
	period  time.Time // when this period began
	costly  bool      // a runner was rated lower for interference since the last start
}

// presence records the kinds of the runs on a runner: their numbers, and for how long they were
// present. Both slices have the same order.
type presence struct {
	groups []interference.Group
	times  []presenceTime
	runs   int
}

// presenceTime is the time for which runs of a kind were present on a runner.
type presenceTime struct {
	any     time.Duration // at least one
	several time.Duration // at least two
	since   time.Time     // up to when the times are counted
}

// runWatch is the state of a runner when a run was started there.
type runWatch struct {
	kind    interference.Kind
	started time.Time
	adopted bool // it was started by another holder, so that its run time is not known
	before  []presenceMark
}

// presenceMark is the time for which a kind had been present.
type presenceMark struct {
	kind  interference.Kind
	times presenceTime
}

// kind returns the kind of t: its queue and the CPU that it needs, by powers of two.
func (t *task) kind() interference.Kind {
	return interference.Kind{Queue: t.job.Queue.Name, Size: bits.Len(uint(max(t.spec().CPU, 0)))}
}

// updateInterference begins or ends the watch according to the settings, and updates the beliefs once
// per interferenceUpdate.
func (c *Cell) updateInterference(now time.Time) {
	w := c.interference
	if !c.Settings.Interference {
		if w != nil {
			c.endWatch()
		}
		return
	}
	if w == nil {
		w = &interferenceWatch{model: interference.New(), updated: now}
		c.interference = w
	}
	w.now = now
	if now.Sub(w.updated) < interferenceUpdate {
		return
	}
	w.updated = now
	c.logInterference(now, w.model.Update(now))
	if m, ok := c.Metrics.(pairMetrics); ok {
		m.SetInterference(c.Term.Cell, w.model.Pairs())
	}
}

// pairMetrics is implemented by Metrics that show which pairs of kinds are believed to interfere in a
// cell. SetInterference replaces the pairs of a cell. It is called once per interferenceUpdate.
type pairMetrics interface {
	SetInterference(cell string, pairs []interference.Pair)
}

// endWatch drops what is known of interference.
func (c *Cell) endWatch() {
	c.interference = nil
	for _, r := range c.runners {
		r.presence = nil
		for _, x := range r.runs {
			x.watch = nil
		}
	}
}

// logInterference logs the pairs of kinds that are newly believed to interfere, or no longer. There
// is at most one change of a pair in an update.
func (c *Cell) logInterference(now time.Time, changes []interference.Change) {
	for i, change := range changes {
		state, counter := "begins", "interference_begins"
		if change.Ended {
			state, counter = "ends", "interference_ends"
		}
		c.Metrics.Count(counter, 1)
		if i >= maxInterferenceLogs {
			continue
		}
		c.log("event", "interference", "state", state, "queue", change.Kind.Queue, "size", change.Kind.Size,
			"beside", change.Beside.Queue, "besidesize", change.Beside.Size, "factor", change.Factor, "age", now.Sub(change.Since),
			"omitted", max(len(changes)-maxInterferenceLogs, 0))
	}
}

// setWatchTime sets the time up to which presence is counted when a run is released.
func (c *Cell) setWatchTime(now time.Time) {
	if c.interference != nil {
		c.interference.now = now
	}
}

// measureSpare determines how much capacity is free beyond the part that must be. It is to be called
// before tasks are placed.
func (c *Cell) measureSpare(now time.Time) {
	w := c.interference
	if w == nil {
		return
	}
	if now.Sub(w.period) >= largestPeriod {
		w.largest, w.period = [2]int{0, w.largest[0]}, now
	}
	capacity, free := 0, 0
	w.roomy = 0
	for _, r := range c.sorted {
		if !r.isListed(now) || r.Draining {
			continue
		}
		capacity += r.Capacity.CPU
		free += max(r.free().CPU, 0)
		if r.free().CPU >= w.largestTask() {
			w.roomy++
		}
	}
	w.now, w.spare = now, free-capacity/spareDivisor
}

// largestTask returns the CPU of the largest task that was started lately.
func (w *interferenceWatch) largestTask() int { return max(w.largest[0], w.largest[1]) }

// useSpare records that x, which has been added to its runner, takes a part of what is free.
func (w *interferenceWatch) useSpare(x *run) {
	w.spare -= x.resources.CPU
	if free := x.runner.free().CPU; free < w.largestTask() && free+x.resources.CPU >= w.largestTask() {
		w.roomy--
	}
	w.largest[0] = max(w.largest[0], x.resources.CPU)
}

// interferenceCost returns the expected cost of placing t on r, as a factor of its run time, for the
// tasks that run there and for itself. It is 1 if nothing is known, if little capacity is free or on too
// few runners, or if tasks of a job that comes earlier wait, to which the choice may matter.
func (c *Cell) interferenceCost(t *task, r *runner) float64 {
	w := c.interference
	if w == nil || r.presence == nil || w.spare < requirements(t.spec()).CPU || w.roomy < minRoomyRunners ||
		(len(c.ready) > 0 && c.ready[0] != t.job) {
		return 1
	}
	cost := w.model.Cost(t.kind(), r.presence.groups)
	w.costly = w.costly || cost > 1
	return cost
}

// interferencePenalty returns by how much the score of a runner is reduced on which a task would have
// the given cost.
func interferencePenalty(cost float64) float64 {
	return min(interferenceWeight*(cost-1), maxInterferencePenalty)
}

// watchStart records that x starts.
func (c *Cell) watchStart(now time.Time, x *run) {
	w := c.interference
	if w == nil {
		return
	}
	if w.costly {
		counter := "interference_avoided"
		if c.interferenceCost(x.task, x.runner) > 1 {
			counter = "interference_accepted"
		}
		c.Metrics.Count(counter, 1)
	}
	w.costly = false
	w.now = now
	w.useSpare(x)
	x.watch = &runWatch{kind: x.task.kind(), started: now}
	c.addPresence(now, x)
}

// watchAdopted records that x, a run of t that another holder has started, is on its runner.
func (c *Cell) watchAdopted(now time.Time, x *run, t *task) {
	if c.interference == nil || x.watch != nil {
		return
	}
	x.watch = &runWatch{kind: t.kind(), started: now, adopted: true}
	c.addPresence(now, x)
}

// addPresence adds x to the runs on its runner, and records what was present there before.
func (c *Cell) addPresence(now time.Time, x *run) {
	p := x.runner.presence
	if p == nil {
		p = &presence{}
		x.runner.presence = p
	}
	p.advance(now)
	i := p.index(now, x.watch.kind)
	if i < 0 {
		x.watch = nil
		return
	}
	if !x.watch.adopted {
		x.watch.before = make([]presenceMark, len(p.times))
		for n, times := range p.times {
			x.watch.before[n] = presenceMark{kind: p.groups[n].Kind, times: times}
		}
	}
	p.groups[i].Count++
	p.runs++
}

// watchEnd removes x from the runs on its runner.
func (c *Cell) watchEnd(x *run) {
	w, p := c.interference, x.runner.presence
	if w == nil || p == nil || x.watch == nil {
		return
	}
	p.advance(w.now)
	if i := p.find(x.watch.kind); i >= 0 {
		p.groups[i].Count--
	}
	x.watch = nil
	if p.runs--; p.runs == 0 {
		x.runner.presence = nil
	}
}

// observeInterference adds the run time of x, in milliseconds, and what ran beside it to what is
// known. Members of a gang are left out, since they wait for the slowest one.
func (c *Cell) observeInterference(now time.Time, x *run, elapsed float64) {
	w, p := c.interference, x.runner.presence
	if w == nil || p == nil || x.watch == nil || x.watch.adopted || x.task.spec().Gang {
		return
	}
	p.advance(now)
	j := x.task.job
	w.model.Observe(now, interference.Observation{
		Kind: x.watch.kind, Runner: x.runner.ID, Job: j.ID, RunTime: elapsed, Expected: c.expectedRunTime(j, x.task.step),
		Beside: p.since(now, x.watch),
	})
}

// since returns the kinds that were present on a runner beside a run, up to now.
func (p *presence) since(now time.Time, x *runWatch) []interference.Neighbour {
	total := now.Sub(x.started)
	if total <= 0 {
		return nil
	}
	list := make([]interference.Neighbour, 0, len(p.times))
	for i, times := range p.times {
		kind, before := p.groups[i].Kind, presenceTime{}
		for _, mark := range x.before {
			if mark.kind == kind {
				before = mark.times
			}
		}
		present := times.any - before.any
		if kind == x.kind {
			present = times.several - before.several // the run itself is one of them
		}
		if present > 0 {
			list = append(list, interference.Neighbour{Kind: kind, Fraction: min(float64(present)/float64(total), 1)})
		}
	}
	return list
}

// advance counts the times up to now.
func (p *presence) advance(now time.Time) {
	for i := range p.times {
		t := &p.times[i]
		passed := max(now.Sub(t.since), 0)
		if p.groups[i].Count >= 1 {
			t.any += passed
		}
		if p.groups[i].Count >= 2 {
			t.several += passed
		}
		t.since = now
	}
}

// find returns the index of a kind, or -1 if it is not recorded.
func (p *presence) find(kind interference.Kind) int {
	for i := range p.groups {
		if p.groups[i].Kind == kind {
			return i
		}
	}
	return -1
}

// index returns the index of a kind, which is recorded from now on. It returns -1 if there are too
// many. A kind that no longer runs there makes room for another one; a run that has seen it leave
// does not count the time of it.
func (p *presence) index(now time.Time, kind interference.Kind) int {
	if i := p.find(kind); i >= 0 {
		return i
	}
	if len(p.groups) < maxPresentKinds {
		p.groups = append(p.groups, interference.Group{Kind: kind})
		p.times = append(p.times, presenceTime{since: now})
		return len(p.groups) - 1
	}
	for i := range p.groups {
		if p.groups[i].Count == 0 {
			p.groups[i] = interference.Group{Kind: kind}
			p.times[i] = presenceTime{since: now}
			return i
		}
	}
	return -1
}
