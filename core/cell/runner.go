package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// Room is an amount of what tasks need.
type Room struct {
	CPU    int // thousandths of a core
	Memory int // megabytes
	GPU    int
}

func (r Room) fits(n Room) bool {
	return n.CPU <= r.CPU && n.Memory <= r.Memory && n.GPU <= r.GPU
}

func (r Room) less(n Room) Room {
	return Room{CPU: r.CPU - n.CPU, Memory: r.Memory - n.Memory, GPU: r.GPU - n.GPU}
}

func (r Room) more(n Room) Room {
	return Room{CPU: r.CPU + n.CPU, Memory: r.Memory + n.Memory, GPU: r.GPU + n.GPU}
}

// Listing is what the directory says of a runner.
type Listing struct {
	ID      string
	Addr    string
	Service string
	Zone    string
	Labels  []string
	Leaving bool
	Born    int64
	Room    Room
}

// Bounds of fencing tokens: each life of a runner under one holder, and each time
// that orders to it are made void, takes one.
const tokensPerEpoch = 1 << 16

// Times of orders.
const (
	leaseMargin = 30 * time.Millisecond // below the lease that a runner grants
	firstAnswer = 60 * time.Millisecond // for the answer to an order, at least
	probePause  = 300 * time.Millisecond
	pollPause   = 12 * time.Millisecond  // between holds while ends are not acknowledged
	strayTime   = 600 * time.Millisecond // for a caller to hand in again the job of a run that was found
	driftPart   = 40                     // a runner's clock may be slower by one part of these
)

// runner is what is known of one runner.
type runner struct {
	Listing
	listed bool
	life   int64 // born
	issued int64 // tokens used so far
	token  int64
	fenced bool // it has answered under the token
	synced bool // it has answered under a token of this holder, so no earlier order is left
	clock  int64
	seen   time.Time // when clock was taken, and the last answer
	since  time.Time // when it was first listed
	asked  time.Time // when the oldest order without answer was given; zero if none is
	until  int64     // highest deadline in any order
	acked  int64
	based  bool // acked is that of the first end listed in this life, or above
	ends   map[int64]bool
	runs   map[runKey]*run
	used   Room
	strays int // runs without a task

	poll, look int64 // tickets of open holds, that wait and that do not
	polled     time.Time
	looked     time.Time
	confirmed  time.Time // when the last hold was sent that this life has answered
	ordered    time.Time // when the last start of a stored job was answered
	next       time.Time // of the next probe
	health     health
	speed      speed
}

type runKey struct {
	task work.Task
	run  int
}

// run is a run of a task that may be alive. Its task is nil if the cell does not
// know it; the runner then counts as full.
type run struct {
	key      runKey
	task     *task
	runner   *runner
	room     Room
	token    int64
	sent     time.Time
	answered time.Time // zero until the start was answered
	seen     time.Time // when percent was last taken
	percent  float64
	moved    time.Time // when percent last changed
	stopping time.Time // when a stop was sent; zero if none was
	stray    bool      // its size is not known
}

// List takes the directory as it is now.
func (c *Cell) List(now time.Time, listings []Listing) {
	there := map[string]bool{}
	for _, l := range listings {
		there[l.ID] = true
		c.enter(now, l)
	}
	for _, r := range c.sorted {
		if r.listed && !there[r.ID] {
			c.log("event", "runner", "runner", r.ID, "state", "unlisted", "runs", len(r.runs))
			r.listed = false
		}
	}
	c.wake()
}

func (c *Cell) enter(now time.Time, l Listing) {
	r := c.runners[l.ID]
	if r == nil {
		r = &runner{since: now, speed: speed{rate: 1}, ends: map[int64]bool{}, runs: map[runKey]*run{}}
		r.Listing = l
		c.runners[l.ID] = r
		at, _ := slices.BinarySearchFunc(c.sorted, l.ID, func(r *runner, id string) int { return strings.Compare(r.ID, id) })
		c.sorted = slices.Insert(c.sorted, at, r)
		c.log("event", "runner", "runner", l.ID, "state", "listed", "service", l.Service, "zone", l.Zone,
			"cpu", l.Room.CPU, "born", l.Born)
	}
	if l.Leaving && !r.Leaving {
		c.log("event", "runner", "runner", l.ID, "state", "leaving", "runs", len(r.runs))
	}
	fresh := l.Addr != r.Addr || (r.life != 0 && l.Born > r.life)
	r.Listing = l
	r.listed = true
	if fresh && r.life != 0 {
		c.log("event", "runner", "runner", l.ID, "state", "restarted", "born", l.Born, "addr", l.Addr)
		c.fence(now, r)
		return
	}
	if r.token == 0 {
		c.fence(now, r)
	}
}

