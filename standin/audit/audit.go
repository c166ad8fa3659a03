package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/standin/outcome"
	"gypsumward/standin/record"
)

// Audit collects the records of targets and the outcomes of callers. Create it
// with New.
type Audit struct {
	NonRepeatablePrefix string // prefix of the ids of requests that are not repeatable; empty for none

	starts        map[string]int  // number of starts, by id
	attempts      map[string]int  // number of attempts started, by TEAM/ID
	nonRepeatable map[string]bool // whether the request is not repeatable, by TEAM/ID
	notRun        map[string]bool // whether it was refused or failed as not run, by TEAM/ID
}

// Finding is a violation of a guarantee.
type Finding struct {
	Problem string `json:"what"`
	ID      string `json:"id"`
	Count   int    `json:"seen"` // number of starts or attempts
}

// Result is the result of an audit.
type Result struct {
	Starts   int       `json:"starts"` // starts over all targets
	IDs      int       `json:"ids"`    // ids that were started
	Work     int       `json:"work"`   // jobs and requests that the ids belong to
	NotRun   int       `json:"notrun"` // jobs and requests that were reported as not run
	Findings []Finding `json:"findings"`
}

// New returns an empty audit.
func New() *Audit {
	return &Audit{
		starts: make(map[string]int), attempts: make(map[string]int),
		nonRepeatable: make(map[string]bool), notRun: make(map[string]bool),
	}
}

// Fetch requests the record of the target at addr and adds it.
func (a *Audit) Fetch(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/record", nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var list record.List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return errors.Annotate(err, addr)
	}
	a.AddRecord(list)
	return nil
}

// AddRecord adds the record of a target.
func (a *Audit) AddRecord(list record.List) {
	for _, s := range list.Starts {
		a.starts[s.ID] += s.Count
		key := workKey(s.ID)
		a.attempts[key] += s.Count
		if _, id, _ := strings.Cut(key, "/"); a.NonRepeatablePrefix != "" && strings.HasPrefix(id, a.NonRepeatablePrefix) {
			a.nonRepeatable[key] = true
		}
	}
}

// workKey returns the TEAM/ID part of an id of the form TEAM/ID/REST, or the
// whole id if its form is different.
func workKey(id string) string {
	parts := strings.SplitN(id, "/", 3)
	if len(parts) < 3 {
		return id
	}
	return parts[0] + "/" + parts[1]
}

// AddOutcome adds the outcome that a caller received.
func (a *Audit) AddOutcome(o outcome.Outcome) {
	key := o.Team + "/" + o.ID
	if o.NonRepeatable {
		a.nonRepeatable[key] = true
	}
	if o.Ran == api.RanNot {
		a.notRun[key] = true
	}
}

// Result returns the counts and the findings, sorted.
func (a *Audit) Result() Result {
	r := Result{IDs: len(a.starts), Work: len(a.attempts), NotRun: len(a.notRun), Findings: []Finding{}}
	addFinding := func(problem, id string, count int) {
		r.Findings = append(r.Findings, Finding{Problem: problem, ID: id, Count: count})
	}
	for id, n := range a.starts {
		r.Starts += n
		if n > 1 {
			addFinding("started twice", id, n)
		}
	}
	for key, n := range a.attempts {
		if a.nonRepeatable[key] && n > 1 {
			addFinding("not repeatable, but started again", key, n)
		}
		if a.notRun[key] {
			addFinding("refused as not run, but started", key, n)
		}
	}
	sort.Slice(r.Findings, func(i, j int) bool { return fmt.Sprint(r.Findings[i]) < fmt.Sprint(r.Findings[j]) })
	return r
}
