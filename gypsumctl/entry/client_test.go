package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
)

const (
	good     = `{"team":"crew","id":"a","state":"complete"}`
	stopping = `{"reason":"stopping","detail":"leaving","ran":"notrun"}`
	full     = `{"reason":"full","detail":"queue","ran":"notrun","retry":"2s"}`
	conflict = `{"reason":"conflict","detail":"other content","ran":"notrun"}`
)

// instance is an entry instance that gives the same response to each call and
// counts the calls.
type instance struct {
	status    int
	body      string
	truncated bool // breaks the connection in the middle of the body
	refuses   bool // refuses connections
	calls     atomic.Int64
}

func (i *instance) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	i.calls.Add(1)
	if i.truncated {
		w.Header().Set("Content-Length", "1000")
	}
	w.WriteHeader(i.status)
	_, _ = w.Write([]byte(i.body))
}

// startInstances starts a server for each instance and returns the addresses.
func startInstances(t *testing.T, instances []*instance) []string {
	var list []string
	for _, i := range instances {
		server := httptest.NewServer(i)
		t.Cleanup(server.Close)
		if i.refuses {
			server.Close()
		}
		list = append(list, strings.TrimPrefix(server.URL, "http://"))
	}
	return list
}

// TestClient guards against duplicated work and false results when a client
// fails over: a call that may have been accepted is repeated only if it is
// idempotent, and a refusal after such an attempt is reported as unknown.
func TestClient(t *testing.T) {
	t.Parallel()
	ok := func() *instance { return &instance{status: 200, body: good} }
	down := func() *instance { return &instance{refuses: true} }
	truncated := func() *instance { return &instance{status: 200, body: good[:9], truncated: true} }
	respond := func(status int, body string) *instance { return &instance{status: status, body: body} }
	for name, test := range map[string]struct {
		instances     []*instance
		notIdempotent bool // the call is not idempotent
		calls         []int64
		code          command.ExitCode
	}{
		"first answers":                  {[]*instance{ok(), ok()}, true, []int64{1, 0}, command.Complete},
		"nothing sent":                   {[]*instance{down(), ok()}, true, []int64{0, 1}, command.Complete},
		"all down":                       {[]*instance{down(), down()}, true, []int64{0, 0}, command.Unreachable},
		"stopping, then accepted":        {[]*instance{respond(503, stopping), ok()}, true, []int64{1, 1}, command.Complete},
		"all stopping":                   {[]*instance{respond(503, stopping), respond(503, stopping)}, true, []int64{1, 1}, command.Refused},
		"full is not retried elsewhere":  {[]*instance{respond(429, full), ok()}, false, []int64{1, 0}, command.Refused},
		"cut answer, once":               {[]*instance{truncated(), ok()}, true, []int64{1, 0}, command.Unknown},
		"cut answer, idempotent":         {[]*instance{truncated(), ok()}, false, []int64{1, 1}, command.Complete},
		"cut answer, then refusal":       {[]*instance{truncated(), respond(503, stopping)}, false, []int64{1, 1}, command.Unknown},
		"cut answer, then full":          {[]*instance{truncated(), respond(429, full)}, false, []int64{1, 1}, command.Unknown},
		"cut answer, then conflict":      {[]*instance{truncated(), respond(409, conflict)}, false, []int64{1, 1}, command.Refused},
		"cut answer, then down":          {[]*instance{truncated(), down()}, false, []int64{1, 0}, command.Unknown},
		"error without a refusal":        {[]*instance{respond(500, "oops"), ok()}, true, []int64{1, 0}, command.Unknown},
		"success without an answer":      {[]*instance{respond(200, "<html>"), ok()}, true, []int64{1, 0}, command.Unknown},
		"refusal without ran":            {[]*instance{respond(503, `{"reason":"store"}`), ok()}, true, []int64{1, 0}, command.Unknown},
		"store refused, may have run":    {[]*instance{respond(504, `{"reason":"store","ran":"unknown"}`), ok()}, true, []int64{1, 0}, command.Unknown},
		"stopping instance, next is cut": {[]*instance{respond(503, stopping), truncated()}, true, []int64{1, 1}, command.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, err := entry.New(t.Context(), startInstances(t, test.instances), "")
			require.NoError(t, err)
			var answer api.Answer
			err = client.Do(t.Context(), entry.Call{Method: http.MethodPost, Path: "/v1/request", Body: &api.Request{}, Idempotent: !test.notIdempotent}, &answer)
			require.Equal(t, test.code, command.ExitCodeFor(err), "%v", err)
			for i, calls := range test.calls {
				require.Equal(t, calls, test.instances[i].calls.Load(), "calls of instance %d", i)
			}
		})
	}
}

// TestClientStaysWithTheLastGood checks that calls after a failover go to the
// instance that replied last.
func TestClientStaysWithTheLastGood(t *testing.T) {
	t.Parallel()
	list := []*instance{{status: 503, body: stopping}, {status: 200, body: good}}
	client, err := entry.New(t.Context(), startInstances(t, list), "")
	require.NoError(t, err)
	for range 3 {
		require.NoError(t, client.Do(t.Context(), entry.Call{Method: http.MethodGet, Path: "/v1/job"}, &api.Answer{}))
	}
	require.Equal(t, int64(1), list[0].calls.Load())
}

// TestClientCancelled checks that a client whose context is cancelled makes no
// attempt at further instances.
func TestClientCancelled(t *testing.T) {
	t.Parallel()
	list := []*instance{{status: 200, body: good}, {status: 200, body: good}}
	client, err := entry.New(t.Context(), startInstances(t, list), "")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err = client.Do(ctx, entry.Call{Method: http.MethodPost, Path: "/v1/job", Idempotent: true}, &api.Answer{})
	var callErr *entry.Error
	require.True(t, errors.As(err, &callErr))
	require.Len(t, callErr.Attempts, 1)
	require.Zero(t, list[1].calls.Load())
}
