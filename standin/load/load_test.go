package load_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/standin/arrival"
	"gypsumward/standin/load"
	"gypsumward/standin/outcome"
)

// slowSender returns the outcome of each arrival after 3 s and records when the
// arrival was sent.
type slowSender struct {
	begin time.Time
	mu    sync.Mutex
	sent  []time.Duration
}

func (s *slowSender) Send(_ context.Context, a arrival.Arrival) outcome.Outcome {
	s.mu.Lock()
	s.sent = append(s.sent, time.Since(s.begin))
	s.mu.Unlock()
	time.Sleep(3 * time.Second)
	o := outcome.New(a)
	o.State = outcome.Complete
	if a.ID == "b" {
		o.State = outcome.Refused
	}
	return o
}

// TestRunIsOpenLoop guards against a closed loop, which would hide the latency of
// a slow system: arrivals are sent on time although earlier ones have no outcome
// yet.
func TestRunIsOpenLoop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{begin: time.Now()}
		var log bytes.Buffer
		l := load.Generator{Sender: s, Clock: clockwork.NewRealClock(), Log: &log}
		for i, id := range []string{"a", "b", "c"} {
			l.Arrivals = append(l.Arrivals, arrival.Arrival{
				At: time.Duration(i) * time.Second, Team: "crew", ID: id, RunTime: time.Second, Deadline: 2 * time.Second,
			})
		}
		report := l.Run(t.Context())
		require.Equal(t, []time.Duration{0, time.Second, 2 * time.Second}, s.sent, "answers do not hold arrivals up")
		require.Len(t, report.Lines, 1)
		line := report.Lines[0]
		require.Equal(t, []int{3, 2, 1, 2}, []int{line.Sent, line.Complete, line.Refused, line.Late})
		require.InDelta(t, 3000, line.P50, 10)
		require.InDelta(t, 2000, line.OverheadP99, 10)
		require.Equal(t, 3, strings.Count(log.String(), "\n"))
	})
}
