package table_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	coretable "gypsumward/core/table"
	"gypsumward/standin/table"
)

func put(key string, version int64, value string) coretable.Op {
	return coretable.Op{Key: key, IfVersion: version, Value: json.RawMessage(value)}
}

// TestWriteConditions checks that a transaction takes effect only if all its
// conditions hold, and otherwise reports the rows in conflict and changes
// nothing.
func TestWriteConditions(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		ops      []coretable.Op
		done     bool
		conflict []string
	}{
		{name: "absent row", ops: []coretable.Op{put("new", 0, "2")}, done: true},
		{name: "any version", ops: []coretable.Op{put("old", coretable.AnyVersion, "2")}, done: true},
		{name: "right version", ops: []coretable.Op{put("old", 1, "2")}, done: true},
		{name: "row exists", ops: []coretable.Op{put("old", 0, "2")}, conflict: []string{"old"}},
		{name: "wrong version", ops: []coretable.Op{put("old", 7, "2")}, conflict: []string{"old"}},
		{name: "row is absent", ops: []coretable.Op{put("new", 1, "2")}, conflict: []string{"new"}},
		{name: "one of two", ops: []coretable.Op{put("new", 0, "2"), put("old", 0, "2")}, conflict: []string{"old"}},
		{name: "both", ops: []coretable.Op{put("new", 3, "2"), put("old", 3, "2")}, conflict: []string{"new", "old"}},
		{name: "delete", ops: []coretable.Op{{Key: "old", IfVersion: 1, Delete: true}}, done: true},
		{name: "delete wrong version", ops: []coretable.Op{{Key: "old", IfVersion: 2, Delete: true}}, conflict: []string{"old"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var s table.Store
			_, err := s.Write(coretable.Write{Ops: []coretable.Op{put("old", 0, "1")}})
			require.NoError(t, err)
			before := s.Scan(coretable.Scan{})

			written, err := s.Write(coretable.Write{Ops: test.ops})
			require.NoError(t, err)
			require.Equal(t, test.done, written.Committed)
			if test.done {
				require.Equal(t, int64(2), written.Version)
				return
			}
			var keys []string
			for _, row := range written.Conflicts {
				keys = append(keys, row.Key)
				require.Equal(t, s.Read(coretable.Read{Keys: []string{row.Key}}).Rows[0], row)
			}
			require.Equal(t, test.conflict, keys)
			require.Equal(t, before, s.Scan(coretable.Scan{}), "a write in conflict changes nothing")
		})
	}
}

// TestWriteLimits checks that transactions beyond the limits and with empty or
// repeated keys are errors and change nothing.
func TestWriteLimits(t *testing.T) {
	t.Parallel()
	large := `"` + strings.Repeat("x", coretable.MaxValueBytes) + `"`
	many := make([]coretable.Op, coretable.MaxOpsPerWrite+1)
	for i := range many {
		many[i] = put(fmt.Sprint(i), 0, "1")
	}
	for _, ops := range [][]coretable.Op{
		nil, many, {put("", 0, "1")}, {put("a", 0, "1"), put("a", 0, "1")}, {put("a", 0, large)},
	} {
		var s table.Store
		_, err := s.Write(coretable.Write{Ops: ops})
		require.Error(t, err)
		require.Zero(t, s.RowCount())
	}
}

// TestScanPages checks that paging returns each row with the prefix once, in
// order.
func TestScanPages(t *testing.T) {
	t.Parallel()
	var s table.Store
	for _, key := range []string{"b/2", "a/1", "b/1", "b/3", "c", "b"} {
		_, err := s.Write(coretable.Write{Ops: []coretable.Op{put(key, 0, "1")}})
		require.NoError(t, err)
	}
	var keys []string
	for after := ""; ; {
		rows := s.Scan(coretable.Scan{Prefix: "b/", After: after, Limit: 2}).Rows
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			keys = append(keys, row.Key)
			after = row.Key
		}
	}
	require.Equal(t, []string{"b/1", "b/2", "b/3"}, keys)
}

// TestStoreModel compares the store with a map of versions over random
// transactions.
func TestStoreModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var s table.Store
		model := make(map[string]int64)
		var last int64
		for range rapid.IntRange(1, 40).Draw(t, "transactions") {
			keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID).Draw(t, "keys")
			ops := make([]coretable.Op, len(keys))
			holds := true
			for i, key := range keys {
				version := rapid.SampledFrom([]int64{coretable.AnyVersion, 0, model[key]}).Draw(t, "if")
				ops[i] = coretable.Op{Key: key, IfVersion: version, Delete: rapid.Bool().Draw(t, "delete")}
				holds = holds && (version == coretable.AnyVersion || version == model[key])
			}
			written, err := s.Write(coretable.Write{Ops: ops})
			require.NoError(t, err)
			require.Equal(t, holds, written.Committed)
			for _, op := range ops {
				if holds && op.Delete {
					delete(model, op.Key)
				} else if holds {
					require.Greater(t, written.Version, last)
					model[op.Key] = written.Version
				}
			}
			last = max(last, written.Version)
			require.Equal(t, len(model), s.RowCount())
			for _, row := range s.Scan(coretable.Scan{}).Rows {
				require.Equal(t, model[row.Key], row.Version)
			}
		}
	})
}
