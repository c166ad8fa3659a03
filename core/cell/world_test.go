package cell_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/fingerprint"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// world simulates a store, runners and the successive holders of one cell on a virtual
// clock. It records every violation of a guarantee of the cell.
type world struct {
	cellName      string
	others        map[string]*world // those of the other cells by name, with a clock of their own
	rng           *rand.Rand
	now           time.Time
	queue         events
	seq           int
	store         *simStore
	runners       map[string]*simRunner
	processes     []*process // of all holders so far; the last one holds the cell
	violations    []string
	faults        faults
	endsPerReply  int                   // largest number of ends that a runner lists in a reply
	loadDelay     time.Duration         // added to the time until a new holder has read the rows
	settings      cell.Settings         // of the holders from the next one on
	refusedWrites []string              // reasons for which the store has refused writes as malformed
	resumedFrom   map[work.Task]string  // checkpoint that the last run of a task started from
	rushAttempts  int                   // max attempts of the jobs of a rush
	evacuated     []string              // data centres that the operator has evacuated; nil if holders are not told of them
	runsGoOn      bool                  // there are no faults that end the runs that are there when an evacuation begins
	openQuestions int                   // number of unanswered questions to the adviser
	factors       map[[2]string]float64 // by which tasks of a queue take longer beside those of another one; nil if none do
	runCounts     map[string]int        // number of finished runs by queue, if factors is set
	runTimes      map[string]float64    // sum of run times in multiples of those without neighbours by queue, likewise

	submitted     map[string]*work.Job
	lastRuns      map[work.Task]int          // highest number of a started run of each task
	finished      map[work.Task]bool         // tasks of which a run has finished
	ackedFinished map[string]bool            // tasks whose finished run is acknowledged, by printed name
	ackedFailures map[work.Task]map[int]bool // numbers of the acknowledged failed runs by task or gang
	outcomes      map[string]cell.Outcome
	realTimes     map[string]float64      // run time of the tasks of a job as a factor of the estimate; 1 if missing
	callerWaits   map[string]bool         // whether the caller of a job still waits for acceptance
	endCounts     map[order.EndReason]int // number of ended runs by reason
}

// faults holds the probabilities of faults of single calls, and the mean message delay.
type faults struct {
	lostReply       float64 // the reply to an order is lost
	delayedOrder    float64 // an order is executed 2 s to 12 s late and not replied to
	lostWriteResult float64 // the result of a write is lost
	resubmission    float64 // an accepted job is resubmitted up to 3 s later
	delay           time.Duration
}

// event is a function to run at a time. Events of the same time run in order of seq.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newWorld returns a world without a holder whose runners have the ids r0, r1 and so on,
// and cpu thousandths of a core each.
func newWorld(seed uint64, runners int, cpu int) *world {
	w := &world{
		cellName: "c0",
		rng:      rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		store: &simStore{cellName: "c0", values: map[string]table.Row{}}, runners: map[string]*simRunner{},
		finished:  map[work.Task]bool{},
		lastRuns:  map[work.Task]int{},
		submitted: map[string]*work.Job{}, ackedFinished: map[string]bool{}, ackedFailures: map[work.Task]map[int]bool{}, endCounts: map[order.EndReason]int{}, resumedFrom: map[work.Task]string{},
		outcomes: map[string]cell.Outcome{}, callerWaits: map[string]bool{}, realTimes: map[string]float64{},
		faults: faults{delay: 2 * time.Millisecond}, endsPerReply: 500,
	}
	for i := range runners {
		id := fmt.Sprintf("r%d", i)
		w.runners[id] = newSimRunner(w, id, cpu)
	}
	return w
}

// after schedules do to run once d has passed.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run processes all events of the next d and advances the clock by d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// recordViolation records a violation with the time since the start.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// chance returns true with probability p. It draws no random number if p is zero.
func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// jitter returns a random delay between 0.5 and 1.5 times the mean message delay.
func (w *world) jitter() time.Duration {
	return w.faults.delay/2 + time.Duration(w.rng.Int64N(int64(w.faults.delay)))
}

