package logring_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/logring"
)

func TestRing(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	r := logring.New(&out, 2)
	line := []byte("first\n")
	for range 2 {
		n, err := r.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	copy(line, "later")
	_, err := r.Write([]byte("dropped\n"))
	require.NoError(t, err)
	require.Equal(t, int64(1), r.Dropped())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.Run(ctx)
	require.Contains(t, out.String(), "first\nfirst\n")
	require.NotContains(t, out.String(), "dropped\n")
}
