package cell

import (
	"encoding/json"
	"time"

	"gypsumward/core/work"
)

// Neighbours reaches the other cells, without waiting for the replies, which come back as SearchReply,
// MoveReply and EndsReply.
type Neighbours interface {
	// Search asks all other cells whether they can run a job.
	Search(q Query)
	// Move passes a job to another cell, which has it from then on.
	Move(to string, m MovedJob)
	// ReportEnds tells a cell that jobs which belong to it have ended here.
	ReportEnds(to string, ends []MovedEnd)
}

// Query asks whether a cell can run what is left of a job.
type Query struct {
	Job  work.Job `json:"job"`  // without its spec and its id
	Left []bool   `json:"left"` // by step, whether a task of it is not done
	Now  []bool   `json:"now"`  // by step, whether a task of it waits for a runner
}

// Answer is the answer of a cell to a Query.
type Answer struct {
	Cell string `json:"cell"`
	Fits []bool `json:"fits"` // by step, whether the runners would hold it if they were idle
	// Evacuated says, by step, whether the runners would hold it if no data centre were evacuated.
	Evacuated []bool        `json:"evacuated,omitempty"`
	Places    int           `json:"places"`   // number of waiting tasks that could start at once
	Admitted  bool          `json:"admitted"` // the cell would be done in time
	Drained   time.Duration `json:"drained"`  // time until the waiting work of the cell is done
}

// MovedJob is a job on its way to another cell, with its progress.
type MovedJob struct {
	Job   work.Job                `json:"job"`
	Place Place                   `json:"place"` // with its home, and without the cell that it goes to
	From  string                  `json:"from"`
	Parts map[int]json.RawMessage `json:"parts,omitempty"` // values of the rows of its progress, by part
}

// MovedEnd is the end of a job in another cell than its home.
type MovedEnd struct {
	ID     string     `json:"id"`
	Number int        `json:"number"` // of the move by which the cell had got the job
	State  work.State `json:"state"`
}

// Answers answers a question of another cell.
func (c *Cell) Answers(now time.Time, q Query) (a Answer, ok bool) {
	w := q.Job
	w.ID, w.RepeatCount, w.Transient = "query", 0, false
	if !c.loaded || c.deposed || c.draining || w.Validate() != nil || len(q.Now) != len(w.Steps) || len(q.Left) != len(w.Steps) {
		return Answer{}, false
	}
	a.Cell = c.Term.Cell
	for s := range w.Steps {
		a.Fits = append(a.Fits, c.fits(now, &w.Steps[s], w.Queue.Service, c.Settings.SilenceTimeout))
	}
	a.Evacuated = c.fitsBesideEvacuations(now, w.Steps, w.Queue.Service)
	a.Places = c.placesNow(now, &w, q.Now)
	j := newJob(w, now)
	if !c.hasMemory(j.memory()) {
		return Answer{}, false
	}
	j.due = now.Add(c.allowedTime(j))
	admission := c.admission(now, j)
	a.Admitted, a.Drained = admission.Admitted, admission.Drained
	return a, true
}

// placesNow returns how many tasks of the steps of w for which waiting is true could start at once,
// beside the tasks that wait already and can start too.
func (c *Cell) placesNow(now time.Time, w *work.Job, waiting []bool) int {
	if !c.mayStart(now) || !now.Before(c.storedUntil) || c.storeDown(now) {
		return 0
	}
	places, wanted := 0, 0
	usable := c.usable(now, 0)
	for s := range w.Steps {
		if !waiting[s] {
			continue
		}
		free := 0
		for _, r := range usable {
			if r.suits(&w.Steps[s], w.Queue.Service) && (!w.Steps[s].Opportunistic || r.canRunOpportunistic(&w.Steps[s])) {
				free += r.places(&w.Steps[s], r.free())
			}
		}
		if free >= tasksAtOnce(&w.Steps[s]) {
			places += min(free, w.Steps[s].Count)
			wanted++
		}
	}
	if wanted == 0 {
		return 0
	}
	return max(places-c.startableTasks(w.Queue.Service, usable), 0)
}

// SearchReply holds the answers to a question that Neighbours.Search has asked.
type SearchReply struct {
	Query   Query
	Answers []Answer
}

// Apply passes the message to c.
func (m SearchReply) Apply(c *Cell, now time.Time) { c.searchAnswered(now, m.Query, m.Answers) }

// MoveReply says whether the cell to which a job was passed has stored it, which cannot be known if
// it has not replied.
type MoveReply struct {
	To     string
	ID     string
	Number int
	Stored bool
}

// Apply passes the message to c.
func (m MoveReply) Apply(c *Cell, now time.Time) { c.moveAnswered(now, m.To, m.ID, m.Number, m.Stored) }

// EndsReply names the jobs of which the home has taken note that they have ended.
type EndsReply struct{ Noted []string }

// Apply passes the message to c.
func (m EndsReply) Apply(c *Cell, _ time.Time) { c.endsNoted(m.Noted) }
