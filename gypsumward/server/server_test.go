package server_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/span"
	"gypsumward/gypsumward/server"
)

// requests answers every request and records it.
type requests struct {
	sent []api.Request
}

func (r *requests) Send(_ context.Context, spec api.Request) (*api.Answer, *api.Refusal) {
	r.sent = append(r.sent, spec)
	return &api.Answer{State: api.StateComplete}, nil
}

func (r *requests) Answer(context.Context, api.Key) (*api.Answer, *api.Refusal) {
	return &api.Answer{State: api.StateOpen}, nil
}

func (r *requests) Cancel(context.Context, api.Key) (*api.Answer, *api.Refusal) {
	return nil, &api.Refusal{Reason: api.ReasonMissing, Ran: api.RanNot}
}

// crew is the only team, with a deadline of 5 s.
type crew struct{}

func (crew) Known(team string) bool    { return team == "crew" }
func (crew) Deadline(string) span.Span { return 5 * span.Second }

// recorder is an Observer that records the outcomes.
type recorder struct {
	observed []string
}

func (o *recorder) Observe(team string, work server.Work, a *api.Answer, r *api.Refusal, _ time.Duration) {
	var outcome string
	if r != nil {
		outcome = string(r.Reason)
	} else {
		outcome = string(a.State)
	}
	o.observed = append(o.observed, team+" "+string(work)+" "+outcome)
}

// TestRequests checks the status of each call, the request that is forwarded and the
// outcome that the observer receives.
func TestRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, method, path, body string
		code                     int
		deadline                 span.Span // of the request sent on; zero if none is
		observed                 string
	}{
		{"team's deadline", "POST", "/v1/request", `{"team":"crew","kind":"k","repeatable":true}`, 200, 5 * span.Second, "crew request complete"},
		{"own deadline", "POST", "/v1/request", `{"team":"crew","kind":"k","repeatable":true,"deadline":"30s"}`, 200, 30 * span.Second, "crew request complete"},
		{"unknown team", "POST", "/v1/request", `{"team":"choir","kind":"k","repeatable":true}`, 403, 0, " request team"},
		{"invalid", "POST", "/v1/request", `{"team":"crew"}`, 400, 0, " request invalid"},
		{"too large", "POST", "/v1/request", strings.Repeat(" ", 2000), 413, 0, " request invalid"},
		{"open", "GET", "/v1/request?team=choir&id=a", "", 202, 0, "choir request open"},
		{"odd wait", "GET", "/v1/request?team=crew&id=a&wait=1", "", 400, 0, " request invalid"},
		{"missing", "POST", "/v1/request/cancel?team=crew&id=a", "", 404, 0, "crew cancel missing"},
	} {
		sent, observer := &requests{}, &recorder{}
		h := http.NewServer()
		s := &server.Server{Requests: sent, Teams: crew{}, Observer: observer, MaxBodyBytes: 1000}
		s.Mount(h)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		require.Equal(t, c.code, answer.Code, c.name)
		require.Equal(t, []string{c.observed}, observer.observed, c.name)
		if c.deadline == 0 {
			require.Empty(t, sent.sent, c.name)
			continue
		}
		require.Len(t, sent.sent, 1, c.name)
		require.Equal(t, c.deadline, sent.sent[0].Deadline, c.name)
	}
}

// failing is a body whose reading fails.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// TestUnreadBodies guards against refusals of bodies that could not be read that do not say whether to try
// again.
func TestUnreadBodies(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		err   error
		code  int
		retry span.Span
	}{
		{intakehttp.ErrCapacity, 503, span.Second},
		{intakehttp.ErrTooSlow, 408, 0},
	} {
		sent := &requests{}
		h := http.NewServer()
		s := &server.Server{Requests: sent, Teams: crew{}, Observer: &recorder{}, MaxBodyBytes: 1000}
		s.Mount(h)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, httptest.NewRequest("POST", "/v1/request", failing{c.err}))
		require.Equal(t, c.code, answer.Code)
		var r api.Refusal
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &r))
		require.Equal(t, api.RanNot, r.Ran)
		require.Equal(t, c.retry, r.RetryAfter)
		require.Empty(t, sent.sent)
	}
}
