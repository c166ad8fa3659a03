package spill_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/spill"
)

// TestDecide checks which requests are forwarded, and that a forwarded request
// uses up reported capacity.
func TestDecide(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	fresh := spill.Report{Instance: "varese-1", Centre: "varese", Capacity: 1}
	unavailable := spill.OwnState{}
	for _, test := range []struct {
		name    string
		report  spill.Report
		age     time.Duration
		request spill.Request
		own     spill.OwnState
		send    bool
	}{
		{"own targets unavailable", fresh, 0, spill.Request{}, unavailable, true},
		{"second hop", fresh, 0, spill.Request{Hops: 1}, unavailable, false},
		{"old report", fresh, time.Minute, spill.Request{}, unavailable, false},
		{"no capacity in the other centre", spill.Report{Instance: "varese-1"}, 0, spill.Request{}, unavailable, false},
		{"free slot in the own centre", fresh, 0, spill.Request{}, spill.OwnState{Slots: 8, Free: 1}, false},
		{"short wait in the own centre", fresh, 0, spill.Request{}, spill.OwnState{Slots: 8, ExpectedWait: time.Millisecond}, false},
		{"long wait in the own centre", fresh, 0, spill.Request{}, spill.OwnState{Slots: 8, ExpectedWait: time.Second}, true},
		{
			"deadline before the wait is over", fresh, 0,
			spill.Request{TimeLeft: 300 * time.Millisecond, RunTime: 200 * time.Millisecond},
			spill.OwnState{Slots: 8, ExpectedWait: 150 * time.Millisecond},
			true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := spill.New(spill.Settings{})
			s.AddReport(now, test.report)
			to, send := s.Decide(now.Add(test.age), test.request, test.own)
			require.Equal(t, test.send, send)
			if send {
				require.Equal(t, test.report.Instance, to)
				_, send = s.Decide(now.Add(test.age), test.request, test.own)
				require.False(t, send, "the reported capacity is used up")
				require.Equal(t, spill.Counts{Sent: 1, Unplaced: 1}, s.Counts())
			}
		})
	}
}

// TestGrant checks that a centre reserves a part of its slots, divides the rest
// among the instances that ask, and accepts no requests while its own ones wait.
func TestGrant(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	s := spill.New(spill.Settings{ReservedPart: 0.2})
	own := spill.OwnState{Slots: 100, Free: 60}
	require.Equal(t, 40, s.GrantCapacity(now, "a", own))
	require.Equal(t, 20, s.GrantCapacity(now, "b", own))
	require.Equal(t, 40, s.GrantCapacity(now.Add(time.Minute), "a", own))
	require.Zero(t, s.GrantCapacity(now, "a", spill.OwnState{Slots: 100, Free: 15}))
	require.Zero(t, s.GrantCapacity(now, "a", spill.OwnState{Slots: 100, Free: 60, Waiting: 1}))
}

// TestShouldAsk guards against needless messages: other centres are not asked while
// requests stay, and at growing intervals while there is no capacity.
func TestShouldAsk(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	s := spill.New(spill.Settings{})
	_, _ = s.Decide(now, spill.Request{}, spill.OwnState{Slots: 8, Free: 1})
	_, _ = s.Decide(now, spill.Request{Hops: 1}, spill.OwnState{})
	require.False(t, s.ShouldAsk(now))
	countAsks := func() (n int) {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			_, _ = s.Decide(now, spill.Request{}, spill.OwnState{})
			if s.ShouldAsk(now) {
				n++
				s.AddReport(now, spill.Report{Instance: "a"})
			}
		}
		return n
	}
	require.Equal(t, 7, countAsks())
	require.Equal(t, 3, countAsks())
}

// TestForget checks that an unreachable instance gets no more requests.
func TestForget(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	s := spill.New(spill.Settings{})
	s.AddReport(now, spill.Report{Instance: "a", Capacity: 5})
	s.AddReport(now, spill.Report{Instance: "b", Capacity: 3})
	to, _ := s.Decide(now, spill.Request{}, spill.OwnState{})
	require.Equal(t, "a", to)
	s.Forget("a")
	to, _ = s.Decide(now, spill.Request{}, spill.OwnState{})
	require.Equal(t, "b", to)
}
