package cell

import (
	"encoding/json"

	"gypsumward/core/work"
)

// Tables of a cell. A key is CELL/TABLE/NAME.
const (
	TableJobs     = "jobs"     // jobs that have not ended
	TableProgress = "progress" // what is done of them
	TableEnds     = "ends"     // the final states of jobs
)

// Progress is the row of what is done of a job. Steps are counted through all
// occurrences.
type Progress struct {
	Done  [][]int      `json:"done"`            // by step, the tasks that are done
	Fails []TaskFailed `json:"fails,omitempty"` // tasks that have failed
	Saved []TaskSaved  `json:"saved,omitempty"` // checkpoints of tasks that are not done
}

// TaskSaved is the checkpoint of a task.
type TaskSaved struct {
	Step  int    `json:"step"`
	Index int    `json:"index"`
	Run   int    `json:"run"`
	Value string `json:"value"`
}

// TaskFailed is a task of which runs have failed. They may be listed in any order, and
// again by runners that have not been told that they are counted.
type TaskFailed struct {
	Step  int   `json:"step"`
	Index int   `json:"index"`
	Runs  []int `json:"runs"`
}

// Ended is the row of the end of a job.
type Ended struct {
	State work.State `json:"state"`
}

// jobRow is what is known of the rows of a job.
type jobRow struct {
	stored   bool
	dirty    bool // in ledger.dirty
	open     bool // in a flight
	job      int64
	progress int64
	wanted   bool // progress is to be written
}

// Key returns the key of a row of the cell.
func (c *Cell) Key(tab, name string) string {
	return c.Tenure.Name + "/" + tab + "/" + name
}

func (j *job) progress() Progress {
	p := Progress{Done: make([][]int, len(j.tasks))}
	for s, step := range j.tasks {
		for i, t := range step {
			if t.done {
				p.Done[s] = append(p.Done[s], i)
			}
			if t.saved.value != "" && !t.done {
				p.Saved = append(p.Saved, TaskSaved{Step: s, Index: i, Run: t.saved.run, Value: t.saved.value})
			}
			if len(t.fails) > 0 {
				p.Fails = append(p.Fails, TaskFailed{Step: s, Index: i, Runs: t.fails})
			}
		}
	}
	return p
}

// encode returns v as JSON. All that the cell stores can be encoded.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(noEncoding + err.Error())
	}
	return raw
}

const noEncoding = "cell: a row cannot be encoded: "
