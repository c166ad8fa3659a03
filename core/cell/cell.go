package cell

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/fingerprint"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// OrderSender sends orders to runners without waiting for the replies. Each reply comes
// back as one StartReply, StopReply or HoldReply that repeats the order.
type OrderSender interface {
	Start(to order.Target, s order.Start)
	Stop(to order.Target, s order.Stop)
	Hold(to order.Target, h order.Hold, ticket int64)
}

// Store writes rows without waiting for the result, which comes back as a
// WriteReply with the same number.
type Store interface {
	Write(number int64, w table.Write)
}

// Metrics records metrics: Count adds n to the counter named what, and Observe records a
// duration under that name. The methods must not block.
type Metrics interface {
	Count(what string, n int)
	Observe(what string, d time.Duration)
}

// Term identifies one term of a holder of a cell.
type Term struct {
	Cell          string // name of the cell, and first part of its row keys
	HolderKey     string // key of the holder's row
	Epoch         int64  // version of the holder's row, higher than in all previous terms
	TermNumber    int    // number of holders so far, including this one
	PreviousEpoch int64  // epoch of the previous holder; zero if there was none
	// PreviousRunners is the fingerprint of the ids of the runners on which the previous holder
	// may have runs; zero if it is not known.
	PreviousRunners fingerprint.Set
	// PreviousEnd is when the previous holder has certainly stopped extending leases; zero
	// means when the term begins.
	PreviousEnd time.Time
	// PreviousOpen means that the previous holder may go on with transient jobs after PreviousEnd, on
	// runners that this one has not reached.
	PreviousOpen bool
	// Earlier holds what is known of the terms before the previous one, if that one had not accounted
	// for all that they may have left.
	Earlier []EarlierTerm
	// PreviousAlive is a time at which the previous holder was certainly alive; zero if none is
	// known.
	PreviousAlive time.Time
}

// Cell decides which task runs on which runner. Its exported fields must be set before
// the first method call. Use New to create one.
type Cell struct {
	Term     Term
	Settings Settings
	Orders   OrderSender
	Store    Store
	Adviser  Adviser // may be nil
	// Neighbours reaches the other cells. It may be nil if there are none.
	Neighbours Neighbours
	Log        log.Logger
	Metrics    Metrics
	WallClock  func() int64 // wall-clock time in milliseconds since 1970

	jobs          map[string]*job
	runners       map[string]*runner
	sorted        []*runner // by id
	ready         []*job    // jobs with tasks to start, by due time
	writer        rowWriter
	estimates     estimates
	interference  *interferenceWatch // nil if Settings.Interference is not set
	endedJobs     endedJobs
	departed      departedCallers
	lastTicket    int64
	scratch       []*runner
	preferredRack string // rack for the tasks that are being placed; empty for any
	lastReport    time.Time
	searches      searches
	away          map[string]*job // jobs that other cells have, or are to get, until these have stored them
	movesAt       time.Time       // earliest time of the next look for jobs to pass on
	reportAt      time.Time       // earliest time of the next report of ends to other cells

	jobMemory int // estimated memory of jobs, in bytes
	heldBack  int // number of jobs with an occurrence that is due and waits for memory

	adviceInFlight bool      // a request to the adviser is in flight
	nextAdvice     time.Time // earliest time of the next request

	loaded         bool             // the rows have been read
	setAside       map[string]int64 // versions of the rows that hold no job that can run, by name
	pendingCancels []pendingCancel
	takenOver      bool         // no unaccounted run of a stored job by a former holder can be left
	former         []formerTerm // those that may have left runs, the previous one last
	sets           runnerSets
	evacuations    evacuations
	deposed        bool
	startsInFlight int       // start orders without a reply
	passPending    bool      // RunPass has work to do
	draining       bool      // sends no more start orders
	leaseUntil     time.Time // until when orders may be sent: no other instance relies on transient jobs to have ended
	storedUntil    time.Time // until when no other instance can start what this one may have started
}

// New returns a Cell without jobs and runners for the term t that begins at now. It
// starts nothing before LoadJobs has been called and ExtendLease has granted time.
func New(t Term, s Settings, now time.Time) *Cell {
	s = s.withDefaults()
	return &Cell{
		Term:      t,
		Settings:  s,
		Log:       log.NewNopLogger(),
		Metrics:   noopMetrics{},
		WallClock: func() int64 { return time.Now().UnixMilli() },
		jobs:      map[string]*job{},
		setAside:  map[string]int64{},
		away:      map[string]*job{},
		runners:   map[string]*runner{},
		writer:    rowWriter{transactions: map[int64]*transaction{}},
		estimates: estimates{queues: map[string]*queueRunTime{}, kinds: map[string]*kindSpeed{}},
		endedJobs: endedJobs{jobs: map[string]jobEnd{}},
		takenOver: t.TermNumber <= 1,
		former:    formerTerms(t, now),
	}
}

// Deposed reports whether the term has ended because another instance holds the cell.
// A deposed Cell does nothing.
func (c *Cell) Deposed() bool {
	return c.deposed
}

