package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
)

// TestReadInterval checks that a runner that leaves is noticed in time however many runners
// the directory has, and that few runners are not read needlessly often.
func TestReadInterval(t *testing.T) {
	t.Parallel()
	for _, drain := range []time.Duration{2 * time.Second, 4 * time.Second} {
		for _, runners := range []int{0, 48, 64, 350, 10_000} {
			d := cell.ReadInterval(runners, drain)
			require.GreaterOrEqual(t, d, 400*time.Millisecond)
			require.LessOrEqual(t, 2*d, drain, "one read may fail")
		}
	}
	require.Equal(t, 512*time.Millisecond, cell.ReadInterval(64, 4*time.Second))
}
