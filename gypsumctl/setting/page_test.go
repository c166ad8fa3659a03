package setting_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/gypsumctl/setting"
)

// TestPage checks that docs/SETTINGS.md contains the table of keys exactly as
// Markdown returns it.
func TestPage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Contains(t, string(page), "\n"+setting.Markdown()+"\n")
}
