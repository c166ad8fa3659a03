package answer_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/job"
)

// run executes a job subcommand against an instance that gives the replies in
// order, each of the form "STATUS BODY", and repeats the last one. It returns
// the exit code, the output and the calls.
func run(t *testing.T, replies []string, args ...string) (command.ExitCode, string, []string) {
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := replies[min(len(calls), len(replies)-1)]
		calls = append(calls, r.Method+" "+r.URL.RequestURI())
		status, body, _ := strings.Cut(reply, " ")
		code := map[string]int{"200": 200, "202": 202, "404": 404, "503": 503}[status]
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	var out, notes bytes.Buffer
	clock := clockwork.NewFakeClock()
	go func() {
		for clock.BlockUntilContext(t.Context(), 1) == nil {
			clock.Advance(time.Second)
		}
	}()
	env := &command.Env{
		Entry: strings.TrimPrefix(server.URL, "http://"),
		In:    strings.NewReader(`{"team":"crew","id":"a","deadline":"2s","tasks":[{"name":"t","kind":"k"}]}`),
		Out:   &out, Err: &notes, Clock: clock,
	}
	code := job.Command().Execute(t.Context(), env, args)
	return code, out.String(), calls
}

// TestWaiter checks the exit code, the output and the number of calls of the job
// subcommands for the replies that they may get. All calls after the first one
// must be polls with a bounded wait.
func TestWaiter(t *testing.T) {
	t.Parallel()
	const (
		open     = `202 {"team":"crew","id":"a","state":"open"}`
		complete = `200 {"team":"crew","id":"a","state":"complete","took":"812ms","results":[{"name":"t","output":7}]}`
		failed   = `200 {"team":"crew","id":"a","state":"failed","reason":"task","ran":"ran","detail":"t failed"}`
		notRun   = `200 {"team":"crew","id":"a","state":"failed","reason":"deadline","ran":"notrun"}`
		stopped  = `200 {"team":"crew","id":"a","state":"failed","reason":"cancelled","ran":"unknown"}`
		missing  = `404 {"reason":"missing","ran":"notrun"}`
		store    = `503 {"reason":"store","ran":"notrun"}`
	)
	for name, test := range map[string]struct {
		args    []string
		replies []string
		code    command.ExitCode
		out     string
		calls   int
	}{
		"complete at once":        {[]string{"submit", "-"}, []string{complete}, command.Complete, "job crew/a: complete in 812ms\nTASK  OUTPUT\nt     7\n", 1},
		"complete later":          {[]string{"submit", "-"}, []string{open, open, complete}, command.Complete, "complete in 812ms", 3},
		"store refuses meanwhile": {[]string{"submit", "-"}, []string{open, store, complete}, command.Complete, "complete in 812ms", 3},
		"missing meanwhile":       {[]string{"submit", "-"}, []string{open, missing}, command.Refused, "", 2},
		"no wait":                 {[]string{"submit", "-wait", "-1s", "-"}, []string{open}, command.Unknown, "job crew/a: open\n", 1},
		"failed":                  {[]string{"submit", "-"}, []string{failed}, command.Failed, "job crew/a: failed, reason task, it ran\nt failed\n", 1},
		"not run":                 {[]string{"submit", "-"}, []string{notRun}, command.Refused, "nothing ran", 1},
		"json":                    {[]string{"submit", "-", "-json"}, []string{complete}, command.Complete, `"results":[{"name":"t","output":7}]`, 1},
		"other id":                {[]string{"submit", "-id", "b", "-"}, []string{complete}, command.Complete, "job crew/b: complete", 1},
		"show":                    {[]string{"show", "crew/a"}, []string{open}, command.Unknown, "open", 1},
		"show and wait":           {[]string{"show", "crew/a", "-wait", "9s"}, []string{open, failed}, command.Failed, "failed", 2},
		"show missing":            {[]string{"show", "crew/a"}, []string{missing}, command.Refused, "", 1},
		"cancel":                  {[]string{"cancel", "crew/a"}, []string{stopped}, command.Complete, "reason cancelled", 1},
		"cancel too late":         {[]string{"cancel", "crew/a"}, []string{complete}, command.Failed, "complete", 1},
		"bad key":                 {[]string{"show", "crew a"}, []string{open}, command.Usage, "", 0},
		"no file":                 {[]string{"submit", "/nonexistent"}, []string{open}, command.Usage, "", 0},
		"unknown flag":            {[]string{"submit", "-x"}, []string{open}, command.Usage, "", 0},
		"unknown command":         {[]string{"send"}, []string{open}, command.Usage, "", 0},
		"bad entry":               {[]string{"show", "-entry", "localhost", "crew/a"}, []string{open}, command.Usage, "", 0},
		"help":                    {[]string{"submit", "-h"}, []string{open}, command.Complete, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, out, calls := run(t, test.replies, test.args...)
			require.Equal(t, test.code, code)
			require.Contains(t, out, test.out)
			require.Len(t, calls, test.calls)
			for _, call := range calls[min(1, len(calls)):] {
				require.Regexp(t, `^GET /v1/job\?id=a&team=crew&wait=[0-9.]+(s|ms)$`, call)
			}
		})
	}
}

// TestWaitIsBounded checks that polling a job that stays open ends after -wait.
func TestWaitIsBounded(t *testing.T) {
	t.Parallel()
	code, _, calls := run(t, []string{`202 {"state":"open"}`}, "submit", "-wait", "5s", "-")
	require.Equal(t, command.Unknown, code)
	require.Len(t, calls, 6)
}
