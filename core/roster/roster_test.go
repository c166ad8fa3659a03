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
		Interval: func() time.Duration { return time.Second },
	}
}

// TestMembers registers instances while the store is down at first, lets one leave and
// adds rows that name no member.
func TestMembers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		s.SetDown(true)
		a, b := newRoster(s, "a"), newRoster(s, "b")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { a.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		go a.Register(ctx)
		go b.Register(ctx)
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
		b.Deregister(ctx)
		time.Sleep(2 * time.Second)
		require.Equal(t, []election.Member{a.Self}, a.Members())
	})
}
