package fair_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/fair"
)

var start = time.Unix(1000, 0)

// TestSharesByWeight guards against service that is not divided in proportion to
// the weights of teams that always have work queued.
func TestSharesByWeight(t *testing.T) {
	t.Parallel()
	q := fair.New[int](fair.Settings{})
	q.SetTeamWeight("a", 3, 0)
	q.SetTeamWeight("b", 1, 0)
	for i := range 400 {
		require.True(t, q.Push(start, fair.Item[int]{Team: "a", Cost: 0.1, Payload: i}).Queued)
		require.True(t, q.Push(start, fair.Item[int]{Team: "b", Cost: 0.1, Payload: i}).Queued)
	}
	served := map[string]int{}
	for range 400 {
		it, ok := q.Pop(start, nil)
		require.True(t, ok)
		served[it.Team]++
	}
	require.InDelta(t, 300, served["a"], 1)
}

// TestFloorWithinTeam guards against starvation of the less urgent work of a team by
// urgent work of the same team.
func TestFloorWithinTeam(t *testing.T) {
	t.Parallel()
	q := fair.New[int](fair.Settings{})
	q.SetTeamWeight("a", 1, 0.2)
	for range 200 {
		q.Push(start, fair.Item[int]{Team: "a", Urgency: 9, Cost: 0.1})
		q.Push(start, fair.Item[int]{Team: "a", Urgency: 1, Cost: 0.1})
	}
	low := 0
	for range 100 {
		it, _ := q.Pop(start, nil)
		if it.Urgency == 1 {
			low++
		}
	}
	require.InDelta(t, 20, low, 1)
}

// TestIdleTeamAccumulatesNoService guards against a team that takes all service
// after it had nothing queued, which happens if its pass is not raised.
func TestIdleTeamAccumulatesNoService(t *testing.T) {
	t.Parallel()
	q := fair.New[int](fair.Settings{})
	for range 1000 {
		q.Push(start, fair.Item[int]{Team: "busy", Cost: 1})
	}
	for range 500 {
		q.Pop(start, nil)
	}
	for range 200 {
		q.Push(start, fair.Item[int]{Team: "idle", Cost: 1})
	}
	served := 0
	for range 100 {
		if it, _ := q.Pop(start, nil); it.Team == "idle" {
			served++
		}
	}
	require.InDelta(t, 50, served, 1)
}

// TestFullQueueEvicts guards against a team that keeps others out by filling the
// queue: a full queue refuses more items of that team, but evicts its newest item of
// the lowest urgency for an item of another team.
func TestFullQueueEvicts(t *testing.T) {
	t.Parallel()
	q := fair.New[int](fair.Settings{MaxItems: 10, MaxTeamFraction: 1})
	for i := range 10 {
		require.True(t, q.Push(start, fair.Item[int]{Team: "flood", Urgency: i % 2, Cost: 1, Payload: i}).Queued)
	}
	refused := q.Push(start, fair.Item[int]{Team: "flood", Cost: 1, Payload: 10})
	require.Equal(t, fair.Admission{Reason: api.ReasonFull, RetryAfter: fair.DefaultRetryAfter}, refused)
	require.True(t, q.Push(start, fair.Item[int]{Team: "other", Cost: 1, Payload: 11}).Queued)
	evicted := q.Expire(start)
	require.Len(t, evicted, 1)
	require.Equal(t, 8, evicted[0].Payload)
	require.Equal(t, api.ReasonFull, evicted[0].Reason)
	require.Equal(t, 10, q.Len())
}

// TestExpireAndRemoveJob guards against items that are served or kept after their
// deadline, and against the removal of items of other jobs.
func TestExpireAndRemoveJob(t *testing.T) {
	t.Parallel()
	q := fair.New[int](fair.Settings{})
	soon, late := start.Add(50*time.Millisecond), start.Add(time.Minute)
	q.Push(start, fair.Item[int]{Team: "a", Job: "x", Deadline: soon, Payload: 1})
	q.Push(start, fair.Item[int]{Team: "a", Job: "x", Deadline: late, Payload: 2})
	q.Push(start, fair.Item[int]{Team: "a", Job: "y", Deadline: late, Payload: 3, Bytes: 5})
	require.Empty(t, q.Expire(start.Add(49*time.Millisecond)))
	expired := q.Expire(start.Add(50 * time.Millisecond))
	require.Len(t, expired, 1)
	require.Equal(t, api.ReasonDeadline, expired[0].Reason)
	removed := q.RemoveJob("x")
	require.Len(t, removed, 1)
	require.Equal(t, 2, removed[0].Payload)
	require.Equal(t, 5, q.Bytes())
	_, ok := q.Pop(late, nil)
	require.False(t, ok)
	require.Len(t, q.Expire(late), 1)
}
