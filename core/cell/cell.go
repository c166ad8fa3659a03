package cell

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// Orders gives orders to runners. Each answer comes back as one message: Started,
// Stopped or Held, with what was given here.
type Orders interface {
	Start(to order.Target, s order.Start)
	Stop(to order.Target, s order.Stop)
	Hold(to order.Target, h order.Hold, ticket int64)
}

// Store writes rows. The answer comes back as the message Written with the same
// number.
type Store interface {
	Write(number int64, w table.Write)
}

// Counter counts what happens. Its methods must not block.
type Counter interface {
	Count(what string, n int)
	Took(what string, d time.Duration)
}

// Tenure tells which holding of the cell this is.
type Tenure struct {
	Name    string // of the cell; the first part of its keys
	Row     string // key of the row of the holder
	Epoch   int64  // version of that row, above all former ones
	Round   int    // number of holders so far
	Runners int    // that the former holder had; zero if there was none
}

// Cell decides what runs where. Its exported fields are set before the first call.
type Cell struct {
	Tenure   Tenure
	Settings Settings
	Orders   Orders
	Store    Store
	Adviser  Adviser // nil if there is none
	Log      log.Logger
	Counter  Counter
	Wall     func() int64 // time of day, in milliseconds since 1970

	jobs     map[string]*job
	runners  map[string]*runner
	sorted   []*runner // by id
	ready    []*job    // with tasks to start, by due time
	ledger   ledger
	times    times
	ended    ended
	tickets  int64
	scratch  []*runner
	rack     string // on which the tasks that are placed now should be; empty for any
	reported time.Time

	advising   bool      // a question to the adviser is on its way
	adviceNext time.Time // when the next one may be asked

	loaded  bool      // the rows have been read
	safe    bool      // no run of a former holder is left that is not booked
	safeAt  time.Time // when that is so by time alone
	deposed bool
	woken   bool      // Settle has something to do
	resting bool      // gives no more orders
	leased  time.Time // until when no other instance can have become the holder
}

// New returns a cell without jobs and runners.
func New(t Tenure, s Settings, now time.Time) *Cell {
	s = s.withDefaults()
	return &Cell{
		Tenure:   t,
		Settings: s,
		Log:      log.NewNopLogger(),
		Counter:  none{},
		Wall:     func() int64 { return time.Now().UnixMilli() },
		jobs:     map[string]*job{},
		runners:  map[string]*runner{},
		ledger:   ledger{flights: map[int64]*flight{}},
		times:    times{queues: map[string]*queueTimes{}, kinds: map[string]*kindSpeed{}},
		ended:    ended{jobs: map[string]final{}},
		safeAt:   now.Add(s.Lease + s.Lease/leaseSlack),
		safe:     t.Round <= 1,
	}
}

// leaseSlack is the part of a lease, as its inverse, that is waited beyond it.
const leaseSlack = 8

// Deposed reports whether another instance holds the cell. The cell does nothing
// from then on.
func (c *Cell) Deposed() bool {
	return c.deposed
}

// Depose ends the cell. Callers that wait are told that the outcome is open.
func (c *Cell) Depose(now time.Time, why string) {
	if c.deposed {
		return
	}
	c.deposed = true
	c.log("event", "deposed", "why", why, "epoch", c.Tenure.Epoch)
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		j.tell(Outcome{Verdict: Open})
		j.tellCancel(work.Unknown, false)
		j.tellAsked(work.Unknown)
	}
}

// Rest stops giving orders to start, so that a successor finds nothing on its way.
func (c *Cell) Rest() {
	c.resting = true
}

// Idle reports whether no write is open.
func (c *Cell) Idle() bool {
	return len(c.ledger.flights) == 0 && len(c.ledger.dirty) == 0 // rows to be removed may wait
}

// Runners returns the number of runners that orders can be given to.
func (c *Cell) Runners() int {
	n := 0
	for _, r := range c.sorted {
		if r.fenced {
			n++
		}
	}
	return n
}

// Reach returns how many of the listed runners answer, and how many are listed.
func (c *Cell) Reach(now time.Time) (answering, listed int) {
	for _, r := range c.sorted {
		if !r.listed {
			continue
		}
		listed++
		if r.fenced && !r.silent(now, c.Settings.Silence) {
			answering++
		}
	}
	return answering, listed
}

// Lease tells until when no other instance can have become the holder.
func (c *Cell) Lease(until time.Time) {
	if until.After(c.leased) {
		c.leased = until
	}
}

// mayStart reports whether runs may be started at now.
func (c *Cell) mayStart(now time.Time) bool {
	return c.loaded && !c.deposed && !c.resting && now.Before(c.leased)
}

// Tick does what is due at now.
func (c *Cell) Tick(now time.Time) {
	if c.deposed {
		return
	}
	c.settleInheritance(now)
	c.occur(now)
	for _, j := range c.jobs {
		j.answerLate(now)
	}
	for _, r := range c.sorted {
		c.tend(r, now)
	}
	c.mendGangs(now)
	c.stall(now)
	c.report(now)
	c.ended.sweep(now, c.Settings.Keep, c.expire)
	c.wake()
}

// wake asks for Settle.
func (c *Cell) wake() {
	c.woken = true
}

// Settle starts and writes what has become due by the messages before. It is to be
// called after messages and ticks.
func (c *Cell) Settle(now time.Time) {
	if !c.woken || c.deposed {
		return
	}
	c.woken = false
	c.dispatch(now)
	c.flush(now)
}

// settleInheritance lets inherited tasks start once no run of a former holder can be
// left that is not booked.
func (c *Cell) settleInheritance(now time.Time) {
	if c.safe || !c.loaded {
		return
	}
	fenced := 0
	all := true
	for _, r := range c.sorted {
		if r.synced {
			fenced++
		} else if r.listed {
			all = false
		}
	}
	if now.Before(c.safeAt) && (!all || fenced == 0 || fenced < c.Tenure.Runners) {
		return
	}
	c.safe = true
	c.log("event", "inherited", "runners", fenced, "all", all, "jobs", len(c.jobs))
}

func (c *Cell) log(pairs ...any) {
	_ = c.Log.Log(pairs...)
}

// none counts nothing.
type none struct{}

func (none) Count(string, int)          {}
func (none) Took(string, time.Duration) {}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// span returns a number of milliseconds as a duration.
func span(ms float64) time.Duration {
	if ms > math.MaxInt32 {
		ms = math.MaxInt32
	}
	return time.Duration(ms * float64(time.Millisecond))
}
