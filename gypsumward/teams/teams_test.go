package teams_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/settings"
	"gypsumward/core/span"
	"gypsumward/gypsumward/teams"
)

// tree returns the settings tree of a revision that has the given texts by team.
func tree(t *testing.T, revision int64, texts map[string]string) *settings.Tree {
	t.Helper()
	s := settings.Snapshot{Revision: revision}
	for team, text := range texts {
		s.Teams = append(s.Teams, settings.Subtree{Team: team, Version: revision, Text: text})
	}
	tree, faults := settings.NewTree(s)
	require.Empty(t, faults)
	return tree
}

func TestKnown(t *testing.T) {
	t.Parallel()
	active := &settings.ActiveTree{}
	known := &teams.Teams{Active: active}
	require.True(t, known.Known("crew"), "no tree was ever had")
	require.Equal(t, api.DefaultDeadline, known.Deadline("crew"))

	active.Update(tree(t, 1, map[string]string{"crew": "deadline = \"5s\"\n"}))
	require.True(t, known.Known("crew"))
	require.False(t, known.Known("choir"))
	require.Equal(t, 5*span.Second, known.Deadline("crew"))

	active.Update(tree(t, 2, nil))
	require.False(t, known.Known("crew"), "the last team was removed")
}

// recorder records the weights that Jobs or Requests receive.
type recorder struct {
	weights map[string][]float64
}

// jobs and requests implement the two forms of SetTeamWeight.
type (
	jobs     struct{ recorder }
	requests struct{ recorder }
)

func (j jobs) SetTeamWeight(team string, weight, floor float64) {
	j.weights[team] = []float64{weight, floor}
}

func (r requests) SetTeamWeight(team string, weight, floor, ratio float64) {
	r.weights[team] = []float64{weight, floor, ratio}
}

func TestApply(t *testing.T) {
	t.Parallel()
	j, r := &jobs{}, &requests{}
	steered := &teams.Teams{Jobs: j, Requests: r}
	for i, s := range []struct {
		name  string
		texts map[string]string
		want  map[string][]float64
	}{
		{"first", map[string]string{"crew": "weight = 2\nretry = 0\n", "choir": ""}, map[string][]float64{"crew": {2, 0.1, 0}, "choir": {1, 0.1, 0.1}}},
		{"same", map[string]string{"crew": "weight = 2.0\nretry = 0.0\ndeadline = \"1s\"", "choir": ""}, map[string][]float64{}},
		{"one", map[string]string{"crew": "weight = 2\nretry = 0\n", "choir": "floor = 0.5"}, map[string][]float64{"choir": {1, 0.5, 0.1}}},
		{"gone", map[string]string{"choir": "floor = 0.5"}, map[string][]float64{"crew": {1, 0.1, 0.1}}},
		{"again", map[string]string{"choir": "floor = 0.5", "crew": ""}, map[string][]float64{"crew": {1, 0.1, 0.1}}},
	} {
		j.weights, r.weights = map[string][]float64{}, map[string][]float64{}
		steered.Apply(tree(t, int64(i+1), s.texts))
		require.Equal(t, s.want, r.weights, s.name)
		require.Len(t, j.weights, len(s.want), s.name)
		for team, want := range s.want {
			require.Equal(t, want[:2], j.weights[team], s.name)
		}
	}
}
