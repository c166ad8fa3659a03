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

// roundRuns is how many run numbers a holder has for a task that it has inherited.
const roundRuns = 1000

// Load takes the rows of jobs and of their progress, as they were after the row of
// the holder was put. It is called once.
func (c *Cell) Load(now time.Time, jobs, progress []table.Row) {
	if c.loaded {
		panic(loadedTwice)
	}
	for _, row := range jobs {
		c.inherit(now, row)
	}
	for _, row := range progress {
		c.restore(row)
	}
	c.loaded = true
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		j.refresh()
		c.enlist(j)
		if j.complete() {
			c.finish(now, j, work.Succeeded)
		}
	}
	c.log("event", "loaded", "jobs", len(c.jobs), "progress", len(progress), "round", c.Tenure.Round)
	for _, r := range c.sorted {
		c.fence(now, r)
	}
	c.wake()
}

const loadedTwice = "cell: rows loaded twice"

func name(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

// inherit takes the row of a job. A row that cannot be read is left alone.
func (c *Cell) inherit(now time.Time, row table.Row) {
	var w work.Job
	if err := json.Unmarshal(row.Value, &w); err != nil || w.Check() != nil || w.ID != name(row.Key) {
		c.log("event", "badrow", "key", row.Key, "err", err)
		return
	}
	if j := c.jobs[w.ID]; j != nil {
		c.recall(j, row.Version)
		return
	}
	j := newJob(w, now)
	j.inherited = true
	j.row.stored, j.row.job = true, row.Version
	j.due = now.Add(c.allowed(j))
	for s := range j.tasks {
		for _, t := range j.tasks[s] {
			t.floor = (c.Tenure.Round - 1) * roundRuns
		}
	}
	c.jobs[j.ID] = j
}

// recall takes the row of a job that was handed in again before the rows were read.
func (c *Cell) recall(j *job, version int64) {
	j.inherited = true
	j.row.stored, j.row.job = true, version
	j.tell(Outcome{Verdict: Accepted, State: work.Queued})
}

// restore takes the row of the progress of a job.
func (c *Cell) restore(row table.Row) {
	j := c.jobs[name(row.Key)]
	if j == nil {
		return
	}
	j.row.progress = row.Version
	var p Progress
	if err := json.Unmarshal(row.Value, &p); err != nil {
		c.log("event", "badrow", "key", row.Key, "err", err)
		return
	}
	for s, done := range p.Done {
		for _, i := range done {
			if t := j.at(s, i); t != nil && !t.done {
				t.done = true
				j.open[s]--
			}
		}
	}
	for _, f := range p.Fails {
		if t := j.at(f.Step, f.Index); t != nil {
			t.fails = f.Runs
		}
	}
	for _, v := range p.Saved {
		if t := j.at(v.Step, v.Index); t != nil {
			t.save(v.Run, v.Value)
		}
	}
}

// at returns a task of job.tasks, or nil.
func (j *job) at(step, index int) *task {
	if step < 0 || step >= len(j.tasks) || index < 0 || index >= len(j.tasks[step]) {
		return nil
	}
	return j.tasks[step][index]
}

// Message is something that came in for a cell.
type Message interface {
	Apply(c *Cell, now time.Time)
}

// HeldMessage is the answer to a hold.
type HeldMessage struct {
	Runner string
	Given  order.Hold
	Ticket int64
	Held   order.Held
}

// Apply hands the message to c.
func (m HeldMessage) Apply(c *Cell, now time.Time) { c.Held(now, m.Runner, m.Given, m.Ticket, m.Held) }

// StartedMessage is the answer to a start.
type StartedMessage struct {
	Runner string
	Given  order.Start
	Reply  order.Reply
}

// Apply hands the message to c.
func (m StartedMessage) Apply(c *Cell, now time.Time) { c.Started(now, m.Runner, m.Given, m.Reply) }

// StoppedMessage is the answer to a stop.
type StoppedMessage struct {
	Runner string
	Given  order.Stop
	Reply  order.Reply
}

// Apply hands the message to c.
func (m StoppedMessage) Apply(c *Cell, now time.Time) { c.Stopped(now, m.Runner, m.Given, m.Reply) }

// WrittenMessage is the answer to a write.
type WrittenMessage struct {
	Number int64
	Answer Answer
}

// Apply hands the message to c.
func (m WrittenMessage) Apply(c *Cell, now time.Time) { c.Written(now, m.Number, m.Answer) }

// AdvisedMessage is the answer of the adviser.
type AdvisedMessage struct {
	Asked   time.Time
	Task    work.Task
	Runners []string
	Advice  order.Advice
}

// Apply hands the message to c.
func (m AdvisedMessage) Apply(c *Cell, now time.Time) {
	c.Advised(now, m.Asked, m.Task, m.Runners, m.Advice)
}

// ListMessage is a new list of runners.
type ListMessage struct{ Listings []Listing }

// Apply hands the message to c.
func (m ListMessage) Apply(c *Cell, now time.Time) { c.List(now, m.Listings) }
