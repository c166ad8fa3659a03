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
		s.SetTeamWeight("a", 1)
		s.SetTeamWeight("b", 1)
		s.SetTeamWeight("c", 2)
		s.SetCapacity(n, capacity)
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
		now = now.Add(shares.DefaultInterval)
		for i, s := range all {
			for _, team := range []string{"a", "b", "c"} {
				s.AddDemand(team, rate(i, team)*shares.DefaultInterval.Seconds())
			}
			if u, ok := s.NextReport(now); ok {
				for _, other := range all {
					other.ReceiveReport(now, u)
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
		s.NextReport(start)
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
		l := s.Allocate(now)
		sum += l.Fraction
		require.Equal(t, "a", l.Teams[0].Team)
		if i == 0 {
			require.InDelta(t, 0.2/4+0.8*(0.7+0.3/4), l.Fraction, 0.01) // b gets its rate of 20 with headroom
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
		s.NextReport(start)
	}
	now := exchange(all, start, func(i int, _ string) float64 { return float64(10 * i) })
	require.Greater(t, all[3].Allocate(now).Fraction, 0.4)
	later := now.Add(shares.DefaultStaleAfter + time.Second)
	l := all[3].Allocate(later)
	require.InDelta(t, 0.25, l.Fraction, 1e-9)
	require.Equal(t, shares.TeamWeight{Team: "c", Weight: 2}, l.Teams[2])
}

// TestMessagesListChangesOnly guards against reports that list all teams every time
// although their rates are constant.
func TestMessagesListChangesOnly(t *testing.T) {
	t.Parallel()
	s := centre(2, 100)[0]
	now := start
	s.NextReport(now)
	rates := 0
	for range 100 {
		now = now.Add(shares.DefaultInterval)
		s.AddDemand("a", 1)
		u, ok := s.NextReport(now)
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
		s.SetTeamWeight("t", 1)
		s.SetCapacity(2, 100)
		s.NextReport(start)
	}
	u, ok := large.NextReport(start.Add(time.Second))
	require.True(t, ok)
	small.ReceiveReport(start.Add(time.Second), u)
	l := small.Allocate(start.Add(time.Second))
	require.InDelta(t, 0.25, l.Fraction, 1e-9)
	require.Equal(t, []shares.InstanceFraction{{Instance: "a", Fraction: l.Fraction}, {Instance: "b", Fraction: 0.75}}, l.Fractions)
}

// TestTeamsOfOthersCount has a team with demand at one instance only. It guards
// against instances that compute different divisions of the targets because the
// other one ignores that team.
func TestTeamsOfOthersCount(t *testing.T) {
	t.Parallel()
	all := centre(2, 100)
	now := start
	for _, s := range all {
		s.NextReport(now)
	}
	for range 40 {
		now = now.Add(shares.DefaultInterval)
		all[0].AddDemand("new", 30)
		all[1].AddDemand("a", 5)
		for i, s := range all {
			if u, ok := s.NextReport(now); ok {
				all[1-i].ReceiveReport(now, u)
			}
		}
	}
	require.Equal(t, all[0].Allocate(now).Fractions[0].Instance, "i0")
	require.InDelta(t, all[0].Allocate(now).Fractions[0].Fraction, all[1].Allocate(now).Fractions[0].Fraction, 0.02)
	require.Greater(t, all[1].Allocate(now).Fractions[0].Fraction, 0.6)
}