// heal ends all faults. A new holder takes over if the current one was killed, is cut
// off from the store or from runners, or writes slowly.
func (w *world) heal() {
	w.faults = faults{delay: 2 * time.Millisecond}
	w.store.down = false
	for _, r := range w.runners {
		r.unreachable, r.failsAll, r.hangs, r.unfit, r.slowdown = false, false, false, false, 1
		r.reclaimAddress()
	}
	p := w.holder()
	if p.killed || p.storeUnreachable || len(p.unreachableRunners) > 0 || p.writeDelay > 0 {
		w.takeOver()
		p.disconnect()
	}
}

// holder returns the process that holds the cell.
func (w *world) holder() *process { return w.processes[len(w.processes)-1] }

// takeOver starts a new holder, whose row is written at once, and returns its process. Like an
// election it tells the new holder when the lease of the previous one ends, if that goes on,
// and of those before it, if the previous one has not taken over yet.
func (w *world) takeOver() *process {
	previousEnd := time.Time{}
	for _, p := range slices.Backward(w.processes) {
		if !p.killed && p.leaseUntil.After(w.now) && p.leaseUntil.After(previousEnd) {
			previousEnd = p.leaseUntil
		}
		if p.runnerSet != 0 {
			break
		}
	}
	return w.takeOverFrom(previousEnd)
}

// takeOverFrom is like takeOver from a holder whose lease ends at a time, zero if it has ended.
func (w *world) takeOverFrom(previousEnd time.Time) *process {
	return w.takeOverAs(cell.Term{PreviousEnd: previousEnd})
}

// takeOverAs is like takeOver for a term of which what is known of the previous holder is given.
func (w *world) takeOverAs(t cell.Term) *process {
	p := &process{world: w, termNumber: len(w.processes) + 1}
	key := w.holderKey()
	w.store.version++
	w.store.values[key] = table.Row{Key: key, Version: w.store.version, Value: json.RawMessage(`1`)}
	previousRunners, previousAlive := fingerprint.Set(0), time.Time{}
	if p.termNumber > 1 {
		previousRunners, previousAlive = w.holder().runnerSet, w.holder().aliveAt
	}
	t.Cell, t.HolderKey, t.Epoch, t.TermNumber = w.cellName, key, w.store.version, p.termNumber
	t.PreviousRunners, t.PreviousAlive = previousRunners, previousAlive
	w.recordTerm(p, &t)
	p.cell = cell.New(t, w.settings, w.now)
	p.epoch = w.store.version
	p.cell.Orders, p.cell.Store, p.cell.Adviser = p, p, p
	if len(w.others) > 0 {
		p.cell.Neighbours = p
	}
	w.openQuestions = 0
	p.cell.WallClock = func() int64 { return w.now.UnixMilli() }
	w.processes = append(w.processes, p)
	p.tellEvacuated()
	p.exec(func() { p.cell.UpdateDirectory(w.now, w.directory()) })
	w.after(3*w.jitter()+w.loadDelay, func() {
		jobs, progress := w.store.scan(w.cellName+"/jobs/"), w.store.scan(w.cellName+"/progress/")
		w.after(w.jitter(), func() { p.exec(func() { p.cell.LoadJobs(w.now, jobs, progress) }) })
		ends := w.store.scan(w.cellName + "/ends/")
		w.after(time.Second, func() { p.exec(func() { p.cell.LoadEnds(w.now, ends) }) })
	})
	p.renew()
	p.tick()
	return p
}

// recordTerm completes the term t of p, which is to become the holder, like an election: with what the
// row of the current holder says of the terms before, unless it has reported that it knows what they
// have left.
func (w *world) recordTerm(p *process, t *cell.Term) {
	if p.termNumber == 1 {
		return
	}
	previous := w.holder()
	t.PreviousEpoch = previous.epoch
	if previous.runnerSet == 0 {
		t.Earlier = previous.earlier
	}
	end := t.PreviousEnd
	if end.IsZero() {
		end = w.now
	}
	p.earlier = append(slices.Clone(t.Earlier), cell.EarlierTerm{Epoch: previous.epoch, Runners: t.PreviousRunners, End: end, Open: t.PreviousOpen})
}

