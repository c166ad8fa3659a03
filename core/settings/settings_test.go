package settings_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"

	"gypsumward/core/settings"
	"gypsumward/core/settings/size"
	"gypsumward/core/span"
)

func TestParse(t *testing.T) {
	t.Parallel()
	team, faults := settings.Parse("crew.toml", "# gala season\nweight = 2\nbytes = \"1536KiB\"\ndeadline = \"2s\"\nspill = [\"price\"]\n")
	require.Nil(t, faults)
	want := settings.Default()
	want.Weight, want.MaxQueuedBytes, want.DefaultDeadline, want.SpillKinds = 2, 1536*size.KiB, 2*span.Second, []string{"price"}
	require.Equal(t, want, team)
	require.True(t, team.MaySpill("price"))
	require.False(t, team.MaySpill("slot"))
	require.True(t, settings.Default().MaySpill("slot"))
	team, faults = settings.Parse("crew.toml", "spill = []")
	require.Nil(t, faults)
	require.False(t, team.MaySpill("price"))
}

func TestParseRefused(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"weight = 2\nwieght = 3":       "crew.toml:2: wieght: there is no such key; allowed are weight, floor, ",
		"\n[limits]\ncount = 1":        "crew.toml:2: limits: there is no such key",
		"a.b = 1":                      "crew.toml:1: a: there is no such key",
		"weight = \"2\"":               "crew.toml:1: weight: String, not a number; allowed: 0.01 to 1000 (share)",
		"weight = 0":                   "crew.toml:1: weight: 0 is out of range; allowed: 0.01 to 1000",
		"weight = nan":                 "crew.toml:1: weight: NaN is out of range",
		"weight = inf":                 "crew.toml:1: weight: +Inf is out of range",
		"floor = 0.95":                 "crew.toml:1: floor: 0.95 is out of range; allowed: 0 to 0.9",
		"count = 1.5":                  "crew.toml:1: count: incompatible types",
		"count = -1":                   "crew.toml:1: count: -1 is out of range; allowed: 1 to 1000000 (tasks and requests)",
		"count = 99999999999999999":    "crew.toml:1: count: 99999999999999999 is out of range",
		"count = 1\ncount = 2":         "crew.toml:2: ",
		"bytes = 64":                   "crew.toml:1: bytes: Integer, not a text; allowed: 1MiB to 4GiB (B, KiB, MiB or GiB)",
		"bytes = \"64MB\"":             "crew.toml:1: bytes: \"64MB\" is not a size with a unit such as 512KiB",
		"bytes = \"9999999999GiB\"":    "crew.toml:1: bytes: \"9999999999GiB\" is not a size",
		"bytes = \"-1MiB\"":            "crew.toml:1: bytes: \"-1MiB\" is not a size",
		"\n\ndeadline = 30":            "crew.toml:3: deadline: Integer, not a text; allowed: 10ms to 24h0m0s (ms, s, m or h)",
		"deadline = \"30\"":            "crew.toml:1: deadline: \"30\" is not a time with a unit",
		"deadline = \"-1s\"":           "crew.toml:1: deadline: -1s is out of range",
		"hedge = 2":                    "crew.toml:1: hedge: 2 is out of range; allowed: 0 (off) to 0.5",
		"spill = [\"a b\"]":            "crew.toml:1: spill: kind: byte 0x20",
		"spill = [1]":                  "crew.toml:1: spill: incompatible types",
		"spill = \"all\"":              "crew.toml:1: spill: String, not a list of text",
		"wave = 1201":                  "crew.toml:1: wave: 1201 is out of range; allowed: 1 to 1200",
		"weight = \n":                  "crew.toml:1: weight: ",
		strings.Repeat("#", 5000):      "crew.toml: 5000 bytes; allowed are up to 4096",
		"weight = 0\ncount = 0\nx = 1": "crew.toml:3: x: there is no such key",
	} {
		_, faults := settings.Parse("crew.toml", text)
		require.NotNil(t, faults, text)
		require.Contains(t, faults.Error(), want)
	}
}