// fence makes all earlier orders to r void, and asks what runs there.
func (c *Cell) fence(now time.Time, r *runner) {
	r.issued++
	r.token = c.Tenure.Epoch*tokensPerEpoch + r.issued
	r.fenced = false
	r.poll, r.look = 0, 0
	c.probe(now, r, 0)
}

// all returns the runs of r in a fixed order.
func (r *runner) all() []*run {
	list := make([]*run, 0, len(r.runs))
	for _, x := range r.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(strings.Compare(a.key.task.Job, b.key.task.Job), cmp.Compare(a.key.task.Step, b.key.task.Step),
			cmp.Compare(a.key.task.Index, b.key.task.Index), cmp.Compare(a.key.run, b.key.run))
	})
	return list
}

func (r *runner) target() order.Target {
	return order.Target{ID: r.ID, Addr: r.Addr}
}

// free returns the room that is left. None is, while a run of unknown size is there.
func (r *runner) free() Room {
	if r.strays > 0 {
		return Room{}
	}
	return r.Room.less(r.used)
}

// silent reports whether an order has been without answer for long.
func (r *runner) silent(now time.Time, limit time.Duration) bool {
	return !r.asked.IsZero() && now.Sub(r.asked) > limit
}

// estimate returns what the runner's clock shows at now.
func (r *runner) estimate(now time.Time) int64 {
	return r.clock + now.Sub(r.seen).Milliseconds()
}

// lapsed reports whether every lease given has certainly ended.
func (r *runner) lapsed(now time.Time, lease time.Duration) bool {
	passed := now.Sub(r.seen)
	passed -= passed / driftPart
	if r.clock == 0 {
		return passed > 2*lease
	}
	return r.clock+passed.Milliseconds() > r.until
}

// deadline returns the deadline of an order given at now, or zero if the runner
// should not be given more time. None is given once another instance may have become
// the holder, which counts on all leases to lapse.
func (c *Cell) deadline(now time.Time, r *runner) int64 {
	if r.clock == 0 || r.silent(now, c.Settings.Silence) || !now.Before(c.leased) {
		return 0
	}
	return r.estimate(now) + (c.Settings.Lease - leaseMargin).Milliseconds()
}

// probe asks what runs and ended, waiting at the runner for up to wait.
func (c *Cell) probe(now time.Time, r *runner, wait time.Duration) {
	c.tickets++
	h := order.Hold{Token: r.token, Acked: r.acknowledged(), Wait: wait}
	if len(r.runs) > 0 || wait > 0 || !c.loaded {
		h.Deadline = c.deadline(now, r)
		r.until = max(r.until, h.Deadline)
	}
	if wait > 0 {
		r.poll, r.polled = c.tickets, now
	} else {
		r.look, r.looked = c.tickets, now
		if r.asked.IsZero() {
			r.asked = now
		}
	}
	c.Counter.Count("holds", 1)
	c.Orders.Hold(r.target(), h, c.tickets)
}

// acknowledged returns up to which end may be acknowledged now. A runner that has
// restarted under its id counts anew, and would forget ends that were never seen: so
// none is while a run of a stored job was started after the last sign of this life.
func (r *runner) acknowledged() int64 {
	for _, x := range r.runs {
		if x.task == nil || x.task.job.Transient {
			continue
		}
		if x.answered.IsZero() || x.answered.After(r.confirmed) {
			return 0
		}
	}
	if r.ordered.After(r.confirmed) {
		return 0
	}
	return r.acked
}

// tend does what is due at a runner: renewing leases, asking again, giving up.
func (c *Cell) tend(r *runner, now time.Time) {
	if r.token == 0 || (!r.listed && len(r.runs) == 0) {
		return
	}
	if r.look != 0 && now.Sub(r.looked) > c.answerTime(r) && now.After(r.next) {
		r.next = now.Add(probePause)
		c.probe(now, r, 0)
	}
	if !r.fenced {
		if !c.loaded && r.look == 0 && now.Sub(r.looked) > c.Settings.Lease/4 {
			c.probe(now, r, 0)
		}
		c.giveUp(now, r)
		return
	}
	if r.look == 0 && len(r.runs) > 0 && time.Duration(r.until-r.estimate(now))*time.Millisecond < c.Settings.Lease*9/20 {
		c.probe(now, r, 0)
	}
	if r.poll == 0 && !c.resting && c.mayPoll(now, r) {
		wait := c.Settings.Idle
		if len(r.runs) > 0 {
			wait = c.Settings.Wait
		}
		c.probe(now, r, wait)
	}
	c.tendRuns(now, r)
	c.giveUp(now, r)
}