// holderKey returns the key of the holder's row.
func (w *world) holderKey() string { return w.cellName + "/cells/holder" }

// unlist removes runners from the directory for a time.
func (w *world) unlist(d time.Duration, ids ...string) {
	set := func(listed bool) {
		for _, id := range ids {
			if r := w.runners[id]; r != nil {
				r.inDirectory = listed
			}
		}
		w.updateDirectory()
	}
	set(false)
	w.after(d, func() { set(true) })
}

// submitLong submits a job whose tasks are long and occupy all runners.
func (w *world) submitLong() {
	w.submit(newJob(9000+len(w.submitted), true, work.Step{Count: 2 * len(w.runners), CPU: 14000, Memory: 64, Estimate: 1800}))
}

// join adds a runner as large as the others.
func (w *world) join(id string) {
	w.runners[id] = newSimRunner(w, id, w.runners["r0"].cpu)
	w.updateDirectory()
}

// handOver drains the holder and hands the cell over to a next one, which is told of the
// runners that may have runs.
func (w *world) handOver() {
	p := w.holder()
	if p.killed || p.cell.Deposed() {
		return
	}
	p.exec(func() { p.cell.Drain() })
	w.after(20*time.Millisecond, func() {
		if p != w.holder() || p.killed || w.now.Before(p.frozenUntil) {
			return
		}
		occupied, complete := p.cell.Occupied()
		p.disconnect()
		next := w.takeOver()
		w.after(w.jitter(), func() { next.exec(func() { next.cell.PreviousEnded(w.now, occupied, complete) }) })
	})
}

// directory returns the directory entries of all listed runners, by id.
func (w *world) directory() []cell.RunnerInfo {
	var list []cell.RunnerInfo
	for _, id := range slices.Sorted(maps.Keys(w.runners)) {
		if r := w.runners[id]; r.inDirectory {
			list = append(list, r.directoryEntry())
		}
	}
	return list
}

// updateDirectory sends the current directory to the holder.
func (w *world) updateDirectory() {
	p := w.holder()
	p.exec(func() { p.cell.UpdateDirectory(w.now, w.directory()) })
}

// submit submits a job on behalf of a caller that retries until it has an outcome.
func (w *world) submit(j *work.Job) {
	w.submitted[j.ID] = j
	w.callerWaits[j.ID] = true
	w.submitOnce(j, false, 0)
}

// submitOnce submits a job to the current holder and retries 20 ms after any outcome that
// is not final. If resubmitted is set, an earlier attempt may have been accepted, so that
// a refusal is not final. An accepted job may be submitted once more later, see resubmit.
func (w *world) submitOnce(j *work.Job, resubmitted bool, attempts int) {
	w.submitTo(w.holder(), j, resubmitted, attempts)
}

// submitTo is like submitOnce for a given process.
func (w *world) submitTo(p *process, j *work.Job, resubmitted bool, attempts int) {
	answered := false
	answer := func(o cell.Outcome) {
		if answered || !w.callerWaits[j.ID] {
			return
		}
		answered = true
		if o.Verdict == cell.Accepted || (o.Verdict == cell.Refused && !resubmitted) {
			w.callerWaits[j.ID] = false
			w.outcomes[j.ID] = o
			w.checkRefusal(j, o)
			if o.Verdict == cell.Accepted && w.chance(w.faults.resubmission) {
				w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() { w.resubmit(j) })
			}
			return
		}
		w.after(20*time.Millisecond, func() { w.submitOnce(j, resubmitted || o.Verdict == cell.OutcomeUnknown, attempts+1) })
	}
	caller := fmt.Sprintf("%s/%d", j.ID, attempts)
	if p.killed {
		answer(cell.Outcome{Verdict: cell.HandingOver})
		return
	}
	p.onDisconnect = append(p.onDisconnect, func() { answer(cell.Outcome{Verdict: cell.OutcomeUnknown}) })
	p.exec(func() {
		p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller, Resubmitted: resubmitted}, func(o cell.Outcome) {
			w.after(w.jitter(), func() { answer(o) })
		})
	})
}

