package targetclient_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// TestWorkerAnswers guards against replies that are accepted although they are
// malformed or do not match the tasks of the message, and against a second send of
// the message after such a reply.
func TestWorkerAnswers(t *testing.T) {
	t.Parallel()
	type call func(ctx context.Context, w *targetclient.Worker, addr string) (int, api.RunStatus, error)
	start := func(ctx context.Context, w *targetclient.Worker, addr string) (int, api.RunStatus, error) {
		got, ran, err := w.Start(ctx, addr, target.Start{Tasks: []target.Task{{ID: "t1"}, {ID: "t2"}}})
		return len(got.Tasks), ran, err
	}
	watch := func(ctx context.Context, w *targetclient.Worker, addr string) (int, api.RunStatus, error) {
		got, ran, err := w.Watch(ctx, addr, target.Watch{After: 5})
		return len(got.Tasks), ran, err
	}
	adopt := func(ctx context.Context, w *targetclient.Worker, addr string) (int, api.RunStatus, error) {
		got, ran, err := w.Adopt(ctx, addr, target.Adopt{IDs: []string{"t1"}})
		return len(got.Tasks), ran, err
	}
	stop := func(ctx context.Context, w *targetclient.Worker, addr string) (int, api.RunStatus, error) {
		got, ran, err := w.Stop(ctx, addr, target.TaskIDs{IDs: []string{"t1"}})
		return len(got.Tasks), ran, err
	}
	const t1, t2 = `{"id":"t1","phase":"running"}`, `{"id":"t2","phase":"refused"}`
	for _, test := range []struct {
		name   string
		call   call
		answer string
		ran    api.RunStatus
		tasks  int
	}{
		{"started", start, message(200, `{"tasks":[`+t1+`,`+t2+`]}`), api.RanYes, 2},
		{"started fewer", start, message(200, `{"tasks":[`+t1+`]}`), api.RanUnknown, 0},
		{"started in other order", start, message(200, `{"tasks":[`+t2+`,`+t1+`]}`), api.RanUnknown, 0},
		{"odd phase", start, message(200, `{"tasks":[`+t1+`,{"id":"t2","phase":"maybe"}]}`), api.RanUnknown, 0},
		{"start refused by status", start, message(503, `{}`), api.RanUnknown, 0},
		{"start broken off", start, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{", api.RanUnknown, 0},
		{"seen", watch, message(200, `{"next":6,"tasks":[{"id":"t1","phase":"done"}]}`), api.RanYes, 1},
		{"seen before", watch, message(200, `{"next":4,"tasks":[]}`), api.RanUnknown, 0},
		{"adopted", adopt, message(200, `{"tasks":[`+t1+`]}`), api.RanYes, 1},
		{"adopted another", adopt, message(200, `{"tasks":[`+t2+`]}`), api.RanUnknown, 0},
		{"stopped", stop, message(200, `{"tasks":[{"id":"t1","phase":"unknown"}]}`), api.RanYes, 1},
		{"stopped more", stop, message(200, `{"tasks":[`+t1+`,`+t2+`]}`), api.RanUnknown, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, test.answer)
				return false
			})
			worker := &targetclient.Worker{}
			defer worker.Close()
			tasks, ran, err := test.call(t.Context(), worker, s.Addr)
			require.Equal(t, test.ran, ran, err)
			require.Equal(t, test.ran == api.RanYes, err == nil, err)
			require.Equal(t, test.tasks, tasks)
			require.Equal(t, 1, s.count(""))
		})
	}
}

// TestWorkerNotReached guards against tasks that count as possibly started although
// no connection was established.
func TestWorkerNotReached(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	worker := &targetclient.Worker{}
	defer worker.Close()
	_, ran, err := worker.Start(t.Context(), listener.Addr().String(), target.Start{Tasks: []target.Task{{ID: "t1"}}})
	require.Equal(t, api.RanNot, ran)
	require.True(t, targetclient.IsUnreachable(err), err)
}
