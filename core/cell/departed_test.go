package cell_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// TestNoticeOvertakesSubmission guards against a job that is started for a caller that is no longer
// there: the notice that it has left arrives before its submission, whatever the attempt.
func TestNoticeOvertakesSubmission(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 1, 32000)
	p := w.takeOver()
	w.run(time.Second)
	j := newJob(1, true, work.Step{Count: 1, CPU: 14000, Estimate: 60000})
	w.submitted[j.ID] = j
	var outcomes []cell.Outcome
	submit := func(caller string) {
		p.exec(func() {
			p.cell.Submit(w.now, cell.Submission{Job: *j, Caller: caller}, func(o cell.Outcome) { outcomes = append(outcomes, o) })
		})
		w.run(100 * time.Millisecond)
	}
	p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "a#2") })
	submit("a#1")
	require.Equal(t, []cell.Outcome{{Verdict: cell.OutcomeUnknown}}, outcomes)
	require.Empty(t, w.runners["r0"].runs)
	submit("b#1")
	require.Len(t, outcomes, 1, "another caller waits for the job")
	require.Len(t, w.runners["r0"].runs, 1)
	submit("a#3")
	require.Len(t, outcomes, 2, "the caller that has left does not wait")
	p.exec(func() { p.cell.CallerLeft(w.now, j.ID, "b#1") })
	w.run(time.Second)
	require.Empty(t, w.runners["r0"].runs)
	require.Empty(t, w.violations)
}

// TestDepartedCallersBounded checks that the callers that have left are forgotten after a time, and
// the oldest of them earlier if they are many.
func TestDepartedCallersBounded(t *testing.T) {
	t.Parallel()
	c, now := newCell(t)
	job := *newJob(2, true, plainStep(1))
	accepted := func(now time.Time, caller string) bool {
		answered := false
		c.Submit(now, cell.Submission{Job: job, Caller: caller}, func(cell.Outcome) { answered = true })
		return !answered
	}
	for i := range 10_000 {
		c.CallerLeft(now, job.ID, strconv.Itoa(i))
	}
	require.False(t, accepted(now, "9999"))
	require.True(t, accepted(now, "0"))
	now = now.Add(11 * time.Second)
	c.CallerLeft(now, job.ID, "next")
	require.False(t, accepted(now, "next"))
	require.True(t, accepted(now, "9999"))
}
