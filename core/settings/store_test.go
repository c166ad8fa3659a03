package settings_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/settings"
	"gypsumward/core/settings/tabletest"
	"gypsumward/core/table"
)

func newStore(rows *tabletest.Table) *settings.Store {
	return &settings.Store{Table: rows, Clock: clockwork.NewFakeClock(), MaxAttempts: 1}
}

func put(t *testing.T, s *settings.Store, c settings.Change) settings.Result {
	r := s.Put(t.Context(), c)
	require.Equal(t, settings.OutcomeWritten, r.Outcome, r.Detail)
	return r
}

func TestPutAndLoad(t *testing.T) {
	t.Parallel()
	rows := &tabletest.Table{}
	s := newStore(rows)
	tree, err := s.Load(t.Context())
	require.NoError(t, err)
	require.Zero(t, tree.Revision())

	first := put(t, s, settings.Change{Team: "crew", Text: "weight = 2", Author: "ada"})
	put(t, s, settings.Change{Team: "gilders", Text: "weight = 3", Author: "bo"})
	second := put(t, s, settings.Change{Team: "crew", Base: first.Revision, Text: "weight = 4", Author: "cy"})
	before := len(rows.Log())
	require.Equal(t, settings.OutcomeUnchanged, s.Put(t.Context(), settings.Change{Team: "crew", Base: first.Revision, Text: "weight = 4"}).Outcome)
	conflict := s.Put(t.Context(), settings.Change{Team: "crew", Base: first.Revision, Text: "weight = 5"})
	require.Equal(t, settings.OutcomeConflict, conflict.Outcome)
	require.Equal(t, "cy", conflict.Winner.Author)
	require.Equal(t, second.Revision, conflict.Current.Version)
	require.Contains(t, conflict.Detail, "settings/team/crew has version 3, not 1: cy changed it at ")
	require.Nil(t, conflict.Refusal())
	invalid := s.Put(t.Context(), settings.Change{Team: "crew", Base: second.Revision, Text: "weight = 0"})
	require.Equal(t, settings.OutcomeInvalid, invalid.Outcome)
	require.Equal(t, api.ReasonInvalid, invalid.Refusal().Reason)
	require.Len(t, rows.Log(), before)

	tree, err = s.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, second.Revision, tree.Revision())
	team, ok := tree.Team("crew")
	require.True(t, ok)
	require.InDelta(t, 4, team.Weight, 0)
	removal := put(t, s, settings.Change{Team: "crew", Base: second.Revision, Remove: true})
	tree, err = s.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, removal.Revision, tree.Revision())
	_, ok = tree.Team("crew")
	require.False(t, ok)
	put(t, s, settings.Change{Team: "crew", Text: "weight = 6"})
	list, err := s.History(t.Context(), "crew")
	require.NoError(t, err)
	require.Len(t, list, 4)
	require.True(t, list[1].Removed)
}

func TestOutage(t *testing.T) {
	t.Parallel()
	rows := &tabletest.Table{}
	failing := "read"
	rows.BeforeCall = func(call string) error {
		if call == failing {
			return errLost
		}
		return nil
	}
	s := newStore(rows)
	r := s.Put(t.Context(), settings.Change{Team: "crew"})
	require.Equal(t, settings.OutcomeFailed, r.Outcome)
	require.Equal(t, api.RanNot, r.Refusal().Ran)
	_, err := s.Load(t.Context())
	require.ErrorIs(t, err, errLost)
	failing = "write"
	r = s.Put(t.Context(), settings.Change{Team: "crew"})
	require.Equal(t, settings.OutcomeUnknown, r.Outcome)
	require.Equal(t, api.RanUnknown, r.Refusal().Ran)
	s.MayHaveTakenEffect = func(error) bool { return false }
	require.Equal(t, settings.OutcomeFailed, s.Put(t.Context(), settings.Change{Team: "crew"}).Outcome)
}

// TestUnreadableSubtree checks that a subtree that this release cannot read, as one
// written by a newer release, does not hold up changes of other teams. Its own team
// keeps the previous settings until the subtree is replaced.
func TestUnreadableSubtree(t *testing.T) {
	t.Parallel()
	rows := &tabletest.Table{}
	s := newStore(rows)
	first := put(t, s, settings.Change{Team: "crew", Text: "weight = 2"})
	put(t, s, settings.Change{Team: "crew", Base: first.Revision, Text: "weight = 3"})
	for _, value := range []string{`{"text":"colour = 1","base":2}`, `[7]`} {
		_, err := rows.Write(t.Context(), table.Write{Ops: []table.Op{{Key: settings.TeamRowKey("crew"), IfVersion: table.AnyVersion, Value: []byte(value)}}})
		require.NoError(t, err)
		other := put(t, s, settings.Change{Team: fmt.Sprintf("team%d", len(rows.Log())), Text: "weight = 9"})
		tree, err := s.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, other.Revision, tree.Revision())
		team, _ := tree.Team("crew")
		require.InDelta(t, 2, team.Weight, 0)
		require.NotEmpty(t, tree.Snapshot().Teams[0].Fault)
	}
	tree, err := s.Load(t.Context())
	require.NoError(t, err)
	put(t, s, settings.Change{Team: "crew", Base: tree.Snapshot().Teams[0].Version, Text: "weight = 5"})
	tree, err = s.Load(t.Context())
	require.NoError(t, err)
	team, _ := tree.Team("crew")
	require.InDelta(t, 5, team.Weight, 0)
}

// TestLoadIsOneRevision checks that a load during which a subtree changes starts
// over and returns the subtrees of one revision.
func TestLoadIsOneRevision(t *testing.T) {
	t.Parallel()
	rows := &tabletest.Table{}
	s := newStore(rows)
	s.MaxAttempts = 2
	first := put(t, s, settings.Change{Team: "crew", Text: "weight = 2"})
	changesLeft := 1
	rows.BeforeCall = func(call string) error {
		if call == "scan" && changesLeft > 0 {
			changesLeft--
			rows.BeforeCall, s = nil, newStore(rows)
			put(t, s, settings.Change{Team: "crew", Base: first.Revision, Text: "weight = 3"})
		}
		return nil
	}
	tree, err := s.Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, int64(2), tree.Revision())
	team, _ := tree.Team("crew")
	require.InDelta(t, 3, team.Weight, 0)
}

func TestManyTeamsAndLongHistory(t *testing.T) {
	t.Parallel()
	s := newStore(&tabletest.Table{})
	for i := range table.MaxScanRows + 1 {
		put(t, s, settings.Change{Team: fmt.Sprintf("t%d", i), Text: "weight = 2"})
	}
	tree, err := s.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, tree.Snapshot().Teams, table.MaxScanRows+1)
	base := int64(1)
	for i := range 40 {
		text := fmt.Sprintf("count = %d # %s", i+1, strings.Repeat("x", settings.MaxTextBytes-20))
		base = put(t, s, settings.Change{Team: "t0", Base: base, Text: text}).Revision
	}
	list, err := s.History(t.Context(), "t0")
	require.NoError(t, err)
	require.Greater(t, len(list), 8)
	found, err := s.Table.Read(t.Context(), table.Read{Keys: []string{"settings/past/t0"}})
	require.NoError(t, err)
	require.Less(t, len(found.Rows[0].Value), table.MaxValueBytes)
}