// resubmit submits an accepted job once more, unless it is transient, and checks that it
// is not refused while its rows are absent.
func (w *world) resubmit(j *work.Job) {
	p := w.holder()
	if j.Transient || p.killed {
		return
	}
	p.exec(func() {
		p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: "again"}, func(o cell.Outcome) {
			// Before an instance reports a refusal it looks up the rows of the job.
			if o.Verdict == cell.Refused && w.store.state(j.ID) == work.Unknown {
				w.recordViolation("REFUSED %s again", j.ID)
			}
		})
	})
}

// process simulates the process of one holder. It connects the holder's cell to the world:
// it carries its orders to the runners, its writes to the store and its questions to the
// adviser.
type process struct {
	unreachableRunners map[string]bool // ids of runners that it cannot reach
	writeDelay         time.Duration   // added to the duration of each write
	world              *world
	cell               *cell.Cell
	epoch              int64
	termNumber         int
	killed             bool
	storeUnreachable   bool // it is cut off from the store
	frozenUntil        time.Time
	onDisconnect       []func() // called when its connections to callers break
	holdsSent          int
	stopsSent          int
	runnerSet          fingerprint.Set    // as last reported by a heartbeat
	leaseUntil         time.Time          // as last extended
	aliveAt            time.Time          // when its last heartbeat was sent
	promised           bool               // its standbys promise not to take over
	earlier            []cell.EarlierTerm // terms before, as in its row
	toldEvacuated      map[string]bool    // data centres that its cell has been told of
	startsSent         map[string]int     // number of start orders by runner
}

// exec runs do and a pass of the cell in the goroutine of the holder. It does nothing
// once the process was killed, and waits while the process is frozen.
func (p *process) exec(do func()) {
	if p.killed {
		return
	}
	if p.world.now.Before(p.frozenUntil) {
		p.world.after(p.frozenUntil.Sub(p.world.now), func() { p.exec(do) })
		return
	}
	do()
	p.cell.RunPass(p.world.now)
}

// tick calls Tick every 20 ms.
func (p *process) tick() {
	if p.killed || p.cell.Deposed() {
		return
	}
	p.exec(func() { p.cell.Tick(p.world.now) })
	p.world.after(20*time.Millisecond, p.tick)
}

const simHolderLease = 600 * time.Millisecond // for which a heartbeat extends the holder's lease, from its sending

// renew sends a heartbeat every 300 ms, and extends the lease of the cell if the heartbeat
// reaches the store and the holder's row is unchanged.
func (p *process) renew() {
	if p.killed || p.cell.Deposed() {
		return
	}
	sent := p.world.now
	p.exec(func() {
		if p.promised {
			p.cell.ExtendOrders(sent.Add(simHolderLease))
			p.cell.ExtendLease(earlier(sent.Add(simHolderLease), p.aliveAt.Add(simStoredExtension)))
		}
		if !p.storeUnreachable && !p.world.store.down && p.world.store.values[p.world.holderKey()].Version == p.epoch {
			p.leaseUntil, p.aliveAt = sent.Add(simHolderLease), sent
			p.cell.ExtendLease(p.leaseUntil)
			p.runnerSet = p.cell.RunnerSet(p.world.now)
			p.cell.Reported(p.runnerSet)
		}
	})
	p.world.after(300*time.Millisecond, p.renew)
}

// simStoredExtension is the time after its last heartbeat for which a holder may run stored jobs by the
// promises of its standbys.
const simStoredExtension = 5500 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// kill ends the process, which breaks its connections to callers.
func (p *process) kill() {
	p.killed = true
	p.disconnect()
}

// disconnect breaks the connections to all waiting callers.
func (p *process) disconnect() {
	for _, w := range p.onDisconnect {
		p.world.after(p.world.jitter(), w)
	}
	p.onDisconnect = nil
}

