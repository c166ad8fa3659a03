package span_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/span"
)

func TestSpanText(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		text string
		want time.Duration
		bad  bool
	}{
		{text: `"250ms"`, want: 250 * time.Millisecond},
		{text: `"1m30s"`, want: 90 * time.Second},
		{text: `"-1s"`, want: -time.Second},
		{text: `"250"`, bad: true},
		{text: `250`, bad: true},
		{text: `"soon"`, bad: true},
	} {
		var got span.Span
		err := json.Unmarshal([]byte(test.text), &got)
		require.Equal(t, test.bad, err != nil, test.text)
		if !test.bad {
			require.Equal(t, test.want, got.Duration(), test.text)
		}
	}
}