// mayPoll reports whether a hold that waits would do so. While ends are not
// acknowledged a runner answers at once.
func (c *Cell) mayPoll(now time.Time, r *runner) bool {
	return len(r.ends) == 0 || now.Sub(r.polled) >= pollPause
}

// answerTime is how long an order may be without answer.
func (c *Cell) answerTime(r *runner) time.Duration {
	return max(firstAnswer, 4*r.health.answer)
}

// tendRuns looks after starts and stops without answer.
func (c *Cell) tendRuns(now time.Time, r *runner) {
	for _, x := range r.all() {
		if x.task == nil && x.stopping.IsZero() && now.Sub(x.sent) > strayTime {
			c.stop(now, x, "not asked for")
		}
		if x.answered.IsZero() && now.Sub(x.sent) > c.answerTime(r) && x.token == r.token {
			c.Counter.Count("unanswered", 1)
			c.log("event", "unanswered", "runner", r.ID, "job", x.key.task.Job, "task", x.key.task.Index,
				"run", x.key.run, "after", now.Sub(x.sent))
			c.fence(now, r)
			return
		}
		if !x.stopping.IsZero() && now.Sub(x.stopping) > c.Settings.Grace+2*c.answerTime(r) {
			x.stopping = time.Time{}
			c.stop(now, x, "again")
		}
	}
}

// giveUp releases the runs of a runner on which every lease has ended.
func (c *Cell) giveUp(now time.Time, r *runner) {
	if len(r.runs) == 0 || !r.silent(now, c.Settings.Silence) || !r.lapsed(now, c.Settings.Lease) {
		return
	}
	c.log("event", "runner", "runner", r.ID, "state", "lost", "runs", len(r.runs), "silent", now.Sub(r.asked))
	for _, x := range r.all() {
		c.release(x)
	}
	c.wake()
}

// Held takes the answer to a hold.
func (c *Cell) Held(now time.Time, id string, given order.Hold, ticket int64, h order.Held) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	sent := time.Time{}
	if r.poll == ticket {
		r.poll, sent = 0, r.polled
	}
	mine := r.look == ticket
	if mine {
		r.look, sent = 0, r.looked
	}
	if !c.heard(now, r, given.Token, h.Verdict) {
		return
	}
	if mine {
		r.health.took(now.Sub(r.looked))
	}
	if h.Born < r.life {
		return
	}
	if h.Born > r.life && r.life != 0 {
		c.reborn(now, r, h)
		return
	}
	r.life = h.Born
	if sent.After(r.confirmed) {
		r.confirmed = sent
	}
	if h.Clock < r.clock && given.Token == r.token && r.fenced {
		return // overtaken by a later answer
	}
	r.take(now, h.Clock)
	if given.Token != r.token {
		return
	}
	if !c.loaded {
		if given.Deadline == 0 {
			c.probe(now, r, 0) // what runs there is kept until the rows tell what it is
		}
		return
	}
	c.ends(now, r, h.Ends)
	if !r.fenced {
		c.sync(now, r, h.Active)
	} else {
		c.observe(now, r, h.Active)
		c.miss(now, r, h.Active, sent)
	}
	c.tend(r, now)
	c.wake()
}

// take notes what the clock of a runner showed.
func (r *runner) take(now time.Time, clock int64) {
	if clock > 0 {
		r.clock, r.seen = clock, now
	}
	r.asked = time.Time{}
}

// heard takes the verdict of an order. It returns false if the order was not carried
// out.
func (c *Cell) heard(now time.Time, r *runner, token int64, v order.Verdict) bool {
	switch v {
	case order.Unknown:
		return false
	case order.Fenced:
		r.asked = time.Time{}
		if token == r.token {
			c.Depose(now, "runner "+r.ID+" has seen a higher token")
		}
		return false
	case order.Other:
		return false
	case order.Unfit:
		r.asked = time.Time{}
		return false
	default:
		return true
	}
}

// reborn takes the first sign of a new life of a runner: all that ran is gone, but
// for what orders on their way may start before a newer token is seen there.
func (c *Cell) reborn(now time.Time, r *runner, h order.Held) {
	c.log("event", "runner", "runner", r.ID, "state", "restarted", "born", h.Born, "runs", len(r.runs))
	r.life = h.Born
	r.clock, r.until, r.acked, r.based = h.Clock, 0, 0, false
	r.seen = now
	r.ends = map[int64]bool{}
	r.confirmed, r.ordered = time.Time{}, time.Time{}
	r.health = health{}
	c.fence(now, r)
}

