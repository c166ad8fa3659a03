package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/admit/shares"
)

var start = time.Unix(1000, 0)

// centre returns n instances of a data centre with the given capacity, and teams a,
// b and c of weights 1, 1 and 2.
func centre(n int, capacity float64) []*shares.Shares {
	var all []*shares.Shares
	for i := range n {
		s := shares.New(fmt.Sprint("i", i), shares.Settings{})
		s.Weigh("a", 1)
		s.Weigh("b", 1)
		s.Weigh("c", 2)
		s.Fleet(n, capacity)
		all = append(all, s)
	}
	return all
}

// exchange adds demand in each of 40 intervals and delivers the reports to all
// instances. It returns the time of the last report. The rate is that of a team at
// an instance.
func exchange(all []*shares.Shares, from time.Time, rate func(i int, team string) float64) time.Time {
	now := from
	for range 40 {
		now = now.Add(shares.DefaultEvery)
		for i, s := range all {
			for _, team := range []string{"a", "b", "c"} {
				s.Asked(team, rate(i, team)*shares.DefaultEvery.Seconds())
			}
			if u, ok := s.Tell(now); ok {
				for _, other := range all {
					other.Told(now, u)
				}
			}
		}
	}
	return now
}

// TestUnevenBalancer guards against a team that gets only its share of one instance
// because all its calls reach that instance.
func TestUnevenBalancer(t *testing.T) {
	t.Parallel()
	all := centre(4, 100)
	for _, s := range all {
		s.Tell(start)
	}
	now := exchange(all, start, func(i int, team string) float64 {
		switch {
		case team == "a" && i == 0:
			return 1000 // all calls of a reach one instance
		case team == "b":
			return 5
		}
		return 0
	})
	sum := 0.0
	for i, s := range all {
		l := s.Local(now)
		sum += l.Part
		require.Equal(t, "a", l.Teams[0].Team)
		if i == 0 {
			require.InDelta(t, 0.2/4+0.8*(0.7+0.3/4), l.Part, 0.01) // b gets its rate of 20 with headroom
			require.InDelta(t, 4, l.Teams[0].Weight, 0.1)
		}
		require.InDelta(t, 4, l.Teams[1].Weight, 0.1) // the demand of b is less than its share
	}
	require.InDelta(t, 1, sum, 0.01)
}

// TestSilentPeersCountAsEven guards against an instance that keeps the fraction from
// old reports after it has lost contact with its peers.
func TestSilentPeersCountAsEven(t *testing.T) {
	t.Parallel()
	all := centre(4, 100)
	for _, s := range all {
		s.Tell(start)
	}
	now := exchange(all, start, func(i int, _ string) float64 { return float64(10 * i) })
	require.Greater(t, all[3].Local(now).Part, 0.4)
	later := now.Add(shares.DefaultStaleAfter + time.Second)
	l := all[3].Local(later)
	require.InDelta(t, 0.25, l.Part, 1e-9)
	require.Equal(t, shares.Weight{Team: "c", Weight: 2}, l.Teams[2])
}

// TestMessagesListChangesOnly guards against reports that list all teams every time
// although their rates are constant.
func TestMessagesListChangesOnly(t *testing.T) {
	t.Parallel()
	s := centre(2, 100)[0]
	now := start
	s.Tell(now)
	rates := 0
	for range 100 {
		now = now.Add(shares.DefaultEvery)
		s.Asked("a", 1)
		u, ok := s.Tell(now)
		require.True(t, ok)
		rates += len(u.Rates)
	}
	require.LessOrEqual(t, rates, 20)
}

// TestSizesDivideWhatIsNotAsked guards against an even division among instances of
// different sizes: capacity without demand is divided by size.
func TestSizesDivideWhatIsNotAsked(t *testing.T) {
	t.Parallel()
	small, large := shares.New("a", shares.Settings{}), shares.New("b", shares.Settings{Size: 3})
	for _, s := range []*shares.Shares{small, large} {
		s.Weigh("t", 1)
		s.Fleet(2, 100)
		s.Tell(start)
	}
	u, ok := large.Tell(start.Add(time.Second))
	require.True(t, ok)
	small.Told(start.Add(time.Second), u)
	l := small.Local(start.Add(time.Second))
	require.InDelta(t, 0.25, l.Part, 1e-9)
	require.Equal(t, []shares.Part{{Instance: "a", Part: l.Part}, {Instance: "b", Part: 0.75}}, l.Parts)
}

// TestTeamsOfOthersCount has a team with demand at one instance only. It guards
// against instances that compute different divisions of the targets because the
// other one ignores that team.
func TestTeamsOfOthersCount(t *testing.T) {
	t.Parallel()
	all := centre(2, 100)
	now := start
	for _, s := range all {
		s.Tell(now)
	}
	for range 40 {
		now = now.Add(shares.DefaultEvery)
		all[0].Asked("new", 30)
		all[1].Asked("a", 5)
		for i, s := range all {
			if u, ok := s.Tell(now); ok {
				all[1-i].Told(now, u)
			}
		}
	}
	require.Equal(t, all[0].Local(now).Parts[0].Instance, "i0")
	require.InDelta(t, all[0].Local(now).Parts[0].Part, all[1].Local(now).Parts[0].Part, 0.02)
	require.Greater(t, all[1].Local(now).Parts[0].Part, 0.6)
}
