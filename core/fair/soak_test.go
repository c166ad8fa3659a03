package fair_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/api"
	"gypsumward/core/fair"
)

// TestMain fixes the seed of rapid, unless a seed or a number of checks is given by
// a flag. "make soak" gives a number of checks, so that rapid draws and prints a
// seed.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := true
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "rapid.checks" || f.Name == "rapid.seed" {
			fixed = false
		}
	})
	if fixed {
		if err := flag.Set("rapid.seed", "5"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model holds a queue and the items that it is expected to contain.
type model struct {
	q        *fair.Queue[int]
	now      time.Time
	limits   fair.Settings
	items    map[int]fair.Item[int]
	nextWork int
}

var teams = []string{"a", "b", "c"}

// TestSoakNothingLost runs random operations. It guards against items that are lost
// or returned twice, served after their deadline or out of order, and against
// violated bounds.
func TestSoakNothingLost(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		bound := fair.Settings{
			MaxItems: rapid.IntRange(1, 30).Draw(t, "count"), MaxBytes: rapid.IntRange(1, 200).Draw(t, "bytes"),
			MaxTeamFraction: rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "part"),
		}
		m := &model{q: fair.New[int](bound), now: start, limits: bound, items: map[int]fair.Item[int]{}}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "expire": m.expire, "remove": m.remove, "weigh": m.weigh, "": m.check,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 4, 17, 300, 2000, 50000}).Draw(t, "ms")) * time.Millisecond)
			},
			"charge": func(t *rapid.T) {
				m.q.Charge(rapid.SampledFrom(teams).Draw(t, "team"), rapid.Float64Range(-9, 9).Draw(t, "cost"))
			},
		})
	})
}

func (m *model) push(t *rapid.T) {
	it := fair.Item[int]{
		Team: rapid.SampledFrom(teams).Draw(t, "team"), Job: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "job"),
		Urgency: rapid.IntRange(0, 9).Draw(t, "urgency"), Cost: rapid.Float64Range(0.01, 5).Draw(t, "cost"),
		Bytes: rapid.IntRange(0, 40).Draw(t, "bytes"), Payload: m.nextWork,
	}
	if left := rapid.IntRange(-1, 90000).Draw(t, "left"); left != 0 {
		it.Deadline = m.now.Add(time.Duration(left) * time.Millisecond)
	}
	m.nextWork++
	v := m.q.Push(m.now, it)
	if v.Queued {
		m.items[it.Payload] = it
		return
	}
	late := !it.Deadline.IsZero() && !it.Deadline.After(m.now)
	require.Equal(t, late, v.Reason == api.ReasonDeadline)
	require.Equal(t, !late, v.Reason == api.ReasonFull)
}

// checkRemoved checks an item that left the queue against the model and removes it
// there.
func (m *model) checkRemoved(t *rapid.T, it fair.Item[int]) {
	want, ok := m.items[it.Payload]
	require.True(t, ok, "item %d was lost or left twice", it.Payload)
	want.Reason = it.Reason
	require.Equal(t, want, it)
	delete(m.items, it.Payload)
}

func (m *model) pop(t *rapid.T) {
	odd := rapid.Bool().Draw(t, "odd")
	it, ok := m.q.Pop(m.now, func(it fair.Item[int]) bool { return !odd || it.Payload%2 == 1 })
	if !ok {
		require.True(t, odd || m.q.Len() == 0, "an item was not found")
		return
	}
	m.checkRemoved(t, it)
	require.True(t, !odd || it.Payload%2 == 1)
	require.True(t, it.Deadline.IsZero() || it.Deadline.After(m.now))
	if odd {
		return
	}
	for _, other := range m.items {
		late := !other.Deadline.IsZero() && !other.Deadline.After(m.now)
		if other.Team == it.Team && other.Urgency == it.Urgency && !late {
			require.Less(t, it.Payload, other.Payload, "older first")
		}
	}
}

func (m *model) expire(t *rapid.T) {
	for _, it := range m.q.Expire(m.now) {
		late := !it.Deadline.IsZero() && !it.Deadline.After(m.now)
		require.True(t, late || it.Reason == api.ReasonFull)
		m.checkRemoved(t, it)
	}
	for _, it := range m.items {
		require.True(t, it.Deadline.IsZero() || it.Deadline.After(m.now), "late item kept")
	}
}

func (m *model) remove(t *rapid.T) {
	job := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "job")
	var removed []fair.Item[int]
	if rapid.Bool().Draw(t, "index") {
		removed = m.q.RemoveJob(job)
	} else {
		removed = m.q.Remove(func(it fair.Item[int]) bool { return it.Job == job })
	}
	for _, it := range removed {
		require.Equal(t, job, it.Job)
		m.checkRemoved(t, it)
	}
	require.Empty(t, m.q.RemoveJob(job))
}

func (m *model) weigh(t *rapid.T) {
	m.q.SetTeamWeight(rapid.SampledFrom(teams).Draw(t, "team"), rapid.Float64Range(0.1, 9).Draw(t, "weight"),
		rapid.Float64Range(0, 0.9).Draw(t, "floor"))
}

// check compares the queue with the model. Items that were evicted and not yet
// returned by Expire are in the model only.
func (m *model) check(t *rapid.T) {
	require.LessOrEqual(t, m.q.Len(), len(m.items))
	require.LessOrEqual(t, m.q.Len(), m.limits.MaxItems)
	require.LessOrEqual(t, m.q.Bytes(), m.limits.MaxBytes)
	if m.q.Len() == 0 {
		require.Zero(t, m.q.Bytes())
		require.Zero(t, m.q.Cost())
	}
}

// TestSoakShares keeps items of all teams queued. It guards against service that
// deviates from the weights by more than one item of each team, and against less
// urgent work that does not get its floor.
func TestSoakShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New[int](fair.Settings{})
		const mostCost, floor = 5.0, 0.2
		weights := map[string]float64{}
		for _, team := range teams {
			weights[team] = rapid.Float64Range(0.2, 5).Draw(t, "weight")
			q.SetTeamWeight(team, weights[team], floor)
		}
		push := func(team string, urgency int) {
			q.Push(start, fair.Item[int]{Team: team, Urgency: urgency, Cost: rapid.Float64Range(0.01, mostCost).Draw(t, "cost")})
		}
		for _, team := range teams {
			push(team, 1)
			push(team, 9)
		}
		served, low := map[string]float64{}, map[string]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "pops") {
			it, ok := q.Pop(start, nil)
			require.True(t, ok)
			served[it.Team] += it.Cost
			if it.Urgency == 1 {
				low[it.Team] += it.Cost
			}
			push(it.Team, it.Urgency)
		}
		for _, a := range teams {
			for _, b := range teams {
				most := mostCost/weights[a] + mostCost/weights[b]
				require.InDelta(t, served[a]/weights[a], served[b]/weights[b], most)
			}
			require.InDelta(t, floor*served[a], low[a], 2*mostCost)
		}
	})
}
