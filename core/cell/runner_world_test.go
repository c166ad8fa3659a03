package cell_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

const simRunnerLease = 1000 // longest lease that a runner accepts, in milliseconds

// simRunner simulates a runner that does not check its own capacity: the world records a
// start that exceeds it.
type simRunner struct {
	world        *world
	id           string
	startTime    int64 // milliseconds since 1970
	incarnation  int
	clockStart   time.Time // when its clock read zero
	cpu          int
	kind         string
	rack         string
	zone         string
	coldUntil    time.Time // until when it is cold
	coldSlowdown float64   // factor by which runs take longer that are started while it is cold
	label        string
	inDirectory  bool
	draining     bool // as stated in its directory entry
	unreachable  bool
	dead         bool
	refusesConns bool          // whether connections are refused while it is dead or unreachable
	unhealthy    bool          // whether it answers all orders as an unhealthy runner, which does nothing
	replaced     bool          // whether it has crashed and another runner answers at its address
	failsAll     bool          // whether every run fails
	failsFirst   bool          // whether the first run of each task fails
	hangs        bool          // whether runs make no progress and never end
	hangShare    float64       // share of the runs that make no progress and never end
	unfit        bool          // whether it rejects all start orders
	slowdown     float64       // factor by which runs take longer
	losesPolls   bool          // replies to long polls are lost
	losesStops   bool          // stop orders to it are lost
	startDelay   time.Duration // added to the time until start orders arrive, which are then not replied to
	driftPercent int64         // percent by which the clock is slow
	token        int64         // highest fencing token seen
	leaseUntil   int64         // on its clock, in milliseconds
	runs         map[work.Task]*simRun
	highestRun   map[work.Task]int // highest known run number of each task
	unackedEnds  []order.EndedRun
	lastEnd      int64 // number of the last end
	acked        int64
	listedAt     map[int64]time.Time // when the unacknowledged ends were first listed
	longestAck   time.Duration       // longest time from the first listing of an end to its acknowledgement
	pendingHolds []func()            // replies of holds that wait for an end
	lapsedEnds   map[int64]bool      // numbers of the ends that were unacknowledged when the lease expired
}

// simRun is a run on a simRunner.
type simRun struct {
	number     int
	cpu        int
	startedAt  time.Time
	duration   time.Duration
	stalled    bool // makes no progress
	evacuated  bool // was there when its data centre was evacuated
	checkpoint string
}

// newSimRunner returns a runner with cpu thousandths of a core whose clock is up to 2 %
// slow.
func newSimRunner(w *world, id string, cpu int) *simRunner {
	r := &simRunner{world: w, id: id, cpu: cpu, inDirectory: true, slowdown: 1, driftPercent: int64(w.rng.IntN(3))}
	r.restart()
	return r
}

// restart begins a new incarnation, which has no runs and no ends.
func (r *simRunner) restart() {
	r.incarnation++
	r.startTime = r.world.now.UnixMilli() + int64(r.incarnation)
	r.clockStart = r.world.now.Add(-time.Duration(r.world.rng.IntN(1000)+1) * time.Millisecond)
	r.token, r.leaseUntil, r.lastEnd, r.acked = 0, 0, 0, 0
	r.runs, r.highestRun, r.lapsedEnds = map[work.Task]*simRun{}, map[work.Task]int{}, map[int64]bool{}
	r.unackedEnds, r.pendingHolds, r.dead = nil, nil, false
	r.listedAt = map[int64]time.Time{}
}

// failureDelay returns how long a call without a reply takes to fail: timeout, or a
// message delay if the runner refuses connections.
func (r *simRunner) failureDelay(timeout time.Duration) time.Duration {
	if r != nil && (r.dead || r.unreachable) && r.refusesConns {
		return r.world.jitter()
	}
	return timeout
}

// loseAddress makes the runner crash and another one answer at its address.
func (r *simRunner) loseAddress() {
	r.restart()
	r.replaced = true
}

// reclaimAddress restarts the runner at its address if another one answers there.
func (r *simRunner) reclaimAddress() {
	if r.replaced {
		r.restart()
		r.replaced = false
	}
}

// clock returns the reading of the runner's clock in milliseconds.
func (r *simRunner) clock() int64 {
	ms := r.world.now.Sub(r.clockStart).Milliseconds()
	return ms - ms*r.driftPercent/100
}