// sync takes the list of what runs as it is after all earlier orders have become
// void.
func (c *Cell) sync(now time.Time, r *runner, active []order.Active) {
	r.fenced, r.synced = true, true
	listed := map[runKey]bool{}
	for _, a := range active {
		listed[runKey{a.Task, a.Run}] = true
	}
	for _, x := range r.all() {
		if key := x.key; !listed[key] {
			c.log("event", "vanished", "runner", r.ID, "job", key.task.Job, "task", key.task.Index, "run", key.run,
				"answered", !x.answered.IsZero())
			c.release(x)
		}
	}
	c.observe(now, r, active)
	for _, x := range r.all() {
		x.token = r.token
		if x.answered.IsZero() {
			x.answered = now
		}
		if !x.stopping.IsZero() {
			x.stopping = time.Time{}
			c.stop(now, x, "again")
		}
	}
}

// observe takes in how far runs are, and those that the cell did not know of.
func (c *Cell) observe(now time.Time, r *runner, active []order.Active) {
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		x := r.runs[key]
		if x == nil {
			x = c.adopt(now, r, key)
		}
		if a.Percent != x.percent {
			x.moved = now
		}
		x.seen, x.percent = now, a.Percent
	}
}

// miss releases the runs that a list lacks though it was asked for after they were
// known to be there. Their ends have been acknowledged, or the list that showed them
// was overtaken by that of their end.
func (c *Cell) miss(now time.Time, r *runner, active []order.Active, sent time.Time) {
	for _, x := range r.all() {
		if x.answered.IsZero() || !x.answered.Before(sent) {
			continue
		}
		if slices.ContainsFunc(active, func(a order.Active) bool { return x.key == runKey{a.Task, a.Run} }) {
			continue
		}
		c.log("event", "vanished", "runner", r.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run,
			"after", now.Sub(x.answered))
		c.release(x)
	}
}

// adopt books a run that the cell did not start. If its task has no other run, it
// becomes the run of the task, else it is stopped.
func (c *Cell) adopt(now time.Time, r *runner, key runKey) *run {
	x := &run{key: key, runner: r, token: r.token, sent: now, answered: now}
	var t *task
	if j := c.jobs[key.task.Job]; j != nil {
		t = j.task(key.task)
	}
	r.runs[key] = x
	if t == nil {
		x.stray = true
		r.strays++
	} else {
		x.room = need(t.spec())
		r.used = r.used.more(x.room)
	}
	if t != nil && !t.done && t.run == nil && !t.job.state.Ended() && key.run >= t.last {
		x.task = t
		t.run, t.last = x, key.run
		t.job.refresh()
		c.log("event", "adopt", "runner", r.ID, "job", key.task.Job, "task", key.task.Index, "run", key.run)
		return x
	}
	if t != nil || c.jobs[key.task.Job] != nil {
		c.stop(now, x, "not known")
	}
	return x
}

// release takes a run that is certainly over off the books.
func (c *Cell) release(x *run) {
	r := x.runner
	if r.runs[x.key] != x {
		return
	}
	delete(r.runs, x.key)
	r.used = r.used.less(x.room)
	if x.stray {
		r.strays--
	}
	t := x.task
	if t == nil || t.run != x {
		return
	}
	t.run = nil
	j := t.job
	if j.state.Ended() {
		if _, ok := c.ended.jobs[j.ID]; ok && !c.running(j) {
			delete(c.jobs, j.ID)
		}
		return
	}
	j.refresh()
	c.enlist(j)
}

// stop orders a run to end. It stays on the books until its end is listed.
func (c *Cell) stop(now time.Time, x *run, why string) {
	if !x.stopping.IsZero() {
		return
	}
	x.stopping = now
	c.Counter.Count("stops", 1)
	c.log("event", "stop", "runner", x.runner.ID, "job", x.key.task.Job, "task", x.key.task.Index, "run", x.key.run, "why", why)
	c.Orders.Stop(x.runner.target(), order.Stop{Task: x.key.task, Run: x.key.run, Token: x.runner.token})
}

// Stopped takes the answer to a stop.
func (c *Cell) Stopped(now time.Time, id string, given order.Stop, v order.Reply) {
	r := c.runners[id]
	if r == nil || c.deposed {
		return
	}
	if c.heard(now, r, given.Token, v.Verdict) {
		r.take(now, max(v.Clock, r.clock))
	}
}
