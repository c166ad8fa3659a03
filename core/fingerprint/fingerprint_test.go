package fingerprint_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/fingerprint"
)

func of(names ...string) fingerprint.Set { return fingerprint.Of(slices.Values(names)) }

func TestOf(t *testing.T) {
	t.Parallel()
	require.NotZero(t, of())
	require.Equal(t, of("a", "b", "c"), of("c", "a", "b"))
	require.NotEqual(t, of("a", "b"), of("a"))
	require.NotEqual(t, of("i-1", "i-4"), of("i-2", "i-3"))
}

// TestDifferent draws sets of similar names. Different ones must have different fingerprints.
func TestDifferent(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) map[int]bool {
			return rapid.MapOf(rapid.IntRange(0, 40), rapid.Just(true)).Draw(t, label)
		}
		a, b := draw("a"), draw("b")
		names := func(set map[int]bool) (list []string) {
			for n := range set {
				list = append(list, fmt.Sprintf("i-%d", n))
			}
			return list
		}
		same := len(a) == len(b)
		for n := range a {
			same = same && b[n]
		}
		require.Equal(t, same, of(names(a)...) == of(names(b)...))
	})
}
