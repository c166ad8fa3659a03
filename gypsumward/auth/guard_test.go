package auth_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/stretchr/testify/require"

	"gypsumward/core/access"
	"gypsumward/core/api"
	"gypsumward/core/event"
	"gypsumward/core/settings"
	"gypsumward/core/settings/httpapi"
	"gypsumward/gypsumward/auth"
	"gypsumward/gypsumward/server"
)

// backend implements everything behind the guard and counts its effects.
type backend struct {
	effects int // calls that may start or write something, or read the work of others
}

func (b *backend) record() (*api.Answer, *api.Refusal) {
	b.effects++
	return &api.Answer{State: api.StateComplete}, nil
}

func (b *backend) Submit(context.Context, api.Job) (*api.Answer, *api.Refusal) { return b.record() }

func (b *backend) Send(context.Context, api.Request) (*api.Answer, *api.Refusal) { return b.record() }

func (b *backend) Answer(context.Context, api.Key) (*api.Answer, *api.Refusal) { return b.record() }

// Put refuses changes with faults, like the real store.
func (b *backend) Put(_ context.Context, c settings.Change) settings.Result {
	if faults := c.Validate(); faults != nil {
		return settings.Result{Outcome: settings.OutcomeInvalid, Faults: faults}
	}
	b.effects++
	return settings.Result{Outcome: settings.OutcomeWritten}
}

func (b *backend) History(context.Context, string) ([]settings.Subtree, error) {
	b.effects++
	return nil, nil
}

func (b *backend) Load(context.Context) (*settings.Tree, error) {
	tree, _ := settings.NewTree(settings.Snapshot{Revision: 1, Teams: []settings.Subtree{{Team: "crew"}, {Team: "choir"}}})
	return tree, nil
}

func (b *backend) Add(event.Event) {}
func (b *backend) Find(event.Filter) []event.Event {
	return []event.Event{{Team: "crew"}, {Team: "choir"}, {Kind: event.Applied}}
}

// jobs and requests give the backend the two forms of Cancel.
type (
	jobs     struct{ *backend }
	requests struct{ *backend }
)

func (j jobs) Cancel(context.Context, api.Key, string) (*api.Answer, *api.Refusal) { return j.record() }

func (r requests) Cancel(context.Context, api.Key) (*api.Answer, *api.Refusal) { return r.record() }

// newServer returns a server that accepts the keys caller-crew, caller-all,
// operator-crew and operator-all.
func newServer(t *testing.T, w *backend) *http.Server {
	t.Helper()
	text := ""
	for _, role := range []string{"caller", "operator"} {
		for name, team := range map[string]string{"crew": "crew", "all": "*"} {
			secret := role + "-" + name
			text += fmt.Sprintf("[[keys]]\nname = %q\nrole = %q\nteams = [%q]\nsum = \"%x\"\n", secret, role, team, sha256.Sum256([]byte(secret)))
		}
	}
	keys, err := access.Parse("keys.toml", []byte(text))
	require.NoError(t, err)
	g := &auth.Guard{Keys: func() *access.Keys { return keys }}
	h := http.NewServer(http.Filter(g.Wrap))
	s := &server.Server{
		Jobs: jobs{w}, Requests: requests{w}, Access: g, Events: w, MaxBodyBytes: 1 << 20,
		Status: func() api.Status { return api.Status{} }, Ready: func() bool { return true },
	}
	s.Mount(h)
	(&httpapi.Handler{Store: w, Active: &settings.ActiveTree{}}).Register(h)
	return h
}

const (
	job     = `{"team":"TEAM","id":"a","tasks":[{"name":"t","kind":"k"}]}`
	request = `{"team":"TEAM","id":"a","kind":"k"}`
	change  = `{"team":"TEAM"}`
)

// calls lists every call about a team with the role that it needs.
var calls = []struct {
	role, method, path, body string
}{
	{"caller", "POST", "/v1/job", job},
	{"caller", "GET", "/v1/job?team=TEAM&id=a", ""},
	{"caller", "POST", "/v1/job/cancel?team=TEAM&id=a", ""},
	{"caller", "POST", "/v1/request", request},
	{"caller", "GET", "/v1/request?team=TEAM&id=a", ""},
	{"caller", "POST", "/v1/request/cancel?team=TEAM&id=a", ""},
	{"operator", "POST", "/v1/settings", change},
	{"operator", "GET", "/v1/settings/history?team=TEAM", ""},
}

