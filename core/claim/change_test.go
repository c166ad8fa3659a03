package claim_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/table"
)

// The tasks below the mark may have been started, except for those listed as never
// started; numbers beyond the tasks of the row must be ignored.
func TestStarted(t *testing.T) {
	t.Parallel()
	row := claim.Row{Tasks: 5, Mark: 3, NeverStarted: []int{1, 9}}
	require.Equal(t, []bool{true, false, true, false, false}, row.MayHaveStarted())
	require.Equal(t, []bool{true, true}, claim.Row{Tasks: 2, Mark: 7}.MayHaveStarted())
	require.Empty(t, claim.Row{}.MayHaveStarted())
}

// A change whose first operation were unconditional would let a previous owner
// overwrite a row that was taken over.
func TestChangesAreConditional(t *testing.T) {
	t.Parallel()
	row := claim.Row{Key: claim.JobKey(api.Key{Team: "crew", ID: "j1"}), Owner: "a@1", Nonce: "n"}
	for name, change := range map[string][]table.Op{
		"claim":   claim.Claim(row, 0).Ops,
		"extend":  claim.RaiseMark(row, 7).Ops,
		"take":    claim.TakeOver(row, 7, "b@1").Ops,
		"release": claim.Release(row, 7).Ops,
		"finish":  claim.Finish(row, 7).Ops,
	} {
		require.Equal(t, row.Key, change[0].Key, name)
		require.NotEqual(t, int64(table.AnyVersion), change[0].IfVersion, name)
		require.NotEmpty(t, change[0].Value, name)
	}
}
