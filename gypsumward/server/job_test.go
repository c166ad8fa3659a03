package server_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/gypsumward/server"
)

// jobs counts the submitted jobs.
type jobs struct {
	count int
}

func (j *jobs) Submit(context.Context, api.Job) (*api.Answer, *api.Refusal) {
	j.count++
	return &api.Answer{State: api.StateComplete}, nil
}

func (j *jobs) Answer(context.Context, api.Key) (*api.Answer, *api.Refusal) {
	return &api.Answer{State: api.StateOpen}, nil
}

func (j *jobs) Cancel(context.Context, api.Key, string) (*api.Answer, *api.Refusal) {
	return &api.Answer{State: api.StateOpen}, nil
}

// TestWrongJobs checks that invalid submissions are refused as not run, with the status
// of their fault, and that no job is submitted.
func TestWrongJobs(t *testing.T) {
	t.Parallel()
	task := `{"name":"a","kind":"k"}`
	many := "[" + strings.Repeat(`{"name":"a","kind":"k"},`, api.MaxTasks) + task + "]"
	for _, c := range []struct {
		name, body string
		code       int
		says       string
	}{
		{"good", `{"team":"crew","id":"j","tasks":[` + task + `]}`, 200, ""},
		{"not JSON", `{"team":`, 400, "line 1"},
		{"unknown field", `{"team":"crew","id":"j","speed":1}`, 400, "speed"},
		{"unknown team", `{"team":"choir","id":"j","tasks":[` + task + `]}`, 403, "choir"},
		{"1,201 tasks", `{"team":"crew","id":"j","tasks":` + many + `}`, 400, "1200"},
		{"no tasks", `{"team":"crew","id":"j","tasks":[]}`, 400, "tasks"},
		{"negative deadline", `{"team":"crew","id":"j","deadline":"-1s","tasks":[` + task + `]}`, 400, "deadline"},
		{"deadline without unit", `{"team":"crew","id":"j","deadline":"5","tasks":[` + task + `]}`, 400, "unit"},
		{"duplicate task", `{"team":"crew","id":"j","tasks":[` + task + `,` + task + `]}`, 400, "a"},
		{"odd byte in id", `{"team":"crew","id":"j\u0000","tasks":[` + task + `]}`, 400, "0x00"},
		{"slash in id", `{"team":"crew","id":"j/1","tasks":[` + task + `]}`, 400, "0x2f"},
		{"endless cores", `{"team":"crew","id":"j","tasks":[{"name":"a","kind":"k","cores":1e400}]}`, 400, "cores"},
		{"too large", strings.Repeat(" ", 200_001), 413, "larger"},
	} {
		accepted := &jobs{}
		h := http.NewServer()
		s := &server.Server{Jobs: accepted, Teams: crew{}, Observer: &recorder{}, MaxBodyBytes: 200_000}
		s.Mount(h)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, httptest.NewRequest("POST", "/v1/job", strings.NewReader(c.body)))
		require.Equal(t, c.code, answer.Code, "%s: %s", c.name, answer.Body)
		if c.code == 200 {
			require.Equal(t, 1, accepted.count)
			continue
		}
		require.Zero(t, accepted.count, c.name)
		var r api.Refusal
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &r), c.name)
		require.Equal(t, api.RanNot, r.Ran, c.name)
		require.Contains(t, r.Detail, c.says, c.name)
	}
}
