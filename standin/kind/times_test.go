package kind_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/standin/kind"
)

// TestTimes checks that run times follow the speed, stay within the largest
// deviation, are reproducible and can be set by the input.
func TestTimes(t *testing.T) {
	t.Parallel()
	times := kind.New()
	require.NoError(t, times.Set("polish=100ms"))
	require.Error(t, times.Set("polish=100"))
	times.Speed = 2
	for i := range 100 {
		id := fmt.Sprint(i)
		d := times.RunTime("polish", id, kind.Input{})
		require.InDelta(t, 50*time.Millisecond, d, float64(10*time.Millisecond))
		require.Equal(t, d, times.RunTime("polish", id, kind.Input{}))
	}
	require.Equal(t, 100*time.Millisecond, times.RunTime("polish", "a", kind.ParseInput([]byte(`{"run":"200ms"}`))))
	require.Equal(t, kind.Input{}, kind.ParseInput([]byte(`[1]`)))
}
