package cell

import (
	"encoding/json"

	"gypsumward/core/work"
)

// Tables of a cell. Row keys have the form CELL/TABLE/NAME.
const (
	TableJobs     = "jobs"     // jobs that have not ended
	TableProgress = "progress" // progress of jobs that have not ended
	TableEnds     = "ends"     // final states of jobs
)

// ProgressRow is the value of a row that holds a part of the progress of a job. Steps are counted
// through all occurrences.
type ProgressRow struct {
	First       int              `json:"first,omitempty"` // step of the first element of Done
	Done        [][]int          `json:"done"`            // indexes of the finished tasks, by step
	Failures    []TaskFailures   `json:"fails,omitempty"` // tasks with failed runs
	Checkpoints []TaskCheckpoint `json:"saved,omitempty"` // checkpoints of unfinished tasks
}

// TaskCheckpoint is the latest checkpoint of a task and the number of the run that saved
// it.
type TaskCheckpoint struct {
	Step  int    `json:"step"`
	Index int    `json:"index"`
	Run   int    `json:"run"`
	Value string `json:"value"`
}

// TaskFailures holds the numbers of the failed runs of a task. Runners may report failures
// in any order, and repeat them until they are acknowledged, so a number is needed to
// count each once.
type TaskFailures struct {
	Step  int   `json:"step"`
	Index int   `json:"index"`
	Runs  []int `json:"runs"`

	// Runners holds the ids of the runners that later runs avoid.
	Runners []string `json:"on,omitempty"`
}

// EndRow is the value of the row that holds the end of a job. A row without a state says that a job has
// returned to its home: a write that stored the job here earlier must not take effect late.
type EndRow struct {
	State work.State `json:"state,omitempty"`

	// Home and Number are those of the Place of a job whose home is another cell.
	Home   string `json:"home,omitempty"`
	Number int    `json:"number,omitempty"`
}

// jobRow is the state of the rows of a job. Versions are zero if there is no row.
type jobRow struct {
	stored     bool
	dirty      bool  // present in rowWriter.dirty
	inFlight   bool  // part of a transaction in flight
	placeDue   bool  // the row of the job is to be written with another place
	partsDue   bool  // with all parts of the progress
	dropDue    bool  // the rows are to be removed, since the job is at its home again
	endVersion int64 // of the row that says that the job has returned to its home before; zero if there is none
	jobVersion int64
	parts      []progressPart
}

// Key returns the key of the row with the given name in a table of the cell.
func (c *Cell) Key(tab, name string) string {
	return c.Term.Cell + "/" + tab + "/" + name
}

// progress returns the current value of the row of a part of the progress of j.
func (j *job) progress(part int) ProgressRow {
	p := ProgressRow{}
	first, end := part*tasksPerPart, (part+1)*tasksPerPart
	for s := first / j.tasksEach * len(j.Steps); s < j.Occurrences()*len(j.Steps) && j.taskNumber(s, 0) < end; s++ {
		offset, count := j.taskNumber(s, 0), j.spec(s).Count
		if offset+count <= first {
			continue
		}
		if p.Done == nil {
			p.First = s
		}
		p.Done = append(p.Done, nil)
		p.addStep(j, s, max(first-offset, 0), min(end-offset, count))
	}
	return p
}

// addStep adds the progress of the tasks of a step of j with indexes from first to before end, as the
// last step in Done. All tasks of an occurrence that is closed are done, and none of one that has not
// been opened.
func (p *ProgressRow) addStep(j *job, step, first, end int) {
	tasks, ended := j.tasksOf(step), j.ended.contains(step/len(j.Steps))
	for i := first; i < end; i++ {
		switch {
		case tasks != nil:
			p.add(tasks[i])
		case ended:
			p.addDone(i)
		}
	}
}

// addDone adds a finished task of the last step in Done.
func (p *ProgressRow) addDone(index int) {
	last := &p.Done[len(p.Done)-1]
	*last = append(*last, index)
}

// add adds the progress of a task of the last step in Done.
func (p *ProgressRow) add(t *task) {
	if t.done {
		p.addDone(t.index)
	}
	if t.checkpoint.value != "" && !t.done {
		p.Checkpoints = append(p.Checkpoints, TaskCheckpoint{Step: t.step, Index: t.index, Run: t.checkpoint.run, Value: t.checkpoint.value})
	}
	if len(t.failedRuns) > 0 {
		p.Failures = append(p.Failures, TaskFailures{Step: t.step, Index: t.index, Runs: t.failedRuns, Runners: t.triedRunners})
	}
}

// encode returns v as JSON. It panics if v can't be encoded, which no value that the cell
// stores does.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(encodePanic + err.Error())
	}
	return raw
}

const encodePanic = "cell: a row cannot be encoded: "