// TestKeys makes every call with every key. Calls that the key does not allow are
// refused as not run, and nothing is started, written or read.
func TestKeys(t *testing.T) {
	t.Parallel()
	headers := map[string]string{
		"missing": "", "empty": "Bearer ", "unknown": "Bearer caller-none", "half": "Bearer caller-cre",
		"longer": "Bearer caller-crewx", "scheme": "Basic caller-crew", "bare": "caller-crew", "sum": fmt.Sprintf("Bearer %x", sha256.Sum256([]byte("caller-crew"))),
		"caller-crew": "Bearer caller-crew", "caller-all": "bearer  caller-all", "operator-crew": "Bearer operator-crew", "operator-all": "Bearer operator-all",
	}
	for _, c := range calls {
		for name, header := range headers {
			for _, team := range []string{"crew", "choir", "Crew", "*"} {
				w := &backend{}
				r := httptest.NewRequest(c.method, strings.ReplaceAll(c.path, "TEAM", team), strings.NewReader(strings.ReplaceAll(c.body, "TEAM", team)))
				r.Header.Set("Authorization", header)
				answer := httptest.NewRecorder()
				newServer(t, w).ServeHTTP(answer, r)
				role, teams, known := strings.Cut(name, "-")
				allowed := known && role == c.role && (teams == "all" || team == "crew")
				what := fmt.Sprintf("%s %s %s as %s", c.method, c.path, team, name)
				if allowed && team != "*" {
					require.Equal(t, 200, answer.Code, what)
					require.Equal(t, 1, w.effects, what)
					continue
				}
				require.Zero(t, w.effects, what)
				var refusal api.Refusal
				require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &refusal), what)
				require.Equal(t, api.RanNot, refusal.Ran, what)
				if !known {
					require.Equal(t, 401, answer.Code, what)
				}
			}
		}
	}
}

// TestChangeTwice guards against a change of a team that the key does not cover. It is
// attempted by bodies that name two teams, or the team in another letter case.
func TestChangeTwice(t *testing.T) {
	t.Parallel()
	for _, body := range []string{
		`{"team":"crew","team":"choir"}`, `{"team":"crew","Team":"choir"}`, `{"Team":"choir"}`, `{"team":"crew"}{"team":"choir"}`, "",
	} {
		w := &backend{}
		r := httptest.NewRequest("POST", "/v1/settings", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer operator-crew")
		answer := httptest.NewRecorder()
		newServer(t, w).ServeHTTP(answer, r)
		require.Zero(t, w.effects, body)
		require.GreaterOrEqual(t, answer.Code, 400, body)
	}
}

// TestSeen checks which data each key may read, also by paths that are not clean.
func TestSeen(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path, key string
		code      int
		has, not  string
	}{
		{"/health", "", 200, "ok", ""},
		{"/ready", "", 200, "ready", ""},
		{"/v1/status", "", 401, "notrun", ""},
		{"/metrics", "", 401, "notrun", ""},
		{"/v1/status", "caller-crew", 200, "instance", ""},
		{"/v1/settings?stored=true", "caller-all", 403, "notrun", "crew"},
		{"/v1/settings?stored=true", "operator-crew", 200, "crew", "choir"},
		{"/v1/settings?stored=true", "operator-all", 200, "choir", ""},
		{"/v1//settings?stored=true", "caller-all", 403, "notrun", "choir"},
		{"/v1/job/../settings?stored=true", "caller-all", 403, "notrun", "choir"},
		{"/v1/%73ettings?stored=true", "caller-all", 403, "notrun", "choir"},
		{"/v1/events", "caller-all", 403, "notrun", "crew"},
		{"/v1/events", "operator-crew", 200, "crew", "choir"},
		{"/v1/events", "operator-crew", 200, "applied", "choir"},
		{"/v1/events", "operator-all", 200, "choir", ""},
	} {
		r := httptest.NewRequest("GET", c.path, nil)
		r.Header.Set("Authorization", "Bearer "+c.key)
		answer := httptest.NewRecorder()
		newServer(t, &backend{}).ServeHTTP(answer, r)
		require.Equal(t, c.code, answer.Code, c.path+" as "+c.key)
		require.Contains(t, answer.Body.String(), c.has, c.path+" as "+c.key)
		if c.not != "" {
			require.NotContains(t, answer.Body.String(), c.not, c.path+" as "+c.key)
		}
	}
}