func (p *process) Start(to order.Target, s order.Start) {
	p.checkEvacuated(to.ID, s)
	if r := p.world.runners[to.ID]; r != nil && r.startDelay > 0 {
		p.world.after(r.startDelay, func() { r.start(s) })
		p.world.after(1500*time.Millisecond, func() { p.exec(func() { p.cell.StartAnswered(p.world.now, to.ID, s, order.Reply{}) }) })
		return
	}
	send(p, to, func(r *simRunner) order.Reply { return r.start(s) }, 1500*time.Millisecond,
		func(v order.Reply) { p.cell.StartAnswered(p.world.now, to.ID, s, v) })
}

func (p *process) Stop(to order.Target, s order.Stop) {
	p.stopsSent++
	answer := func(v order.Reply) { p.cell.StopAnswered(p.world.now, to.ID, s, v) }
	if r := p.world.runners[to.ID]; r != nil && r.losesStops {
		p.world.after(1500*time.Millisecond, func() { p.exec(func() { answer(order.Reply{}) }) })
		return
	}
	send(p, to, func(r *simRunner) order.Reply { return r.stop(s) }, 1500*time.Millisecond, answer)
}

const holdTimeout = 400 * time.Millisecond // in addition to the hold's own wait

func (p *process) Hold(to order.Target, h order.Hold, ticket int64) {
	w := p.world
	replied := false
	reply := func(v order.HoldReply) {
		if !replied {
			replied = true
			p.exec(func() { p.cell.HoldAnswered(w.now, to.ID, h, ticket, v) })
		}
	}
	w.after(h.Wait+holdTimeout, func() { reply(order.HoldReply{}) })
	p.holdsSent++
	lost := w.chance(w.faults.lostReply)
	w.after(w.jitter(), func() {
		r := w.runners[to.ID]
		if r == nil || r.unreachable || r.dead || p.unreachableRunners[to.ID] {
			w.after(r.failureDelay(h.Wait+holdTimeout), func() { reply(order.HoldReply{}) })
			return
		}
		if r.replaced {
			w.after(w.jitter(), func() { reply(order.HoldReply{Verdict: order.WrongIncarnation}) })
			return
		}
		if r.unhealthy {
			w.after(w.jitter(), func() { reply(order.HoldReply{Verdict: order.Unhealthy}) })
			return
		}
		r.hold(h, func(v order.HoldReply) {
			if lost {
				return
			}
			w.after(w.jitter(), func() { reply(v) })
		})
	})
}

// send carries an order to a runner, which processes it by do, and its reply back. A lost
// order or reply is answered with the zero Reply after timeout, or after a message delay
// if the runner refuses connections.
func send(p *process, to order.Target, do func(*simRunner) order.Reply, timeout time.Duration, reply func(order.Reply)) {
	w := p.world
	noReply := order.Reply{}
	fail := func() { w.after(w.runners[to.ID].failureDelay(timeout), func() { p.exec(func() { reply(noReply) }) }) }
	if w.chance(w.faults.delayedOrder) {
		incarnation := 0
		if r := w.runners[to.ID]; r != nil {
			incarnation = r.incarnation
		}
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
			// The token of a later incarnation may not have reached the runner yet, so that an
			// order to a former incarnation would not be fenced.
			if r := w.runners[to.ID]; r != nil && !r.unreachable && !r.dead && !r.replaced && r.incarnation == incarnation {
				do(r)
			}
		})
		fail()
		return
	}
	lost := w.chance(w.faults.lostReply)
	w.after(w.jitter(), func() {
		r := w.runners[to.ID]
		if r == nil || r.unreachable || r.dead || p.unreachableRunners[to.ID] {
			fail()
			return
		}
		v := order.Reply{Verdict: order.WrongIncarnation}
		switch {
		case r.unhealthy:
			v.Verdict = order.Unhealthy
		case !r.replaced:
			v = do(r)
		}
		if lost {
			fail()
			return
		}
		w.after(w.jitter(), func() { p.exec(func() { reply(v) }) })
	})
}

