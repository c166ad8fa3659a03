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

// script is a table whose answers are given in order.
type script struct {
	answers []answer
	got     []table.Write
	times   []time.Time
}

type answer struct {
	written table.Written
	err     error
}

// refused is an error that tells that a write did not take effect.
type refused struct{}

func (refused) Error() string    { return "refused" }
func (refused) NotWritten() bool { return true }

func (s *script) Write(_ context.Context, w table.Write) (table.Written, error) {
	s.got = append(s.got, w)
	s.times = append(s.times, time.Now())
	if len(s.answers) == 0 {
		return table.Written{Done: true, Version: int64(len(s.got))}, nil
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.written, a.err
}

func change(key, value string, urgent bool) commit.Change {
	return commit.Change{Urgent: urgent, Ops: []table.Op{{Key: key, Value: []byte(value)}}}
}

// play hands in changes to a committer over a script and returns their outcomes.
func play(t *testing.T, s *script, changes ...commit.Change) []commit.Outcome {
	t.Helper()
	var outcomes []commit.Outcome
	synctest.Test(t, func(t *testing.T) {
		c := commit.New(s, clockwork.NewRealClock(), commit.Settings{})
		var handed []<-chan commit.Outcome
		for _, ch := range changes {
			handed = append(handed, c.Submit(ch))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			c.Run(ctx)
			close(done)
		}()
		for _, h := range handed {
			outcomes = append(outcomes, <-h)
		}
		cancel()
		<-done
	})
	return outcomes
}

func TestGroups(t *testing.T) {
	t.Parallel()
	s := &script{}
	outcomes := play(t, s, change("a", `1`, false), change("b", `2`, false), change("a", `3`, false))
	require.Len(t, s.got, 2, "a key stands once in a transaction")
	require.Len(t, s.got[0].Ops, 2)
	require.Equal(t, commit.Written, outcomes[2].Result)
	require.GreaterOrEqual(t, s.times[1].Sub(s.times[0]), 30*time.Millisecond)
}

func TestConflictSpoilsNoNeighbour(t *testing.T) {
	t.Parallel()
	row := table.Row{Key: "a", Version: 7, Value: []byte(`9`)}
	s := &script{answers: []answer{{written: table.Written{Conflict: []table.Row{row}}}}}
	outcomes := play(t, s, change("a", `1`, false), change("b", `2`, false))
	require.Equal(t, commit.Conflict, outcomes[0].Result)
	require.Equal(t, row, outcomes[0].Row("a"))
	require.Equal(t, commit.Written, outcomes[1].Result)
}

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
		{"took effect", answer{written: table.Written{Conflict: []table.Row{own}}}, commit.Written},
		{"did not", answer{written: table.Written{Done: true, Version: 6}}, commit.Written},
		{"another's", answer{written: table.Written{Conflict: []table.Row{other}}}, commit.Conflict},
	} {
		s := &script{answers: []answer{lost, lost, test.after}}
		outcomes := play(t, s, change("a", `1`, true))
		require.Equal(t, test.result, outcomes[0].Result, test.name)
		require.Len(t, s.got, 3, test.name)
		require.Equal(t, s.got[0], s.got[2], test.name+": the same write again")
	}
}

func TestUrgentChangesAreRefusedWhenCertain(t *testing.T) {
	t.Parallel()
	s := &script{answers: []answer{{err: refused{}}}}
	outcomes := play(t, s, change("a", `1`, true), change("b", `2`, false))
	require.Equal(t, commit.NotWritten, outcomes[0].Result)
	require.Equal(t, commit.Written, outcomes[1].Result)
}