// directoryEntry returns the directory entry of the current incarnation.
func (r *simRunner) directoryEntry() cell.RunnerInfo {
	coldFor := max(r.coldUntil.Sub(r.world.now), 0)
	return cell.RunnerInfo{
		ID: r.id, Addr: r.id, Service: "s", MachineKind: r.kind, Zone: r.zone, ColdFor: coldFor, Rack: r.rack, Incarnation: r.startTime, Labels: []string{"a", r.rack, r.label}, Draining: r.draining,
		Capacity: cell.Resources{CPU: r.cpu, Memory: 1 << 20},
	}
}

// extendLease extends the lease to the deadline of an order, by at most simRunnerLease
// from now, and schedules its expiry.
func (r *simRunner) extendLease(deadline int64) {
	if deadline <= r.clock() {
		return
	}
	r.leaseUntil = max(r.leaseUntil, min(deadline, r.clock()+simRunnerLease))
	incarnation := r.incarnation
	var check func()
	check = func() {
		if r.incarnation != incarnation || r.dead {
			return
		}
		if remaining := r.leaseUntil - r.clock(); remaining > 0 {
			r.world.after(time.Duration(remaining+1)*time.Millisecond, check)
			return
		}
		r.expireLease()
	}
	r.world.after(time.Duration(r.leaseUntil-r.clock()+1)*time.Millisecond, check)
}

// expireLease ends all runs as lapsed and marks the unacknowledged ends.
func (r *simRunner) expireLease() {
	for _, e := range r.unackedEnds {
		r.lapsedEnds[e.Number] = true
	}
	for _, t := range r.sortedTasks() {
		r.end(t, order.LeaseExpired)
	}
}

