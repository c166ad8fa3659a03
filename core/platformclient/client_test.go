package platformclient_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/platformclient"
	"gypsumward/core/table"
)

// newClient returns a client of a test server with the given handler.
func newClient(t *testing.T, handle http.HandlerFunc) *platformclient.Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	client := &platformclient.Client{Addr: server.Listener.Addr().String(), MaxResponse: 1000}
	t.Cleanup(client.Close)
	return client
}

func TestWriteFaults(t *testing.T) {
	t.Parallel()
	write := table.Write{Ops: []table.Op{{Key: "k", Value: json.RawMessage(`1`)}}}
	for _, test := range []struct {
		name    string
		status  int
		body    string
		err     bool
		unknown bool
	}{
		{"done", 200, `{"done":true,"version":3}`, false, false},
		{"conflict", 200, `{"done":false,"conflict":[{"key":"k","version":2}]}`, false, false},
		{"busy", 429, ``, true, false},
		{"down", 503, ``, true, false},
		{"error", 500, `{"done":true,"version":3}`, true, true},
		{"gateway timeout", 504, ``, true, true},
		{"bad request", 400, ``, true, true},
		{"garbled", 200, `{"done":tr`, true, true},
		{"nothing said", 200, `{}`, true, true},
		{"done without version", 200, `{"done":true}`, true, true},
		{"done with conflict", 200, `{"done":true,"version":3,"conflict":[{"key":"k"}]}`, true, true},
		{"too long", 200, `{"done":true,"version":3}` + strings.Repeat(" ", 1000), true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			})
			got, err := client.Write(t.Context(), write)
			require.Equal(t, test.err, err != nil, err)
			require.Equal(t, test.unknown, platformclient.MayHaveTakenEffect(err), err)
			if err == nil {
				require.Equal(t, test.name == "done", got.Committed)
				return
			}
			require.Equal(t, table.Written{}, got)
			var fault *platformclient.Error
			require.ErrorAs(t, err, &fault)
			require.Equal(t, test.status == 429 || test.status == 503, fault.Busy)
		})
	}
}

func TestWriteWithoutAnswer(t *testing.T) {
	t.Parallel()
	write := table.Write{Ops: []table.Op{{Key: "k"}}}

	unresponsive := newClient(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	unresponsive.Timeout = 50 * time.Millisecond
	_, err := unresponsive.Write(t.Context(), write)
	require.True(t, platformclient.MayHaveTakenEffect(err), err)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	refusing := &platformclient.Client{Addr: listener.Addr().String()}
	_, err = refusing.Write(t.Context(), write)
	require.Error(t, err)
	require.False(t, platformclient.MayHaveTakenEffect(err), err)
}

func TestLimits(t *testing.T) {
	t.Parallel()
	calls := 0
	client := newClient(t, func(http.ResponseWriter, *http.Request) { calls++ })
	long := json.RawMessage(`"` + strings.Repeat("x", table.MaxValueBytes) + `"`)
	for _, write := range []table.Write{
		{},
		{Ops: make([]table.Op, table.MaxOpsPerWrite+1)},
		{Ops: []table.Op{{Key: "k", Value: long}}},
	} {
		_, err := client.Write(t.Context(), write)
		require.ErrorIs(t, err, platformclient.ErrLimit)
		require.False(t, platformclient.MayHaveTakenEffect(err))
	}
	_, err := client.Scan(t.Context(), table.Scan{Limit: table.MaxScanRows + 1})
	require.ErrorIs(t, err, platformclient.ErrLimit)
	require.Zero(t, calls)
}

func TestReads(t *testing.T) {
	t.Parallel()
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.Method + " " + r.URL.Path {
		case "POST /table/read", "POST /table/scan":
			_, _ = io.WriteString(w, `{"rows":[{"key":"a","version":4,"value":1},{"key":"b","version":0}]}`)
		case "PUT /object":
			w.WriteHeader(http.StatusNoContent)
		case "GET /object":
			if r.URL.Query().Get("key") != "odd key/&?" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = w.Write([]byte{0, 1, 2})
		case "GET /live":
			_, _ = io.WriteString(w, `{"members":[{"id":"r1","kind":"runner"}],"age":"2s"}`)
		}
	})
	ctx := t.Context()
	found, err := client.Read(ctx, table.Read{Keys: []string{"a", "b"}})
	require.NoError(t, err)
	require.Equal(t, int64(4), found.Rows[0].Version)
	_, err = client.Read(ctx, table.Read{Keys: []string{"b", "a"}})
	require.ErrorIs(t, err, platformclient.ErrResponse)
	found, err = client.Scan(ctx, table.Scan{Prefix: "", Limit: 10})
	require.NoError(t, err)
	require.Len(t, found.Rows, 2)
	require.NoError(t, client.Put(ctx, "odd key/&?", []byte{0, 1, 2}))
	value, exists, err := client.Get(ctx, "odd key/&?")
	require.NoError(t, err)
	require.True(t, exists)
	require.Equal(t, []byte{0, 1, 2}, value)
	_, exists, err = client.Get(ctx, "other")
	require.NoError(t, err)
	require.False(t, exists)
	live, err := client.Live(ctx)
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, live.Age.Duration())
	require.Len(t, live.Members, 1)
}
