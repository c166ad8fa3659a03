package claim

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/table"
)

// Prefixes of the keys of rows.
const (
	JobPrefix     = "job/"
	RequestPrefix = "request/"
	OpenPrefix    = "open/"
)

// releasedPrefix is the prefix of the owner of released rows; the data centre
// follows.
const releasedPrefix = "-"

// MaxInline is the largest body or answer kept in a row, in bytes; larger ones
// are kept in the object store.
const MaxInline = 24 << 10

// Row is the state of one submission in the platform's table.
type Row struct {
	Key            string    `json:"key"`             // the row's own key
	Owner          string    `json:"owner"`           // owning instance, or ReleasedOwner(Centre) if released
	Centre         string    `json:"centre"`          // data centre of the owner
	PastCentres    []string  `json:"past,omitempty"`  // data centres of previous owners, whose workers may have its tasks
	Epoch          int64     `json:"epoch"`           // number of owners so far
	Nonce          string    `json:"nonce"`           // different in every value ever written
	Digest         string    `json:"digest"`          // digest of the submission's content
	State          api.State `json:"state"`           // open or final
	ReleasedNotRun bool      `json:"spent,omitempty"` // released as not run; the id may be claimed again
	Tasks          int       `json:"tasks,omitempty"`
	Mark           int       `json:"mark"`            // tasks with a lower number may have been started
	NeverStarted   []int     `json:"spare,omitempty"` // tasks below Mark that were never started
	AcceptedAt     int64     `json:"since"`           // time of acceptance by the claimer's clock, Unix time in ms
	Deadline       int64     `json:"until"`           // deadline by the claimer's clock, Unix time in ms

	Body      json.RawMessage `json:"body,omitempty"`   // the submission, if small
	Answer    json.RawMessage `json:"answer,omitempty"` // the answer, if final and small
	ObjectKey string          `json:"stored,omitempty"` // key of the object with the body while open, or the answer when final
}

// ReleasedOwner returns the value of Row.Owner for rows released in a data centre.
func ReleasedOwner(centre string) string {
	return releasedPrefix + centre
}

// JobKey returns the key of the row of a job.
func JobKey(k api.Key) string {
	return JobPrefix + k.Team + "/" + k.ID
}

// RequestKey returns the key of the row of a request.
func RequestKey(k api.Key) string {
	return RequestPrefix + k.Team + "/" + k.ID
}

// OpenKey returns the key of the index row of a submission with the given owner.
func OpenKey(owner, key string) string {
	return OpenPrefix + owner + "/" + key
}

// Decode decodes the value of a row. The error names the row's key.
func Decode(r table.Row) (Row, error) {
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Row{}, errors.Annotatef(err, "row %s", r.Key)
	}
	return row, nil
}

// Final reports whether the row holds the durable answer.
func (r Row) Final() bool {
	return r.State == api.StateComplete || r.State == api.StateFailed
}

// Released reports whether no instance owns the row.
func (r Row) Released() bool {
	return strings.HasPrefix(r.Owner, releasedPrefix)
}

// WorkerCentres returns the data centres whose workers may have tasks of the row:
// those of its previous owners and of the current one.
func (r Row) WorkerCentres() []string {
	return append(slices.Clone(r.PastCentres), r.Centre)
}

// WithOwner returns a copy of the row that is owned by an instance, with the epoch
// incremented and NeverStarted cleared.
func (r Row) WithOwner(owner, centre, nonce string) Row {
	if centre != r.Centre && !slices.Contains(r.PastCentres, r.Centre) {
		r.PastCentres = append(slices.Clone(r.PastCentres), r.Centre)
	}
	r.Owner, r.Centre, r.Nonce = owner, centre, nonce
	r.Epoch++
	r.NeverStarted = nil
	return r
}

// MayHaveStarted returns, for each task, whether any owner may have started it.
func (r Row) MayHaveStarted() []bool {
	started := make([]bool, r.Tasks)
	for i := 0; i < r.Mark && i < r.Tasks; i++ {
		started[i] = true
	}
	for _, i := range r.NeverStarted {
		if i >= 0 && i < r.Tasks {
			started[i] = false
		}
	}
	return started
}