// Depose ends the term of this holder. Waiting callers receive the verdict
// OutcomeUnknown, and waiting cancellations and state queries receive work.Unknown.
func (c *Cell) Depose(now time.Time, why string) {
	if c.deposed {
		return
	}
	c.deposed = true
	c.log("event", "deposed", "why", why, "epoch", c.Term.Epoch)
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		j.notifyWaiters(Outcome{Verdict: OutcomeUnknown})
		j.answerCancels(work.Unknown, false)
		j.answerQueries(work.Unknown)
	}
	for _, p := range c.pendingCancels {
		p.reply(work.Unknown, false)
	}
	c.pendingCancels = nil
}

// Drain stops sending start orders, so that none is in flight when the next holder takes
// over.
func (c *Cell) Drain() {
	c.draining = true
}

// Resume ends the effect of Drain, for a cell that is not handed over after all.
func (c *Cell) Resume() {
	c.draining = false
	c.schedulePass()
}

// IsIdle reports whether no write is in flight or due. Removals of expired rows don't count.
func (c *Cell) IsIdle() bool {
	return len(c.writer.transactions) == 0 && len(c.writer.dirty) == 0
}

// RunnerCount returns the number of runners that have answered under their current token.
func (c *Cell) RunnerCount() int {
	n := 0
	for _, r := range c.sorted {
		if r.fenced {
			n++
		}
	}
	return n
}

// Occupied returns the entries of the runners that may have runs, or ends that are not in the
// rows. Complete is false if there may be such of previous holders on others.
func (c *Cell) Occupied() (runners []RunnerInfo, complete bool) {
	for _, r := range c.sorted {
		if len(r.runs) > 0 || len(r.unackedEnds) > 0 {
			runners = append(runners, r.RunnerInfo)
		}
	}
	return runners, c.accounted()
}

// OrderLatency returns the mean time from when orders are sent until their replies are
// processed, over the runners that answer; zero if none has.
func (c *Cell) OrderLatency() time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, r := range c.sorted {
		if r.fenced && r.health.meanLatency > 0 {
			sum += r.health.meanLatency
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// ReachableRunners returns how many runners of the directory are reachable, and how
// many runners the directory holds.
func (c *Cell) ReachableRunners(now time.Time) (answering, listed int) {
	for _, r := range c.sorted {
		if !r.isListed(now) {
			continue
		}
		listed++
		if r.fenced && !r.isSilent(now, c.Settings.SilenceTimeout) {
			answering++
		}
	}
	return answering, listed
}

// ExtendLease extends the time until which no other instance can have become the holder. An
// earlier time than the current one has no effect.
func (c *Cell) ExtendLease(until time.Time) {
	c.ExtendOrders(until)
	if until.After(c.storedUntil) {
		c.storedUntil = until
	}
}

// ExtendOrders extends the time until which orders may be sent for transient jobs: another instance may
// become the holder, but does not start them, nor uses the runners that it has not reached. An earlier
// time than the current one has no effect.
func (c *Cell) ExtendOrders(until time.Time) {
	if until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

// mayStartJob reports whether start orders for j may be sent at now.
func (c *Cell) mayStartJob(now time.Time, j *job) bool {
	return c.mayStart(now) && (j.Transient || now.Before(c.storedUntil)) && (!j.inherited || c.mayStartInherited(now, j))
}

// mayStart reports whether start orders may be sent at now.
func (c *Cell) mayStart(now time.Time) bool {
	return c.loaded && !c.deposed && !c.draining && now.Before(c.leaseUntil) && c.knowsEvacuations()
}

// Tick does the work that is due by time at now. It is to be called periodically.
func (c *Cell) Tick(now time.Time) {
	if c.deposed {
		return
	}
	c.updateInterference(now)
	c.completeTakeover(now)
	c.releaseOccurrences(now)
	for _, j := range c.jobs {
		j.answerOverdueQueries(now)
	}
	for _, r := range c.sorted {
		c.maintain(r, now)
	}
	c.stopBrokenGangs(now)
	c.stopStalledRuns(now)
	c.maintainEvacuations(now)
	c.moveWaiting(now)
	c.passMovedOn(now)
	c.reportEnds(now)
	c.report(now)
	c.endedJobs.sweep(now, c.Settings.EndRetention, c.queueRemoval)
	c.schedulePass()
}

// schedulePass marks that RunPass has work to do.
func (c *Cell) schedulePass() {
	c.passPending = true
}

// RunPass starts the tasks and sends the writes that have become due. It is to be called
// after each batch of messages and each Tick.
func (c *Cell) RunPass(now time.Time) {
	if !c.passPending || c.deposed {
		return
	}
	c.passPending = false
	c.dispatch(now)
	c.flush(now)
}

// directorySet returns the fingerprint of the ids of the runners in the directory.
func (c *Cell) directorySet() fingerprint.Set {
	return fingerprint.Of(func(yield func(string) bool) {
		for _, r := range c.sorted {
			if r.inDirectory && !yield(r.ID) {
				return
			}
		}
	})
}

func (c *Cell) log(pairs ...any) {
	_ = c.Log.Log(pairs...)
}

// noopMetrics discards all metrics.
type noopMetrics struct{}

func (noopMetrics) Count(string, int)             {}
func (noopMetrics) Observe(string, time.Duration) {}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// fromMilliseconds returns ms milliseconds as a duration, limited to math.MaxInt32
// milliseconds either way. That is also the result for a value that is no number.
func fromMilliseconds(ms float64) time.Duration {
	if !(ms <= math.MaxInt32) {
		ms = math.MaxInt32
	}
	return time.Duration(max(ms, -math.MaxInt32) * float64(time.Millisecond))
}
