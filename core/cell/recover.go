package cell

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// runsPerTerm is how many run numbers each holder has for a task. The numbers of a holder
// start above those of previous holders.
const runsPerTerm = 1000

// LoadJobs loads the rows of jobs and of their progress, which must have been read after the
// holder's row was written. Rows that can't be used are logged and left unchanged. It
// panics if called twice.
func (c *Cell) LoadJobs(now time.Time, jobs, progress []table.Row) {
	if c.loaded {
		panic(loadedTwicePanic)
	}
	for _, row := range jobs {
		c.restoreJob(now, row)
	}
	for _, row := range progress {
		c.restoreProgress(row)
	}
	c.loaded = true
	c.measureMemory()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		j.updateReady()
		c.addReady(j)
		switch {
		case !j.isHere():
			c.away[id] = j
		case j.complete():
			c.finish(now, j, work.Succeeded)
		case j.row.stored && len(j.cancels) > 0: // received with the job, before its row was read
			c.finish(now, j, work.Cancelled)
		}
	}
	for _, p := range c.pendingCancels {
		c.Cancel(now, p.id, p.reply)
	}
	c.pendingCancels = nil
	c.log("event", "loaded", "jobs", len(c.jobs), "progress", len(progress), "round", c.Term.TermNumber)
	for _, r := range c.sorted {
		c.fence(now, r)
	}
	c.schedulePass()
}

const loadedTwicePanic = "cell: rows loaded twice"

// nameFromKey returns the last part of a row key, its name.
func nameFromKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

// restoreJob restores a job from its row. A row that holds no job that can run is set aside: it is
// left unchanged until the job is cancelled, since another build may be able to run it.
func (c *Cell) restoreJob(now time.Time, row table.Row) {
	w, place, err := DecodeJob(row)
	if err != nil {
		c.setAside[nameFromKey(row.Key)] = row.Version
		c.Metrics.Count("badrow", 1)
		c.log("event", "badrow", "key", row.Key, "err", err)
		return
	}
	if j := c.jobs[w.ID]; j != nil {
		c.restoreResubmitted(j, row.Version, place)
		return
	}
	j := newJob(w, now)
	j.inherited, j.place = true, place
	j.row.stored, j.row.jobVersion = true, row.Version
	j.due = now.Add(c.allowedTime(j))
	j.runFloor = j.runFloorIn(c.Term.TermNumber)
	c.jobs[j.ID] = j
}

// cancelSetAside ends a job whose row was set aside. It reports whether there is such a row.
func (c *Cell) cancelSetAside(now time.Time, id string, reply func(state work.State, stored bool)) bool {
	version, found := c.setAside[id]
	if !found {
		return false
	}
	delete(c.setAside, id)
	j := newJob(work.Job{ID: id, Steps: []work.Step{{Count: 1}}}, now)
	j.row.stored, j.row.jobVersion = true, version
	j.cancels = append(j.cancels, reply)
	c.jobs[id] = j
	c.finish(now, j, work.Cancelled)
	return true
}

// restoreResubmitted marks a job as stored in a row of the given version. The job was
// resubmitted before the rows were loaded.
func (c *Cell) restoreResubmitted(j *job, version int64, place Place) {
	j.inherited, j.place = true, place
	j.runFloor = max(j.runFloorIn(c.Term.TermNumber), j.lastRun())
	j.row.stored, j.row.jobVersion = true, version
	if !j.isHere() {
		j.answerCancels(work.Unknown, false)
	}
	j.notifyWaiters(Outcome{Verdict: Accepted, State: work.Queued})
}

// restoreProgress restores a part of the progress of a job from its row.
func (c *Cell) restoreProgress(row table.Row) {
	id, part, ok := partFromKey(row.Key)
	j := c.jobs[id]
	if j == nil {
		return
	}
	if !ok || part >= len(j.row.parts) {
		c.log("event", "badrow", "key", row.Key)
		return
	}
	j.row.parts[part].version = row.Version
	c.restorePart(j, part, row.Value)
}

// restorePart restores a part of the progress of j from its value.
func (c *Cell) restorePart(j *job, part int, value []byte) {
	var p ProgressRow
	if err := json.Unmarshal(value, &p); err != nil {
		c.log("event", "badrow", "job", j.ID, "part", part, "err", err)
		return
	}
	for s, done := range p.Done {
		for _, i := range done {
			c.restoreDone(j, p.First+s, i, part)
		}
	}
	for _, f := range p.Failures {
		if t := j.taskAt(f.Step, f.Index); t != nil {
			t.failedRuns, t.triedRunners = f.Runs, f.Runners
			c.restoreInPart(j, part, t.part())
		}
	}
	for _, saved := range p.Checkpoints {
		if t := j.taskAt(saved.Step, saved.Index); t != nil {
			t.saveCheckpoint(saved.Run, saved.Value)
		}
	}
	j.closeEnded()
}

// restoreDone marks a task as done, and with it the other members of its gang.
func (c *Cell) restoreDone(j *job, step, index, part int) {
	if !j.hasTask(step, index) {
		return
	}
	for _, own := range j.partsOf(step, index) {
		c.restoreInPart(j, part, own)
	}
	t := j.taskAt(step, index)
	if t == nil {
		return // its occurrence is closed, by an earlier row
	}
	for _, m := range t.members() {
		if !m.done {
			m.setDone()
		}
	}
}

// restoreInPart schedules a write of a part if progress that belongs there was restored from another
// one, as from rows that earlier builds have written.
func (c *Cell) restoreInPart(j *job, part, own int) {
	if own != part {
		j.row.parts[own].due = true
		c.markDirty(j)
	}
}

// Message is an event for a Cell.
type Message interface {
	// Apply passes the event to c at the time now.
	Apply(c *Cell, now time.Time)
}

// HoldReply is the reply to a hold.
type HoldReply struct {
	Runner string
	Order  order.Hold
	Ticket int64
	Reply  order.HoldReply
}

// Apply passes the message to c.
func (m HoldReply) Apply(c *Cell, now time.Time) {
	c.HoldAnswered(now, m.Runner, m.Order, m.Ticket, m.Reply)
}

// StartReply is the reply to a start order.
type StartReply struct {
	Runner string
	Order  order.Start
	Reply  order.Reply
}

// Apply passes the message to c.
func (m StartReply) Apply(c *Cell, now time.Time) {
	c.StartAnswered(now, m.Runner, m.Order, m.Reply)
}

// StopReply is the reply to a stop order.
type StopReply struct {
	Runner string
	Order  order.Stop
	Reply  order.Reply
}

// Apply passes the message to c.
func (m StopReply) Apply(c *Cell, now time.Time) {
	c.StopAnswered(now, m.Runner, m.Order, m.Reply)
}

// WriteReply is the result of a write.
type WriteReply struct {
	Number int64
	Result WriteResult
}

// Apply passes the message to c.
func (m WriteReply) Apply(c *Cell, now time.Time) { c.WriteAnswered(now, m.Number, m.Result) }

// AdviceReply is the adviser's reply to a request.
type AdviceReply struct {
	AskedAt time.Time
	Task    work.Task
	Runners []string
	Advice  order.Advice
}

// Apply passes the message to c.
func (m AdviceReply) Apply(c *Cell, now time.Time) {
	c.AdviceAnswered(now, m.AskedAt, m.Task, m.Runners, m.Advice)
}

// DirectoryUpdate is the current directory of runners.
type DirectoryUpdate struct{ Entries []RunnerInfo }

// Apply passes the message to c.
func (m DirectoryUpdate) Apply(c *Cell, now time.Time) { c.UpdateDirectory(now, m.Entries) }
