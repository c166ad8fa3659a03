package setting_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/settings"
	"gypsumward/core/settings/httpapi"
	"gypsumward/core/settings/tabletest"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/setting"
)

// operator runs command lines against entry instances that share one settings
// table.
type operator struct {
	t     *testing.T
	rows  *tabletest.Table
	store *settings.Store
	entry []string
	dir   string
}

// addInstance starts an entry instance that reports the given revision.
func (o *operator) addInstance(revision int64) {
	server := khttp.NewServer()
	(&httpapi.Handler{Store: o.store, Active: &settings.ActiveTree{}}).Register(server)
	server.Route("/").GET("/v1/status", func(c khttp.Context) error {
		return c.JSON(http.StatusOK, api.Status{Instance: "como-1@7", SettingsRevision: revision})
	})
	listener := httptest.NewServer(server)
	o.t.Cleanup(listener.Close)
	o.entry = append(o.entry, strings.TrimPrefix(listener.URL, "http://"))
}

// newOperator returns an operator with one entry instance at revision 1.
func newOperator(t *testing.T) *operator {
	rows := &tabletest.Table{}
	o := &operator{t: t, rows: rows, dir: t.TempDir(), store: &settings.Store{Table: rows, Clock: clockwork.NewFakeClock(), MaxAttempts: 1}}
	o.addInstance(1)
	return o
}

// writeFile writes a file to the operator's directory.
func (o *operator) writeFile(name, text string) {
	require.NoError(o.t, os.WriteFile(filepath.Join(o.dir, name), []byte(text), 0o600))
}

// run executes a subcommand of settings. The word DIR in line is replaced by the
// operator's directory.
func (o *operator) run(line string, more ...string) (code command.ExitCode, out, notes string) {
	var outBuf, errBuf bytes.Buffer
	env := &command.Env{Entry: strings.Join(o.entry, ","), Out: &outBuf, Err: &errBuf, Clock: clockwork.NewRealClock()}
	args := append(strings.Fields(strings.ReplaceAll(line, "DIR", o.dir)), more...)
	code = setting.Command().Execute(o.t.Context(), env, args)
	return code, outBuf.String(), errBuf.String()
}

// mustRun executes a subcommand and requires its exit code to be want.
func (o *operator) mustRun(want command.ExitCode, line string, more ...string) (out, notes string) {
	code, out, notes := o.run(line, more...)
	require.Equal(o.t, want, code, "%s: %s", line, notes)
	return out, notes
}

// TestApply checks that apply writes exactly the differences between the files
// and the stored settings, and writes nothing if any file is invalid.
func TestApply(t *testing.T) {
	t.Parallel()
	o := newOperator(t)
	o.writeFile("crew.toml", "# gala\nweight = 2\n")
	o.writeFile("gilders.toml", "hedge = 0.1\n")
	o.writeFile("README.md", "not for teams")
	out, _ := o.mustRun(command.Complete, "apply -dry DIR")
	require.Regexp(t, `crew +add +weight 1 -> 2`, out)
	require.Empty(t, o.rows.Log())
	o.mustRun(command.Failed, "diff DIR")
	out, _ = o.mustRun(command.Complete, "apply -by ada -note season DIR")
	require.Regexp(t, `gilders +add +hedge 0 -> 0.1 +written`, out)
	require.Len(t, o.rows.Log(), 2)
	out, _ = o.mustRun(command.Complete, "apply DIR")
	require.Regexp(t, `crew +same +same`, out)
	require.Len(t, o.rows.Log(), 2, "applying the same tree twice wrote something")
	o.mustRun(command.Complete, "diff DIR")
	out, _ = o.mustRun(command.Complete, "get crew")
	require.Equal(t, "# gala\nweight = 2\n", out)

	o.writeFile("crew.toml", "weight = 3\n")
	o.writeFile("gilders.toml", "weight = 0\nx = 1\n")
	_, notes := o.mustRun(command.Usage, "apply DIR")
	require.Contains(t, notes, "gilders.toml:1: weight: 0 is out of range; allowed: 0.01 to 1000 (share)\n")
	require.Contains(t, notes, "gilders.toml:2: x: there is no such key")
	require.Len(t, o.rows.Log(), 2, "a bad tree was written in part")
	o.mustRun(command.Failed, "check DIR")
	require.NoError(t, os.Remove(filepath.Join(o.dir, "gilders.toml")))
	out, _ = o.mustRun(command.Complete, "apply -prune DIR")
	require.Regexp(t, `gilders +remove +removed +written`, out)
	o.mustRun(command.Refused, "get gilders")
	out, _ = o.mustRun(command.Complete, "history crew -json")
	var list []settings.Subtree
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.Len(t, list, 2)
	require.Equal(t, "season", list[1].Note)
}