// Write carries a transaction to the store and its result back.
func (p *process) Write(number int64, tx table.Write) {
	w := p.world
	answer := func(a cell.WriteResult) { p.exec(func() { p.cell.WriteAnswered(w.now, number, a) }) }
	lost := w.chance(w.faults.lostWriteResult)
	if first := tx.Ops[0]; first.Key != w.holderKey() || first.IfVersion != p.epoch {
		w.recordViolation("write is not conditional on the version of the holder's row")
	}
	w.after(4*w.jitter()+p.writeDelay, func() {
		if p.storeUnreachable || w.store.down {
			w.after(w.jitter(), func() { answer(cell.WriteResult{Failed: true, NotApplied: !lost}) })
			return
		}
		if refused := w.store.refuses(tx); refused != "" {
			w.refusedWrites = append(w.refusedWrites, refused)
			w.after(w.jitter(), func() { answer(cell.WriteResult{Failed: true, NotApplied: true, Malformed: true}) })
			return
		}
		late := lost && w.rng.IntN(2) == 0
		if late { // it takes effect 1 s to 5 s later, if its conditions still hold
			w.after(time.Second+time.Duration(w.rng.Int64N(int64(4*time.Second))), func() { w.store.write(tx) })
			w.after(800*time.Millisecond, func() { answer(cell.WriteResult{Failed: true}) })
			return
		}
		written := w.store.write(tx)
		if lost {
			w.after(800*time.Millisecond, func() { answer(cell.WriteResult{Failed: true}) })
			return
		}
		w.after(w.jitter(), func() { answer(cell.WriteResult{Written: written}) })
	})
}

// Limits of the store.
const (
	simMaxRow         = 65536   // bytes of a value
	simMaxTransaction = 1 << 20 // bytes of the values of a transaction in base64
	simMaxEntries     = 100     // conditions and changes of a transaction
)

// simStore is a store of versioned rows in memory.
type simStore struct {
	cellName string
	values   map[string]table.Row
	version  int64
	down     bool
	odd      string // a key that it refuses to write, if not empty
}

// refuses returns why the store refuses a transaction as malformed, or an empty string.
func (s *simStore) refuses(tx table.Write) string {
	bytes, entries := 0, 0
	for _, op := range tx.Ops {
		if len(op.Value) > simMaxRow {
			return fmt.Sprintf("%s: %d bytes", op.Key, len(op.Value))
		}
		if op.Key == s.odd && !op.CheckOnly && !op.Delete {
			return op.Key + ": odd"
		}
		bytes += len(op.Value) * 4 / 3
		if op.IfVersion != table.AnyVersion {
			entries++
		}
		if !op.CheckOnly {
			entries++
		}
	}
	if bytes > simMaxTransaction || entries > simMaxEntries {
		return fmt.Sprintf("%d bytes, %d entries", bytes, entries)
	}
	return ""
}

// write executes a transaction if all its conditions hold.
func (s *simStore) write(tx table.Write) table.Written {
	var conflict []table.Row
	for _, op := range tx.Ops {
		row := s.values[op.Key]
		if op.IfVersion != table.AnyVersion && op.IfVersion != row.Version {
			row.Key = op.Key
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflicts: conflict}
	}
	s.version++
	for _, op := range tx.Ops {
		switch {
		case op.CheckOnly:
		case op.Delete:
			delete(s.values, op.Key)
		default:
			s.values[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
		}
	}
	return table.Written{Committed: true, Version: s.version}
}

// scan returns the rows whose keys start with prefix, by key.
func (s *simStore) scan(prefix string) []table.Row {
	var found []table.Row
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, s.values[key])
		}
	}
	return found
}

// state returns the state of a job according to its rows.
func (s *simStore) state(id string) work.State {
	if row, ok := s.values[s.cellName+"/ends/"+id]; ok {
		var e cell.EndRow
		if json.Unmarshal(row.Value, &e) == nil {
			return e.State
		}
	}
	if _, ok := s.values[s.cellName+"/jobs/"+id]; ok {
		return work.Running
	}
	return work.Unknown
}

// newRow returns a transaction that writes a row if the key is absent.
func newRow(key string, v any) table.Write {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return table.Write{Ops: []table.Op{{Key: key, Value: value}}}
}
