package audit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/target"
	"gypsumward/standin/audit"
	"gypsumward/standin/outcome"
	"gypsumward/standin/record"
)

// TestResult checks that each kind of violation is found, and that work started
// once per id, or of another team, is not reported.
func TestResult(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		records  [][]string // ids by target
		outcomes []outcome.Outcome
		want     []string
	}{
		{name: "each once", records: [][]string{{"crew/a/1", "crew/a/2"}, {"crew/b/1"}}},
		{name: "twice on one target", records: [][]string{{"crew/a/1", "crew/a/1"}}, want: []string{"crew/a/1"}},
		{name: "on two targets", records: [][]string{{"crew/a/1"}, {"crew/a/1"}}, want: []string{"crew/a/1"}},
		{name: "two attempts by prefix", records: [][]string{{"crew/once-a/1"}, {"crew/once-a/2"}}, want: []string{"crew/once-a"}},
		{
			name: "two attempts by log", records: [][]string{{"crew/a/1"}, {"crew/a/2"}},
			outcomes: []outcome.Outcome{{Team: "crew", ID: "a", NonRepeatable: true, State: outcome.Complete}}, want: []string{"crew/a"},
		},
		{
			name: "notrun that ran", records: [][]string{{"crew/a/1"}},
			outcomes: []outcome.Outcome{{Team: "crew", ID: "a", State: outcome.Refused, Ran: api.RanNot}}, want: []string{"crew/a"},
		},
		{
			name: "notrun of another team", records: [][]string{{"crew/a/1"}},
			outcomes: []outcome.Outcome{{Team: "quotes", ID: "a", State: outcome.Refused, Ran: api.RanNot}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			a := audit.New()
			a.NonRepeatablePrefix = "once-"
			for _, ids := range test.records {
				var list record.List
				for _, id := range ids {
					list.Starts = append(list.Starts, target.StartCount{ID: id, Count: 1})
				}
				a.AddRecord(list)
			}
			for _, o := range test.outcomes {
				a.AddOutcome(o)
			}
			var got []string
			for _, f := range a.Result().Findings {
				got = append(got, f.ID)
			}
			require.Equal(t, test.want, got)
		})
	}
}
