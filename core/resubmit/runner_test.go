package resubmit_test

import (
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// Times of the simulated runners.
const (
	runnerLease = time.Second // longest lease
	stopGrace   = 50 * time.Millisecond
	runnerCPU   = 4000 // thousandths of a core
)

// runner simulates a runner. The lock of its world guards it.
type runner struct {
	world       *world
	id, zone    string
	incarnation int64 // milliseconds since 1970
	down        bool
	bornAt      time.Time
	drift       int64 // parts in a thousand by which its clock is slow
	token       int64
	leaseUntil  int64 // on its clock
	runs        map[work.Task]*run
	highest     map[work.Task]int
	ends        []order.EndedRun // that are not acknowledged
	lastEnd     int64
	changed     chan struct{} // closed at the next end
}

// run is a run on a runner.
type run struct {
	number    int
	startedAt time.Time
	duration  time.Duration
	by        string // instance that ordered it
}

// boot begins an incarnation, which knows nothing of the former one. The caller holds the lock.
func (r *runner) boot() {
	r.bornAt, r.incarnation = time.Now(), max(time.Now().UnixMilli(), r.incarnation+1)
	r.token, r.leaseUntil, r.lastEnd, r.ends, r.down = 0, 0, 0, nil, false
	r.runs, r.highest = map[work.Task]*run{}, map[work.Task]int{}
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// crash ends all runs of a runner and the runner. The caller holds the lock.
func (r *runner) crash() {
	r.down = true
	clear(r.runs)
	r.world.log("runner", "event", "crash", "runner", r.id)
}

// clock returns the time on the clock of the runner, in milliseconds.
func (r *runner) clock() int64 {
	ms := time.Since(r.bornAt).Milliseconds()
	return 1 + ms - ms*r.drift/1000
}

func (r *runner) entry() cell.RunnerInfo {
	return cell.RunnerInfo{
		ID: r.id, Addr: r.id, Service: "s", Zone: r.zone, MachineKind: "m", Rack: "k", Incarnation: r.incarnation,
		Capacity: cell.Resources{CPU: runnerCPU, Memory: 1 << 20},
	}
}

// extend extends the lease to a deadline on the clock of the runner.
func (r *runner) extend(deadline int64) {
	if deadline <= r.clock() {
		return
	}
	r.leaseUntil = max(r.leaseUntil, min(deadline, r.clock()+runnerLease.Milliseconds()))
	r.checkLease(r.incarnation)
}

// checkLease ends all runs once the lease has expired.
func (r *runner) checkLease(incarnation int64) {
	if r.down || r.incarnation != incarnation {
		return
	}
	if left := r.leaseUntil - r.clock(); left > 0 {
		r.world.after(time.Duration(left+1)*time.Millisecond, func() { r.checkLease(incarnation) })
		return
	}
	for t := range r.runs {
		r.end(t, order.LeaseExpired)
	}
}

// end ends the run of a task.
func (r *runner) end(t work.Task, reason order.EndReason) {
	x := r.runs[t]
	delete(r.runs, t)
	r.lastEnd++
	r.ends = append(r.ends, order.EndedRun{Number: r.lastEnd, Task: t, Run: x.number, Reason: reason})
	r.world.log("runner", "event", "end", "runner", r.id, "job", t.Job, "task", t.Index, "run", x.number, "how", reason)
	close(r.changed)
	r.changed = make(chan struct{})
}

// endLater ends a run after d, if it is still there.
func (r *runner) endLater(t work.Task, x *run, d time.Duration, reason order.EndReason) {
	incarnation := r.incarnation
	r.world.after(d, func() {
		if r.incarnation == incarnation && !r.down && r.runs[t] == x {
			r.end(t, reason)
		}
	})
}

// start processes an order to start a run.
func (r *runner) start(by string, s order.Start) order.Reply {
	switch {
	case s.Token < r.token:
		return order.Reply{Verdict: order.Fenced, Clock: r.clock()}
	case r.runs[s.Task] != nil && r.runs[s.Task].number == s.Run:
		r.token = s.Token
		r.extend(s.Deadline)
		return order.Reply{Verdict: order.Done, Clock: r.clock()}
	case s.Run <= r.highest[s.Task]:
		r.token = s.Token
		r.extend(s.Deadline)
		return order.Reply{Verdict: order.Superseded, Clock: r.clock()}
	case s.Deadline <= r.clock():
		r.token = s.Token
		return order.Reply{Verdict: order.DeadlinePassed, Clock: r.clock()}
	}
	r.token = s.Token
	x := &run{number: s.Run, startedAt: time.Now(), duration: r.world.durations[s.Task], by: by}
	r.world.checkStart(r, s, x)
	r.runs[s.Task], r.highest[s.Task] = x, s.Run
	r.extend(s.Deadline)
	r.endLater(s.Task, x, x.duration, order.Finished)
	return order.Reply{Verdict: order.Done, Clock: r.clock()}
}

// stop processes an order to stop a run.
func (r *runner) stop(by string, s order.Stop) order.Reply {
	if s.Token < r.token {
		return order.Reply{Verdict: order.Fenced, Clock: r.clock()}
	}
	r.token = s.Token
	r.highest[s.Task] = max(r.highest[s.Task], s.Run)
	r.world.log("runner", "event", "stop", "runner", r.id, "job", s.Task.Job, "task", s.Task.Index, "run", s.Run, "by", by)
	if x := r.runs[s.Task]; x != nil && x.number == s.Run {
		r.endLater(s.Task, x, stopGrace, order.Stopped)
	}
	return order.Reply{Verdict: order.Done, Clock: r.clock()}
}

// hold processes a hold order. Until is closed at the next end if the reply is to wait for one.
func (r *runner) hold(h order.Hold) (reply order.HoldReply, until <-chan struct{}) {
	if h.Token < r.token {
		return order.HoldReply{Verdict: order.Fenced, Clock: r.clock()}, nil
	}
	r.token = h.Token
	r.extend(h.Deadline)
	for len(r.ends) > 0 && r.ends[0].Number <= h.AckedThrough {
		r.ends = r.ends[1:]
	}
	if h.Wait > 0 && len(r.ends) == 0 {
		return order.HoldReply{}, r.changed
	}
	return r.list(h.Token), nil
}

// list returns the reply to a hold order with a token.
func (r *runner) list(token int64) order.HoldReply {
	if token < r.token {
		return order.HoldReply{Verdict: order.Fenced, Clock: r.clock()}
	}
	reply := order.HoldReply{Verdict: order.Done, Clock: r.clock(), Incarnation: r.incarnation}
	for t, x := range r.runs {
		percent := 100 * float64(time.Since(x.startedAt)) / float64(x.duration)
		reply.Running = append(reply.Running, order.ActiveRun{Task: t, Run: x.number, Percent: percent})
	}
	reply.Ends = append(reply.Ends, r.ends...)
	return reply
}
