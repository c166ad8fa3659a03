package roster_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/roster"
	"gypsumward/core/table"
	"gypsumward/core/table/memstore"
)

func newRoster(s *memstore.Store, node string) *roster.Roster {
	return &roster.Roster{
		Store: s, Self: election.Member{Node: node, Incarnation: node + "@1"}, Log: log.NewNopLogger(),
		Clock: wallClock{}, Interval: func() time.Duration { return time.Second },
	}
}

// wallClock is the clock of the bubble of a test.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// start runs f until the test ends.
func start(t *testing.T, f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// TestMembers registers instances while the store is down at first, lets one leave and
// adds rows that name no member.
func TestMembers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		s.SetDown(true)
		a, b := newRoster(s, "a"), newRoster(s, "b")
		ctx := t.Context()
		defer start(t, a.Run)()
		defer start(t, a.Register)()
		stop := start(t, b.Register)
		time.Sleep(10 * time.Second)
		require.Empty(t, a.Members())
		require.Less(t, s.Writes(), 60)
		s.SetDown(false)
		time.Sleep(7 * time.Second)
		require.Equal(t, []election.Member{a.Self, b.Self}, a.Members())
		for key, value := range map[string]string{"c": `"x"`, "d": `{}`, "e": `{"node":"f"}`} {
			_, err := s.Write(ctx, table.Write{Ops: []table.Op{{Key: roster.Prefix + key, IfVersion: table.AnyVersion, Value: json.RawMessage(value)}}})
			require.NoError(t, err)
		}
		stop()
		b.Deregister(ctx)
		time.Sleep(2 * time.Second)
		require.Equal(t, []election.Member{a.Self}, a.Members())
	})
}

// TestExpiry lets an instance end without removing its row, beside one that goes on and one
// whose row cannot be decoded. Only the rows of instances that go on must stay.
func TestExpiry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		a, b := newRoster(s, "a"), newRoster(s, "b")
		_, err := s.Write(t.Context(), table.Write{Ops: []table.Op{{Key: roster.Prefix + "x", IfVersion: table.AnyVersion, Value: json.RawMessage(`1`)}}})
		require.NoError(t, err)
		defer start(t, a.Run)()
		defer start(t, a.Register)()
		stop := start(t, b.Register)
		time.Sleep(time.Minute)
		stop()
		require.Len(t, a.Members(), 2)
		time.Sleep(25 * time.Minute)
		require.Len(t, a.Members(), 2, "it may be cut off")
		time.Sleep(10 * time.Minute)
		require.Equal(t, []election.Member{a.Self}, a.Members())
		require.Zero(t, s.Row(roster.Prefix+"b").Version)
		require.Zero(t, s.Row(roster.Prefix+"x").Version)
		defer start(t, b.Register)()
		time.Sleep(3 * time.Hour)
		require.Equal(t, []election.Member{a.Self, b.Self}, a.Members())
		s.SetDown(true)
		time.Sleep(time.Hour)
		s.SetDown(false)
		for range 100 {
			time.Sleep(10 * time.Second)
			require.Len(t, a.Members(), 2, "none could write its row")
		}
	})
}

// TestLateDeregister carries out the removal of a row when the next incarnation of the
// instance has registered. It must stay registered.
func TestLateDeregister(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		first, next := newRoster(s, "a"), newRoster(s, "a")
		first.Deregister(t.Context())
		require.Zero(t, s.Writes(), "it has never registered")
		stop := start(t, first.Register)
		time.Sleep(time.Second)
		stop()
		defer start(t, next.Register)()
		time.Sleep(time.Second)
		first.Deregister(t.Context())
		require.NotZero(t, s.Row(roster.Prefix+"a").Version)
	})
}

// TestReadInterval checks that the rows an instance reads in a second do not grow with the
// fleet.
func TestReadInterval(t *testing.T) {
	t.Parallel()
	require.Equal(t, 5*time.Second, roster.ReadInterval(0, true))
	require.Equal(t, 15*time.Second, roster.ReadInterval(9, false))
	for _, members := range []int{9, 147, 945, 10_000} {
		require.LessOrEqual(t, float64(members)/roster.ReadInterval(members, true).Seconds(), 10.0)
	}
}
