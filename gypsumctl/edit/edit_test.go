package edit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/gypsumctl/edit"
)

// TestSet checks that Set changes one line and keeps the others, and refuses
// invalid values and edits that change another key. An empty want means an
// error.
func TestSet(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ text, key, value, want string }{
		{"", "weight", "2", "weight = 2\n"},
		{"# a\n weight=1 # b\n# c", "weight", "2", "# a\nweight = 2\n# c"},
		{"count = 7", "weight", "2", "count = 7\nweight = 2\n"},
		{"weight = 1\ncount = 7\n", "weight", "", "count = 7\n"},
		{"count = 7\n", "weight", "", "count = 7\n"},
		{"spill = [\n\"a\",\n]\n", "spill", "[]", ""},
		{"", "weight", "2\ncount = 9", ""},
		{"", "colour", "2", ""},
	} {
		got, _, err := edit.Set(test.text, test.key, test.value)
		require.Equal(t, test.want, got, test.text)
		require.Equal(t, test.want == "", err != nil, test.text)
	}
}
