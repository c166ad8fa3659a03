package commit_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/commit"
	"gypsumward/core/table"
)

// scriptedTable is a table that returns the given answers in order and then accepts
// every write.
type scriptedTable struct {
	answers []answer
	writes  []table.Write
	times   []time.Time
}

type answer struct {
	written table.Written
	err     error
}

// notWrittenError is an error which states that a write did not take effect.
type notWrittenError struct{}

func (notWrittenError) Error() string    { return "refused" }
func (notWrittenError) NotWritten() bool { return true }

func (s *scriptedTable) Write(_ context.Context, w table.Write) (table.Written, error) {
	s.writes = append(s.writes, w)
	s.times = append(s.times, time.Now())
	if len(s.answers) == 0 {
		return table.Written{Committed: true, Version: int64(len(s.writes))}, nil
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.written, a.err
}

func change(key, value string, failFast bool) commit.Change {
	return commit.Change{FailFast: failFast, Ops: []table.Op{{Key: key, Value: []byte(value)}}}
}

// run submits changes to a committer for the table s and returns their outcomes.
func run(t *testing.T, s *scriptedTable, changes ...commit.Change) []commit.Outcome {
	t.Helper()
	var outcomes []commit.Outcome
	synctest.Test(t, func(t *testing.T) {
		c := commit.New(s, clockwork.NewRealClock(), commit.Settings{})
		var submitted []<-chan commit.Outcome
		for _, ch := range changes {
			submitted = append(submitted, c.Submit(ch))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			c.Run(ctx)
			close(done)
		}()
		for _, h := range submitted {
			outcomes = append(outcomes, <-h)
		}
		cancel()
		<-done
	})
	return outcomes
}

// Two changes of the same row in one transaction would conflict with each other.
func TestGroups(t *testing.T) {
	t.Parallel()
	s := &scriptedTable{}
	outcomes := run(t, s, change("a", `1`, false), change("b", `2`, false), change("a", `3`, false))
	require.Len(t, s.writes, 2, "a key occurs once in a transaction")
	require.Len(t, s.writes[0].Ops, 2)
	require.Equal(t, commit.Written, outcomes[2].Result)
	require.GreaterOrEqual(t, s.times[1].Sub(s.times[0]), 30*time.Millisecond)
}

// A conflict rejects the whole transaction. Changes in it that did not conflict
// themselves must be sent again, not end as conflicts.
func TestConflictKeepsOtherChanges(t *testing.T) {
	t.Parallel()
	row := table.Row{Key: "a", Version: 7, Value: []byte(`9`)}
	s := &scriptedTable{answers: []answer{{written: table.Written{Conflicts: []table.Row{row}}}}}
	outcomes := run(t, s, change("a", `1`, false), change("b", `2`, false))
	require.Equal(t, commit.Conflict, outcomes[0].Result)
	require.Equal(t, row, outcomes[0].Row("a"))
	require.Equal(t, commit.Written, outcomes[1].Result)
}

// A write whose response is lost must be repeated unchanged until its outcome is
// known, whether or not the lost attempt took effect.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	lost := answer{err: errors.New("no answer")}
	own := table.Row{Key: "a", Version: 5, Value: []byte(`1`)}
	other := table.Row{Key: "a", Version: 5, Value: []byte(`2`)}
	for _, test := range []struct {
		name   string
		after  answer
		result commit.Result
	}{
		{"took effect", answer{written: table.Written{Conflicts: []table.Row{own}}}, commit.Written},
		{"did not", answer{written: table.Written{Committed: true, Version: 6}}, commit.Written},
		{"another's", answer{written: table.Written{Conflicts: []table.Row{other}}}, commit.Conflict},
	} {
		s := &scriptedTable{answers: []answer{lost, lost, test.after}}
		outcomes := run(t, s, change("a", `1`, true))
		require.Equal(t, test.result, outcomes[0].Result, test.name)
		require.Len(t, s.writes, 3, test.name)
		require.Equal(t, s.writes[0], s.writes[2], test.name+": the same write again")
	}
}

// After an error which states that the write did not take effect, a change with
// FailFast set must end as NotWritten, while others are sent again.
func TestUrgentChangesAreRefusedWhenCertain(t *testing.T) {
	t.Parallel()
	s := &scriptedTable{answers: []answer{{err: notWrittenError{}}}}
	outcomes := run(t, s, change("a", `1`, true), change("b", `2`, false))
	require.Equal(t, commit.NotWritten, outcomes[0].Result)
	require.Equal(t, commit.Written, outcomes[1].Result)
}
