package access_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/access"
)

// keyEntry returns the lines of a key file for one key.
func keyEntry(name, role, teams, secret string) string {
	return fmt.Sprintf("[[keys]]\nname = %q\nrole = %q\nteams = %s\nsum = \"%x\"\n", name, role, teams, sha256.Sum256([]byte(secret)))
}

func TestFind(t *testing.T) {
	t.Parallel()
	keys, err := access.Parse("k", []byte(keyEntry("a", "caller", `["crew"]`, "one")+keyEntry("b", "operator", `["*"]`, "two")))
	require.NoError(t, err)
	for secret, name := range map[string]string{"one": "a", "two": "b", "": "", "on": "", "onee": "", "One": "", "a": ""} {
		key, ok := keys.Lookup(secret)
		require.Equal(t, name != "", ok, secret)
		if ok {
			require.Equal(t, name, key.Name)
		}
	}
	callerKey, _ := keys.Lookup("one")
	require.True(t, callerKey.Allows(access.Caller, "crew"))
	require.False(t, callerKey.Allows(access.Caller, "choir"))
	require.False(t, callerKey.Allows(access.Operator, "crew"))
	operatorKey, _ := keys.Lookup("two")
	require.True(t, operatorKey.Allows(access.Operator, "choir"))
	var nilKey *access.Key
	require.False(t, nilKey.Allows(access.Caller, "crew"))
	require.Nil(t, access.FromContext(context.Background()))
	_, ok := (&access.Keys{}).Lookup("")
	require.False(t, ok, "the zero Keys must not accept an empty key")
}

// TestParse checks that files with faults are rejected and that errors contain no
// sums or keys.
func TestParse(t *testing.T) {
	t.Parallel()
	sum := fmt.Sprintf("%x", sha256.Sum256([]byte("one")))
	good := keyEntry("a", "caller", `["crew"]`, "one")
	for text, want := range map[string]string{
		"":                                      "there are no keys",
		keyEntry("a", "caller", `["crew"]`, ""): "empty key",
		keyEntry("a b", "caller", `["crew"]`, "one"):                                "name",
		keyEntry("a", "admin", `["crew"]`, "one"):                                   "allowed are caller and operator",
		keyEntry("a", "caller", `[]`, "one"):                                        "teams: missing",
		keyEntry("a", "caller", `["a b"]`, "one"):                                   "teams",
		keyEntry("a", "caller", `"crew"`, "one"):                                    "not valid TOML",
		good + keyEntry("a", "caller", `["crew"]`, "two"):                           "two keys of this name",
		good + keyEntry("b", "caller", `["crew"]`, "one"):                           "two keys with this sum",
		good + "secret = \"x\"\n":                                                   "unknown key",
		"[[keys]]\nname=\"a\"\nrole=\"caller\"\nteams=[\"c\"]\nsum=\"very-secret\"": "64 hexadecimal digits",
		"[[keys]]\nname=\"a\"\nrole=\"caller\"\nteams=[\"c\"]\nsum=very-secret":     "k:5",
		"[[keys]]\nname=\"a\"\nrole=\"caller\"\nteams=[\"c\"]\n":                    "sum",
	} {
		_, err := access.Parse("k", []byte(text))
		require.ErrorContains(t, err, want, text)
		require.NotContains(t, err.Error(), sum)
		require.NotContains(t, err.Error(), "very-secret")
	}
}

// TestReload checks that the keys of a changed file apply, and that the previous
// keys stay valid if the file has a fault or is missing.
func TestReload(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "keys.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(keyEntry("a", "caller", `["crew"]`, "one"))
	synctest.Test(t, func(t *testing.T) {
		changes, rejected := 0, 0
		f := &access.File{Path: path, Clock: clockwork.NewRealClock(), OnChange: func(_ *access.Keys, err error) {
			changes++
			if err != nil {
				rejected++
			}
		}}
		require.Zero(t, f.Keys().Len())
		require.NoError(t, f.Load())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		isValid := func(secret string) bool {
			time.Sleep(2 * access.DefaultPollInterval)
			synctest.Wait()
			_, ok := f.Keys().Lookup(secret)
			return ok
		}
		require.True(t, isValid("one"))
		write(keyEntry("b", "caller", `["crew"]`, "two"))
		require.True(t, isValid("two"))
		require.False(t, isValid("one"), "the key was withdrawn")
		write("nonsense")
		require.True(t, isValid("two"))
		require.NoError(t, os.Remove(path))
		require.True(t, isValid("two"))
		require.Equal(t, 2, changes)
		require.Equal(t, 1, rejected)
		cancel()
		synctest.Wait()
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(keyEntry("a", "caller", `["crew"]`, "one")))
	f.Add([]byte(keyEntry("a", "caller", `["crew"]`, "")))
	f.Add([]byte("keys = 1"))
	f.Add([]byte("[[keys]]\nsum = \"00\"\n[keys.more]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		keys, err := access.Parse("k", data)
		require.Equal(t, err == nil, keys != nil)
		if keys != nil {
			require.Positive(t, keys.Len())
			_, ok := keys.Lookup("")
			require.False(t, ok)
		}
	})
}