func TestKeys(t *testing.T) {
	t.Parallel()
	for _, key := range settings.Keys() {
		require.NotEmpty(t, key.Description, key.Name)
		_, faults := settings.Parse("default", key.Name+" = "+key.FormatDefault())
		require.Nil(t, faults, key.Name)
	}
}

func TestTree(t *testing.T) {
	t.Parallel()
	_, faults := settings.NewTree(settings.Snapshot{Revision: 3, Teams: []settings.Subtree{{Team: "crew", Text: "weight = 0"}, {Team: "gilders"}}})
	require.Len(t, faults, 1)
	_, faults = settings.NewTree(settings.Snapshot{Teams: []settings.Subtree{{Team: "crew"}, {Team: "crew"}, {Team: "a/b"}}})
	require.Len(t, faults, 2)

	var active settings.ActiveTree
	require.Zero(t, active.Tree().Revision())
	team, ok := active.Tree().Team("crew")
	require.False(t, ok)
	require.Equal(t, settings.Default(), team)
	_, changed := active.Watch()
	at := func(revision int64, weight string) *settings.Tree {
		tree, faults := settings.NewTree(settings.Snapshot{Revision: revision, Teams: []settings.Subtree{{Team: "crew", Text: "weight = " + weight}}})
		require.Nil(t, faults)
		return tree
	}
	require.True(t, active.Update(at(7, "2")))
	<-changed
	require.False(t, active.Update(at(6, "3")))
	require.False(t, active.Update(at(7, "3")))
	team, ok = active.Tree().Team("crew")
	require.True(t, ok)
	require.InDelta(t, 2, team.Weight, 0)
	require.True(t, active.Update(at(8, "3")))
}

func FuzzParse(f *testing.F) {
	f.Add("weight = 2\nspill = [\"a\", \"*\"]\nbytes = \"64MiB\"\ndeadline = \"1m30s\"")
	f.Add("[weight]\n[[spill]]\nx = 1")
	f.Add("count = 1e400\nwave = 0x10\nfloor = -nan\n\"spill\" = [[]]")
	f.Add("deadline = 1979-05-27T07:32:00Z\nbytes.x = '''\n'''")
	f.Fuzz(func(t *testing.T, text string) {
		team, faults := settings.Parse("f", text)
		if faults != nil {
			require.NotEmpty(t, faults.Error())
			return
		}
		var rendered strings.Builder
		for _, key := range settings.Keys() {
			rendered.WriteString(key.Name + " = " + key.FormatValue(team) + "\n")
		}
		var decoded map[string]any
		_, err := toml.Decode(rendered.String(), &decoded)
		require.NoError(t, err)
		reparsed, faults := settings.Parse("f", rendered.String())
		require.Nil(t, faults)
		require.Equal(t, team.SpillKinds == nil, reparsed.SpillKinds == nil)
		reparsed.SpillKinds = team.SpillKinds
		require.Equal(t, team, reparsed)
	})
}

func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(`{"revision":7,"teams":[{"team":"crew","version":7,"text":"weight = 2","at":"2026-12-04T09:54:18Z"}]}`))
	f.Add([]byte(`{"revision":-1,"teams":[{"team":"a/b"},{"team":"crew","text":"[x"},{"team":"crew"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s settings.Snapshot
		if json.Unmarshal(data, &s) != nil {
			return
		}
		var active settings.ActiveTree
		tree, faults := settings.NewTree(s)
		require.Equal(t, tree == nil, faults != nil)
		if faults != nil {
			require.NotEmpty(t, faults.Error())
			return
		}
		require.Equal(t, s.Revision > 0, active.Update(tree))
		for _, sub := range s.Teams {
			_, ok := tree.Team(sub.Team)
			require.True(t, ok)
		}
	})
}

func BenchmarkTreeTeam(b *testing.B) {
	var active settings.ActiveTree
	tree, _ := settings.NewTree(settings.Snapshot{Revision: 1, Teams: []settings.Subtree{{Team: "crew", Text: "weight = 2"}, {Team: "gilders"}}})
	active.Update(tree)
	b.ReportAllocs()
	for b.Loop() {
		if team, ok := active.Tree().Team("crew"); !ok || team.Weight != 2 {
			b.Fatal(team)
		}
	}
}