// sortedTasks returns the tasks that have a run, sorted.
func (r *simRunner) sortedTasks() []work.Task {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b work.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// start processes a start order.
func (r *simRunner) start(s order.Start) order.Reply {
	w := r.world
	if s.Token < r.token {
		return order.Reply{Verdict: order.Fenced, Clock: r.clock()}
	}
	r.token = s.Token
	if x := r.runs[s.Task]; x != nil && x.number == s.Run {
		r.extendLease(s.Deadline)
		return order.Reply{Verdict: order.Done, Clock: r.clock()}
	}
	if s.Run <= r.highestRun[s.Task] {
		r.extendLease(s.Deadline)
		return order.Reply{Verdict: order.Superseded, Clock: r.clock()}
	}
	if s.Deadline <= r.clock() {
		return order.Reply{Verdict: order.DeadlinePassed, Clock: r.clock()}
	}
	if r.unfit {
		return order.Reply{Verdict: order.Unhealthy, Clock: r.clock()}
	}
	if !w.ticketValid(s, r) {
		w.endCounts["unadvised"]++
		return order.Reply{Verdict: order.InvalidTicket, Clock: r.clock()}
	}
	r.extendLease(s.Deadline)
	r.checkStart(s)
	w.lastRuns[s.Task] = max(w.lastRuns[s.Task], s.Run)
	step := w.submitted[s.Task.Job].Steps[s.Task.Step]
	duration := time.Duration(float64(step.Estimate)*(0.7+0.6*w.rng.Float64())*r.slowdown) * time.Millisecond
	if factor, found := w.realTimes[s.Task.Job]; found {
		duration = time.Duration(factor * r.slowdown * float64(time.Duration(step.Estimate)*time.Millisecond))
	}
	if w.now.Before(r.coldUntil) {
		duration = time.Duration(float64(duration) * r.coldSlowdown)
	}
	if step.Opportunistic {
		step.CPU = 0
	}
	x := &simRun{number: s.Run, cpu: step.CPU, startedAt: w.now, duration: duration, checkpoint: s.Checkpoint}
	r.runs[s.Task], r.highestRun[s.Task] = x, s.Run
	w.resumedFrom[s.Task] = s.Checkpoint
	if r.hangs || w.chance(r.hangShare) {
		x.stalled = true
		return order.Reply{Verdict: order.Done, Clock: r.clock()}
	}
	reason := order.Finished
	if r.failsAll || (r.failsFirst && s.Run == 1) || isPoison(w.submitted[s.Task.Job]) {
		reason = order.Failed
	}
	r.scheduleEnd(s.Task, x, step, reason)
	return order.Reply{Verdict: order.Done, Clock: r.clock()}
}

// scheduleEnd schedules the end of a run with a reason. A member of a gang waits for the
// others first, and a long-running task that does not fail has no end.
func (r *simRunner) scheduleEnd(t work.Task, x *simRun, step work.Step, reason order.EndReason) {
	w := r.world
	switch {
	case step.Gang && reason == order.Finished:
		w.joinGang(r, t, x, step.Count)
	case step.LongRunning && step.TailLatencyTarget > 0 && reason == order.Finished:
		r.watchDisturbance(t, x)
	case step.LongRunning && reason == order.Finished:
	case w.factors != nil && reason == order.Finished:
		r.progress(t, x)
	default:
		incarnation := r.incarnation
		w.after(x.duration, func() {
			if r.incarnation == incarnation && r.runs[t] == x {
				r.end(t, reason)
			}
		})
	}
}

// isPoison reports whether all runs of j fail.
func isPoison(j *work.Job) bool { return j.Spec == "poison" }

// checkStart records the guarantees that a start order violates.
func (r *simRunner) checkStart(s order.Start) {
	w := r.world
	j := w.submitted[s.Task.Job]
	if j == nil || j.Spec != s.Spec {
		w.recordViolation("UNASKED %v", s.Task)
		return
	}
	if w.outcomes[s.Task.Job].Verdict == cell.Refused {
		w.recordViolation("REFUSED %v starts", s.Task)
	}
	used := 0
	if !j.Steps[s.Task.Step].Opportunistic {
		used = j.Steps[s.Task.Step].CPU
	}
	for _, x := range r.runs {
		used += x.cpu
	}
	if used > r.cpu {
		w.recordViolation("LIMIT %s %v: %d of %d", r.id, s.Task, used, r.cpu)
	}
	for _, other := range w.allRunners() {
		if x := other.runs[s.Task]; x != nil && !other.dead {
			w.recordViolation("TWICE %v runs on %s (run %d) and starts on %s (run %d)", s.Task, other.id, x.number, r.id, s.Run)
		}
	}
	if j.Transient {
		return
	}
	if s.Run <= w.lastRuns[s.Task] && w.faults.delayedOrder == 0 {
		w.recordViolation("run %d of %v after run %d", s.Run, s.Task, w.lastRuns[s.Task])
	}
	if s.Checkpoint != "" && !strings.HasPrefix(s.Checkpoint, w.checkpointPrefix(s.Task)) {
		w.recordViolation("UNASKED %v from %q", s.Task, s.Checkpoint)
	}
	if due := j.Due(s.Task.Occurrence); w.now.UnixMilli() < due {
		w.recordViolation("ORDER %v before its time", s.Task)
	}
	if !j.Steps[s.Task.Step].LongRunning {
		r.checkStoredStart(s, j)
	}
}

// allRunners returns the runners of this cell and of the others.
func (w *world) allRunners() []*simRunner {
	list := slices.Collect(maps.Values(w.runners))
	for _, other := range w.others {
		list = slices.AppendSeq(list, maps.Values(other.runners))
	}
	return list
}

// checkStoredStart records the guarantees that the start of a task of a stored job
// violates whose step is not long-running.
func (r *simRunner) checkStoredStart(s order.Start, j *work.Job) {
	w := r.world
	name := fmt.Sprint(s.Task)
	if w.ackedFinished[name] {
		w.recordViolation("TWICE %v was done", s.Task)
	}
	if len(w.ackedFailures[w.failureUnit(s.Task)]) >= j.Queue.MaxAttempts {
		w.recordViolation("BUDGET %v", s.Task)
	}
	for _, a := range j.Steps[s.Task.Step].After {
		for i := range j.Steps[a].Count {
			before := work.Task{Job: j.ID, Occurrence: s.Task.Occurrence, Step: a, Index: i}
			if !w.finished[before] {
				w.recordViolation("ORDER %v before %v", s.Task, before)
			}
		}
	}
}

// end ends the run of a task, if there is one, and replies to the waiting holds.
func (r *simRunner) end(t work.Task, reason order.EndReason) {
	x := r.runs[t]
	if x == nil {
		return
	}
	delete(r.runs, t)
	r.checkGoesOn(t, x, reason)
	if reason == order.Finished {
		r.world.finished[t] = true
	}
	r.world.endCounts[reason]++
	r.lastEnd++
	r.unackedEnds = append(r.unackedEnds, order.EndedRun{Number: r.lastEnd, Task: t, Run: x.number, Reason: reason, Checkpoint: r.saveCheckpoint(t, x)})
	if reason != order.Finished {
		r.world.breakGang(t, x.number)
	}
	holds := r.pendingHolds
	r.pendingHolds = nil
	for _, h := range holds {
		h()
	}
}

// saveCheckpoint returns the checkpoint of a run, which is a new one once the run has
// worked for 30 ms. It returns the empty string if the step has no checkpoints.
func (r *simRunner) saveCheckpoint(t work.Task, x *simRun) string {
	if j := r.world.submitted[t.Job]; j == nil || !j.Steps[t.Step].Checkpointable {
		return ""
	}
	if r.world.now.Sub(x.startedAt) > 30*time.Millisecond {
		x.checkpoint = r.world.checkpointPrefix(t) + fmt.Sprint(x.number)
	}
	return x.checkpoint
}

// stop processes a stop order. A run takes 30 ms to stop.
func (r *simRunner) stop(s order.Stop) order.Reply {
	if s.Token < r.token {
		return order.Reply{Verdict: order.Fenced, Clock: r.clock()}
	}
	r.token = s.Token
	r.highestRun[s.Task] = max(r.highestRun[s.Task], s.Run)
	x, incarnation := r.runs[s.Task], r.incarnation
	if x != nil && x.number == s.Run {
		r.world.after(30*time.Millisecond, func() {
			if r.incarnation == incarnation && r.runs[s.Task] == x {
				r.end(s.Task, order.Stopped)
			}
		})
	}
	return order.Reply{Verdict: order.Done, Clock: r.clock()}
}

// hold processes a hold order and calls answer at once, or once a run ends or the wait
// is over if the hold is a long poll and there are no ends to report.
func (r *simRunner) hold(h order.Hold, answer func(order.HoldReply)) {
	if r.losesPolls && h.Wait > 0 {
		answer = func(order.HoldReply) {}
	}
	if h.Token < r.token {
		answer(order.HoldReply{Verdict: order.Fenced, Clock: r.clock()})
		return
	}
	r.token = h.Token
	r.extendLease(h.Deadline)
	r.acknowledge(h.AckedThrough)
	incarnation := r.incarnation
	replied := false
	reply := func() {
		if replied || r.incarnation != incarnation || r.dead {
			return
		}
		replied = true
		if h.Token < r.token {
			answer(order.HoldReply{Verdict: order.Fenced, Clock: r.clock()})
			return
		}
		answer(r.holdReply())
	}
	if h.Wait == 0 || len(r.unackedEnds) > 0 {
		reply()
		return
	}
	r.pendingHolds = append(r.pendingHolds, reply)
	r.world.after(h.Wait, reply)
}

// acknowledge removes the ends up to a number, and records those that were not reported
// before an expiry of the lease as final.
func (r *simRunner) acknowledge(through int64) {
	w := r.world
	for len(r.unackedEnds) > 0 && r.unackedEnds[0].Number <= through {
		e := r.unackedEnds[0]
		r.unackedEnds = r.unackedEnds[1:]
		if at, listed := r.listedAt[e.Number]; listed {
			r.longestAck = max(r.longestAck, w.now.Sub(at))
			delete(r.listedAt, e.Number)
		}
		if r.lapsedEnds[e.Number] {
			continue
		}
		name := fmt.Sprint(e.Task)
		switch e.Reason {
		case order.Finished:
			w.ackedFinished[name] = true
		case order.Failed:
			unit := w.failureUnit(e.Task)
			if w.ackedFailures[unit] == nil {
				w.ackedFailures[unit] = map[int]bool{}
			}
			w.ackedFailures[unit][e.Run] = true
		default:
		}
	}
}

// holdReply returns the runs and the unacknowledged ends.
func (r *simRunner) holdReply() order.HoldReply {
	h := order.HoldReply{Verdict: order.Done, Clock: r.clock(), Incarnation: r.startTime}
	for _, t := range r.sortedTasks() {
		x := r.runs[t]
		percent := 100 * float64(r.world.now.Sub(x.startedAt)) / float64(x.duration)
		switch j := r.world.submitted[t.Job]; {
		case x.stalled:
			percent = 0
		case j != nil && j.Steps[t.Step].LongRunning:
			percent = 100 // long-running tasks report no other progress
		}
		h.Running = append(h.Running, order.ActiveRun{Task: t, Run: x.number, Percent: percent, Checkpoint: r.saveCheckpoint(t, x)})
	}
	listed := min(len(r.unackedEnds), r.world.endsPerReply)
	h.Ends = append(h.Ends, r.unackedEnds[:listed]...)
	for _, e := range h.Ends {
		if _, before := r.listedAt[e.Number]; !before {
			r.listedAt[e.Number] = r.world.now
		}
	}
	h.EndsTruncated = listed == r.world.endsPerReply
	return h
}
