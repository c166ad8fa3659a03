package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/admit"
	"gypsumward/core/api"
	"gypsumward/core/fair"
)

var start = time.Unix(1000, 0)

// TestRefusesWorkThatWouldMissDeadline drains 10 target seconds per second from a
// long queue. It guards against work that is admitted although it would wait past
// its deadline, and against refusals of work that does not wait for the queue
// because it is more urgent or of another team.
func TestRefusesWorkThatWouldMissDeadline(t *testing.T) {
	t.Parallel()
	gate := admit.New(admit.Settings{})
	q := fair.New[int](fair.Settings{Gate: gate, MaxTeamFraction: 1})
	now := start
	for range 400 {
		q.Push(now, fair.Item[int]{Team: "a", Cost: 0.1, Urgency: 5})
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		_, ok := q.Pop(now, nil)
		require.True(t, ok)
	}
	require.InDelta(t, 10, gate.Rate(), 0.5)
	push := func(team string, urgency int, left time.Duration) fair.Admission {
		return q.Push(now, fair.Item[int]{Team: team, Cost: 0.1, Urgency: urgency, Deadline: now.Add(left)})
	}
	v := push("a", 5, time.Second)
	require.Equal(t, api.ReasonDeadline, v.Reason)
	require.GreaterOrEqual(t, v.RetryAfter, 500*time.Millisecond)
	require.LessOrEqual(t, v.RetryAfter, 1700*time.Millisecond)
	require.True(t, push("a", 5, 3*time.Second).Queued)
	require.True(t, push("a", 9, time.Second).Queued) // served before the others
	require.True(t, push("b", 0, time.Second).Queued) // served at the share of another team
}

// TestStalledDrainRefuses guards against a drain rate that stays high when no item
// leaves the queue any more: windows without calls must lower it.
func TestStalledDrainRefuses(t *testing.T) {
	t.Parallel()
	gate := admit.New(admit.Settings{})
	for i := range 100 {
		gate.Served(start.Add(time.Duration(i)*10*time.Millisecond), 0.1, 1)
	}
	candidate := fair.Candidate{TotalCost: 10, CostAhead: 10, Share: 1, Floor: 1, Deadline: start.Add(20 * time.Second)}
	ok, _ := gate.Admit(start.Add(time.Second), candidate)
	require.True(t, ok)
	ok, _ = gate.Admit(start.Add(4*time.Second), candidate)
	require.False(t, ok)
}
