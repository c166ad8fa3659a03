package queue_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/queue"
)

const id = "5c0e7a21d94b36f8"

// TestQueue checks the call that each subcommand makes and the exit code for its
// response. The first entry instance is unreachable, so each call fails over.
func TestQueue(t *testing.T) {
	t.Parallel()
	const job = `{"spec":"x","steps":[{"count":1}]}`
	for _, test := range []struct {
		name   string
		args   string
		in     string
		status int
		body   string
		want   string // the call that is made
		code   command.ExitCode
		out    string
	}{
		{"accepted", "submit ID -", job, 200, `{"state":"queued"}`, "POST a.example /q/" + id + " " + job, command.Unknown, `{"state":"queued"}`},
		{"ended at once", "submit ID -", job, 200, `{"state":"succeeded"}`, "POST a.example /q/" + id + " " + job, command.Complete, `{"state":"succeeded"}`},
		{"refused", "submit ID -", job, 429, ``, "POST a.example /q/" + id + " " + job, command.Refused, ``},
		{"open", "submit ID -", job, 504, ``, "POST a.example /q/" + id + " " + job, command.Unknown, ``},
		{"no JSON", "submit ID -", `{`, 200, ``, "", command.Usage, ``},
		{"state", "state ID", ``, 200, `{"state":"failed"}`, "GET a.example /q/" + id + " ", command.Failed, `{"state":"failed"}`},
		{"no such job", "state ID", ``, 410, ``, "GET a.example /q/" + id + " ", command.Refused, ``},
		{"cancel", "cancel ID", ``, 200, ``, "DELETE a.example /q/" + id + " ", command.Complete, ``},
		{"pending", "pending", ``, 200, `{"pending":12}`, "GET a.example /q/ ", command.Complete, `{"pending":12}`},
		{"too few arguments", "state", ``, 200, ``, "", command.Usage, ``},
	} {
		called := ""
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			called = r.Method + " " + r.Host + " " + r.URL.Path + " " + string(body)
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		}))
		var out, notes bytes.Buffer
		gone := httptest.NewServer(http.NotFoundHandler())
		env := &command.Env{
			Entry: gone.Listener.Addr().String() + "," + server.Listener.Addr().String(),
			In:    strings.NewReader(test.in), Out: &out, Err: &notes,
		}
		gone.Close()
		args := append(strings.Fields(strings.ReplaceAll(test.args, "ID", id)), "-host", "a.example", "-path", "/q/")
		code := queue.Command().Execute(context.Background(), env, args)
		server.Close()
		require.Equal(t, test.code, code, "%s: %s", test.name, notes.String())
		require.Equal(t, test.want, called, test.name)
		require.Equal(t, test.out, strings.TrimSpace(out.String()), test.name)
	}
}

// TestQueueUnreachable checks the exit codes if no instance can be reached and
// if no queue is named.
func TestQueueUnreachable(t *testing.T) {
	t.Parallel()
	gone := httptest.NewServer(http.NotFoundHandler())
	env := &command.Env{Entry: gone.Listener.Addr().String(), Out: io.Discard, Err: io.Discard}
	gone.Close()
	require.Equal(t, command.Unreachable, queue.Command().Execute(context.Background(), env,
		[]string{"state", id, "-host", "a.example"}))
	require.Equal(t, command.Usage, queue.Command().Execute(context.Background(), env, []string{"state", id}))
}
