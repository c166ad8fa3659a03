package cell

import (
	"encoding/json"

	"github.com/juju/errors"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// Place says which cell runs a stored job. The zero value is that of a job which has never left the
// cell to which it belongs by its id, its home. The row of a job stays at its home until the job has
// ended, so that the job can be found there.
type Place struct {
	Number  int    `json:"number,omitempty"` // number of moves of the job so far
	Home    string `json:"home,omitempty"`   // home of the job; empty in the row at its home
	To      string `json:"to,omitempty"`     // cell that has the job since the last move; empty if it is this one
	RunBase int    `json:"base,omitempty"`   // cells that had the job before have numbered no run above it
}

// placedJob is a job and its place.
type placedJob struct {
	Job work.Job `json:"job"`
	Place
}

// jobRowValue is the value of the row of a job. A job that has never moved is written as it is. The
// others are written so that builds which do not know places find no job that they could run.
type jobRowValue struct {
	work.Job
	Placed *placedJob `json:"placed,omitempty"`
}

// encodeJob returns the value of the row of a job.
func encodeJob(w *work.Job, p Place) json.RawMessage {
	if p == (Place{}) {
		return encode(w)
	}
	return encode(struct {
		Placed placedJob `json:"placed"`
	}{placedJob{*w, p}})
}

// DecodeJob decodes the row of a job. It returns an error if the row holds no job that can run.
func DecodeJob(row table.Row) (work.Job, Place, error) {
	var v jobRowValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return work.Job{}, Place{}, err
	}
	var p Place
	if v.Placed != nil {
		v.Job, p = v.Placed.Job, v.Placed.Place
	}
	if v.ID != nameFromKey(row.Key) {
		return work.Job{}, Place{}, errors.Errorf("the row holds job %q", v.ID)
	}
	if p.Number < 0 || p.RunBase < 0 {
		return work.Job{}, Place{}, errors.New("the place of the job is out of range")
	}
	return v.Job, p, v.Validate()
}

// isHere reports whether this cell may start tasks of j: no other one has it, and the row says so.
func (j *job) isHere() bool { return j.place.To == "" && !j.row.placeDue }

// runFloorIn returns the number above which the runs of j are numbered in a term.
func (j *job) runFloorIn(termNumber int) int { return j.place.RunBase + (termNumber-1)*runsPerTerm }

// MovedTo returns the cell that has a job which belongs to this one; empty if this one has the job or
// does not know it.
func (c *Cell) MovedTo(id string) string {
	if j := c.jobs[id]; j != nil && j.row.stored {
		return j.place.To
	}
	return ""
}
