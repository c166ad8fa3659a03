package command_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
)

// TestPage checks that docs/API.md has a table row for every refusal reason.
func TestPage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	for _, reason := range []api.Reason{
		api.ReasonInvalid, api.ReasonTeam, api.ReasonConflict, api.ReasonMissing, api.ReasonFull,
		api.ReasonDeadline, api.ReasonStore, api.ReasonStopping, api.ReasonTargets, api.ReasonUnfit,
		api.ReasonTask, api.ReasonLost, api.ReasonOwner, api.ReasonTarget, api.ReasonCancelled,
	} {
		require.Contains(t, string(page), "\n| `"+string(reason)+"` | ")
	}
}
