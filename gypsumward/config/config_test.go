package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/span"
	"gypsumward/gypsumward/config"
)

const wholeFile = `name = "como-1"
centre = "como"
addr = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
platform = "127.0.0.1:9000"
log = "warn"
size = 2.5

[limits]
body = "1MB"
count = 10
bytes = "2MB"
drain = "5s"

[lease]
beat = "500ms"
lapse = "3s"
`

func TestLoad(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "como-1.toml")
	require.NoError(t, os.WriteFile(path, []byte(wholeFile), 0o600))
	got, err := config.Load(path)
	require.NoError(t, err)
	require.Equal(t, &config.Config{
		Name: "como-1", Centre: "como", Addr: "127.0.0.1:8080", Peer: "127.0.0.1:8081",
		Platform: "127.0.0.1:9000", Log: config.Warn, Size: 2.5,
		Limits: config.Limits{Body: config.Megabyte, Count: 10, Bytes: 2 * config.Megabyte, Drain: 5 * span.Second},
		Lease:  config.Lease{HeartbeatInterval: 500 * span.Millisecond, Timeout: 3 * span.Second},
	}, got)

	_, err = config.Load(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestDefaults(t *testing.T) {
	t.Parallel()
	head, _, _ := strings.Cut(wholeFile, "log =")
	got, err := config.Parse("f", []byte(head))
	require.NoError(t, err)
	want := config.Default()
	want.Name, want.Centre = "como-1", "como"
	want.Addr, want.Peer, want.Platform = "127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:9000"
	require.Equal(t, &want, got)
}

func TestAccess(t *testing.T) {
	t.Parallel()
	file := strings.Replace(wholeFile, `addr = "127.0.0.1:8080"`, "addr = \"10.0.0.1:8080\"\naccess = \"keys.toml\"", 1)
	got, err := config.Parse("f", []byte(file))
	require.NoError(t, err)
	require.Equal(t, "keys.toml", got.Access)
}

func TestWrongFiles(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, from, to string // from is replaced by to in wholeFile
		want           string // start of a line of the error
		allowed        string // part of the same line
	}{
		{"unknown key", `log =`, `lgo =`, "f:6: lgo: unknown key", "lease.beat"},
		{"unknown key in table", `count =`, `counts =`, "f:11: limits.counts: unknown key", "limits.count,"},
		{"unknown table", `[lease]`, `[leases]`, "f:15: leases: unknown key", "lease.beat"},
		{"letter case", `name =`, `Name =`, "f:1: Name: unknown key", "name"},
		{"syntax", `size = 2.5`, `size = `, "f:7: ", "expected value"},
		{"twice", `log =`, `peer =`, "f:6: peer: ", "already"},
		{"missing", `centre = "como"`, ``, "f:0: centre: missing", "required"},
		{"odd name", `"como-1"`, `"como@1"`, "f:1: name: ", "small letters"},
		{"host name", `"127.0.0.1:8080"`, `"localhost:8080"`, "f:3: addr: ", "IP number"},
		{"no port", `"127.0.0.1:8080"`, `"127.0.0.1"`, "f:3: addr: ", "IP number"},
		{"port zero", `"127.0.0.1:8081"`, `"127.0.0.1:0"`, "f:4: peer: ", "IP number"},
		{"port too large", `"127.0.0.1:8081"`, `"127.0.0.1:70000"`, "f:4: peer: ", "IP number"},
		{"any address", `"127.0.0.1:8081"`, `"0.0.0.0:8081"`, "f:4: peer: ", "IP number"},
		{"url", `"127.0.0.1:9000"`, `"http://127.0.0.1:9000"`, "f:5: platform: ", "IP number"},
		{"address type", `"127.0.0.1:9000"`, `9000`, "f:5: platform: ", "string"},
		{"no keys off loopback", `"127.0.0.1:8080"`, `"10.0.0.1:8080"`, "f:0: access: missing", "loopback"},
		{"same address", `"127.0.0.1:8081"`, `"127.0.0.1:8080"`, "f:4: peer: ", "another port"},
		{"platform here", `"127.0.0.1:9000"`, `"127.0.0.1:8080"`, "f:5: platform: ", "this instance"},
		{"log level", `"warn"`, `"loud"`, "f:6: log: ", "debug, info, warn, error"},
		{"size zero", `2.5`, `0.0`, "f:7: size: ", "above 0"},
		{"size not a number", `2.5`, `nan`, "f:7: size: ", "above 0"},
		{"no unit of size", `"1MB"`, `1048576`, "f:10: limits.body: ", "64MB"},
		{"wrong unit of size", `"1MB"`, `"1MiB"`, "f:10: limits.body: ", "64MB"},
		{"huge size", `"1MB"`, `"99999999999GB"`, "f:10: limits.body: ", "64MB"},
		{"negative size", `"1MB"`, `"-1MB"`, "f:10: limits.body: ", "64MB"},
		{"body range", `"1MB"`, `"2GB"`, "f:10: limits.body: ", "from 1KB to 1GB"},
		{"count range", `count = 10`, `count = -1`, "f:11: limits.count: ", "from 1 to"},
		{"count type", `count = 10`, `count = "10"`, "f:11: limits.count: ", "integer"},
		{"bytes below body", `"2MB"`, `"512KB"`, "f:12: limits.bytes: ", "limits.body"},
		{"no unit of time", `"5s"`, `5`, "f:13: limits.drain: ", "250ms"},
		{"wrong unit of time", `"5s"`, `"5sec"`, "f:13: limits.drain: ", "250ms"},
		{"drain range", `"5s"`, `"1h"`, "f:13: limits.drain: ", "from 100ms to 10m0s"},
		{"negative beat", `"500ms"`, `"-500ms"`, "f:16: lease.beat: ", "from 50ms"},
		{"lapse below beats", `"3s"`, `"1s"`, "f:17: lease.lapse: ", "3 times lease.beat"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			require.Contains(t, wholeFile, test.from)
			got, err := config.Parse("f", []byte(strings.Replace(wholeFile, test.from, test.to, 1)))
			require.Nil(t, got)
			require.Error(t, err)
			found := false
			for _, line := range strings.Split(err.Error(), "\n") {
				found = found || strings.HasPrefix(line, test.want) && strings.Contains(line, test.allowed)
			}
			require.True(t, found, err.Error())
		})
	}
}

func TestAllFaultsReported(t *testing.T) {
	t.Parallel()
	file := strings.NewReplacer(`"warn"`, `"loud"`, "2.5", "-1.0", "count = 10", "count = 0").Replace(wholeFile)
	_, err := config.Parse("f", []byte(file))
	var faults *config.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.List, 3)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(wholeFile))
	f.Add([]byte("a.b.c = 1\n[[limits]]\n"))
	f.Add([]byte("limits = {body = \"1MB\"}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := config.Parse("f", data)
		require.Equal(t, err == nil, got != nil)
	})
}