// TestSet checks that set changes and removes keys, and that wrong arguments
// write nothing.
func TestSet(t *testing.T) {
	t.Parallel()
	o := newOperator(t)
	o.mustRun(command.Complete, "set -by ada crew weight=2 deadline=5s", `spill=["price"]`)
	out, _ := o.mustRun(command.Complete, "get crew")
	require.Equal(t, "weight = 2\ndeadline = \"5s\"\nspill = [\"price\"]\n", out)
	o.mustRun(command.Complete, "set crew deadline= weight=4")
	out, _ = o.mustRun(command.Complete, "get -all crew")
	require.Contains(t, out, "weight = 4\n")
	require.Contains(t, out, "deadline = \"30s\"\n")
	_, notes := o.mustRun(command.Usage, "set crew weight=0")
	require.Contains(t, notes, "weight: 0 is out of range")
	for _, line := range []string{"set crew colour=1", "set crew weight", "set a/b weight=1", "set crew", "get", "history", "apply", "check"} {
		o.mustRun(command.Usage, line)
	}
	require.Len(t, o.rows.Log(), 2)
	out, _ = o.mustRun(command.Complete, "history crew")
	require.Regexp(t, `weight 2 -> 4, deadline "5s" -> "30s"`, out)
}

// TestOperatorsRace guards against overwriting a concurrent change: another
// operator writes one team between the read and the write of apply. That team
// must get a conflict, and the other team must still be written.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	o := newOperator(t)
	o.mustRun(command.Complete, "set -by ada crew weight=2")
	o.writeFile("crew.toml", "weight = 3\n")
	o.writeFile("gilders.toml", "weight = 3\n")
	o.rows.BeforeCall = func(call string) error {
		if call == "write" {
			o.rows.BeforeCall = nil
			r := o.store.Put(t.Context(), settings.Change{Team: "crew", Base: 1, Text: "weight = 9", Author: "bo"})
			require.Equal(t, settings.OutcomeWritten, r.Outcome)
		}
		return nil
	}
	o.store.MaxAttempts = 3
	out, notes := o.mustRun(command.Failed, "apply DIR")
	require.Regexp(t, `crew +change +weight 2 -> 3 +conflict`, out)
	require.Regexp(t, `gilders +add +weight 1 -> 3 +written`, out)
	require.Contains(t, notes, "settings/team/crew has version 2, not 1: bo changed it at ")
}

// TestOutage checks that a store failure before the write is reported as refused
// and one during the write as unknown.
func TestOutage(t *testing.T) {
	t.Parallel()
	o := newOperator(t)
	o.writeFile("crew.toml", "weight = 3\n")
	failingCall := "read"
	o.rows.BeforeCall = func(call string) error {
		if call == failingCall {
			return http.ErrHandlerTimeout
		}
		return nil
	}
	o.mustRun(command.Refused, "apply DIR")
	failingCall = "write"
	out, _ := o.mustRun(command.Unknown, "apply -json DIR")
	require.Contains(t, out, `"outcome":"unknown"`)
	failingCall = ""
	o.mustRun(command.Complete, "apply DIR")
}

// TestStatus checks the output and exit code of status if instances are behind
// or unreachable, or the store cannot be read.
func TestStatus(t *testing.T) {
	t.Parallel()
	o := newOperator(t)
	o.mustRun(command.Complete, "set crew weight=2")
	o.mustRun(command.Complete, "status")
	o.addInstance(0)
	out, _ := o.mustRun(command.Failed, "status")
	require.Contains(t, out, "stored revision: 1\n")
	require.Regexp(t, `como-1@7 +0 +behind`, out)
	o.entry[1] = "127.0.0.1:1"
	out, _ = o.mustRun(command.Failed, "status")
	require.Regexp(t, `127.0.0.1:1 +- +- +could not be reached\n1 of 2 instances`, out)
	o.rows.BeforeCall = func(string) error { return http.ErrHandlerTimeout }
	o.addInstance(0)
	out, _ = o.mustRun(command.Failed, "status")
	require.Contains(t, out, "stored revision: could not be read: store: ")
	require.Regexp(t, `como-1@7 +1 +in force`, out)
	require.Regexp(t, `como-1@7 +0 +behind`, out)
	o.entry = o.entry[1:2]
	o.mustRun(command.Unreachable, "status")
}
