package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
)

// silentCells never answer.
type silentCells struct{ asked []cell.Query }

func (s *silentCells) Search(q cell.Query)                { s.asked = append(s.asked, q) }
func (s *silentCells) Move(string, cell.MovedJob)         {}
func (s *silentCells) ReportEnds(string, []cell.MovedEnd) {}

// TestTooManySearches guards against a submission that waits for good for the answers of other cells
// that nobody asks for, since too many questions are in flight.
func TestTooManySearches(t *testing.T) {
	t.Parallel()
	c, now := newCell(t)
	others := &silentCells{}
	c.Neighbours = others
	outcomes := map[int]cell.Outcome{}
	submit := func(n int, label string) {
		c.Submit(now, cell.Submission{Job: *newJob(n, false, labelled(label, 1))}, func(o cell.Outcome) { outcomes[n] = o })
	}
	submit(10, "first")
	cell.SearchReply{Query: others.asked[0]}.Apply(c, now)
	require.Equal(t, cell.ReasonNoRunnerFits, outcomes[10].Reason)
	now = now.Add(time.Second) // so that the answers count no more
	n := 20
	for asked := 0; asked < len(others.asked); n++ { // until a question is not asked
		asked = len(others.asked)
		submit(n, fmt.Sprint(n))
	}
	submit(11, "first")
	require.Equal(t, cell.ReasonNoRunnerFits, outcomes[11].Reason)
}
