package live_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/table"
	"gypsumward/standin/live"
)

const fleet = `
[[members]]
id = "r1"
kind = "runner"
addr = "127.0.0.1:1"
centre = "como"

[[members]]
id = "w1"
kind = "worker"
addr = "127.0.0.1:2"
centre = "como"
`

// TestListLags checks that a member that dies stays in the list for the lag.
func TestListLags(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(file, []byte(fleet), 0o600))
	clock := clockwork.NewFakeClock()
	dead := ""
	l := &live.List{
		File: file, Lag: 2 * time.Second, ProbeInterval: time.Second, Clock: clock,
		Probe: func(_ context.Context, m table.Member) (bool, bool) { return m.ID != dead, false },
	}
	require.NoError(t, l.LoadFleet())
	for probe, want := range []int{2, 2, 2, 1, 1} {
		if probe == 1 {
			dead = "r1"
		}
		l.ProbeAll(t.Context())
		require.Len(t, l.Snapshot().Members, want, "round %d", probe)
		clock.Advance(time.Second)
	}
	require.Equal(t, "w1", l.Snapshot().Members[0].ID)
}

// TestLoadRefuses checks that a fleet file with an unknown key, and a missing
// one, are errors.
func TestLoadRefuses(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(file, []byte(fleet+"colour = 1\n"), 0o600))
	require.ErrorContains(t, (&live.List{File: file}).LoadFleet(), "colour")
	require.Error(t, (&live.List{File: file + "x"}).LoadFleet())
}
