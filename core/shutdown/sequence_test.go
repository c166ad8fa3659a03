package shutdown_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/shutdown"
)

// TestSlowHandover guards against requests that are taken late in a shutdown and cut off: the
// handovers take nearly all of the time, and must not delay the end of serving.
func TestSlowHandover(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		handover time.Duration
		longest  time.Duration // that a request takes
		took     time.Duration
		ended    bool // requests are made to answer
	}{
		{"fast", 20 * time.Millisecond, 900 * time.Millisecond, 3400 * time.Millisecond, false},
		{"slow handover", 4700 * time.Millisecond, 900 * time.Millisecond, 4700 * time.Millisecond, false},
		{"long request", 20 * time.Millisecond, time.Hour, 5 * time.Second, true},
		{"both", 4700 * time.Millisecond, time.Hour, 5 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				requests, end := context.WithCancel(context.Background())
				defer end()
				s := &shutdown.Sequence{
					DrainTime: 2500 * time.Millisecond, Grace: 5300 * time.Millisecond, AnswerMargin: 300 * time.Millisecond,
					HandOver: func() { time.Sleep(test.handover) },
					StopServing: func(ctx context.Context) {
						require.Equal(t, 2500*time.Millisecond, time.Since(began), "the time from which on no requests are taken")
						select {
						case <-requests.Done():
						case <-ctx.Done():
						case <-time.After(test.longest):
						}
					},
					EndRequests: end,
				}
				s.Run()
				require.Equal(t, test.took, time.Since(began))
				require.Equal(t, test.ended, requests.Err() != nil)
			})
		})
	}
}

// TestRequestsAnswered plays a shutdown with a real server: a request that would take longer than the
// shutdown gets a complete answer.
func TestRequestsAnswered(t *testing.T) {
	t.Parallel()
	requests, end := context.WithCancel(context.Background())
	defer end()
	started := make(chan struct{})
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return requests },
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			w.WriteHeader(http.StatusGatewayTimeout)
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	status := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-started
	s := &shutdown.Sequence{
		DrainTime: 20 * time.Millisecond, Grace: 10 * time.Second, AnswerMargin: 9900 * time.Millisecond, HandOver: func() {},
		StopServing: func(ctx context.Context) { _ = server.Shutdown(ctx) }, EndRequests: end,
	}
	s.Run()
	require.Equal(t, http.StatusGatewayTimeout, <-status)
}
