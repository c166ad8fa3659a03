package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/standin/arrival"
	"gypsumward/standin/caller"
	"gypsumward/standin/kind"
	"gypsumward/standin/outcome"
)

// startEntry starts an entry instance that responds to each call with the status
// and body that f returns, and returns its address. With status zero it breaks
// the connection.
func startEntry(t *testing.T, f func(api.Request) (int, any)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req api.Request
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := f(req)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func answerCorrectly(req api.Request) (int, any) {
	return http.StatusOK, api.Answer{State: api.StateComplete, Output: kind.NewOutput(req.Kind, req.Input)}
}

func answerWithOtherInput(req api.Request) (int, any) {
	return http.StatusOK, api.Answer{State: api.StateComplete, Output: kind.NewOutput(req.Kind, nil)}
}

func breakConnection(api.Request) (int, any) { return 0, nil }

func refuseWith(reason api.Reason) func(api.Request) (int, any) {
	return func(api.Request) (int, any) {
		return http.StatusServiceUnavailable, api.Refusal{Reason: reason, Ran: api.RanNot}
	}
}

// TestSend checks the outcome that a caller records for each kind of response,
// among them answers to another request and broken connections.
func TestSend(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		entries []func(api.Request) (int, any)
		state   outcome.State
		ran     api.RunStatus
	}{
		{name: "answered", entries: []func(api.Request) (int, any){answerCorrectly}, state: outcome.Complete},
		{name: "answer to another", entries: []func(api.Request) (int, any){answerWithOtherInput}, state: outcome.Wrong},
		{name: "refused", entries: []func(api.Request) (int, any){refuseWith(api.ReasonFull)}, state: outcome.Refused, ran: api.RanNot},
		{name: "breaks off", entries: []func(api.Request) (int, any){breakConnection}, state: outcome.Open, ran: api.RanUnknown},
		{name: "one is stopping", entries: []func(api.Request) (int, any){refuseWith(api.ReasonStopping), answerCorrectly}, state: outcome.Complete},
		{name: "all are stopping", entries: []func(api.Request) (int, any){refuseWith(api.ReasonStopping), refuseWith(api.ReasonStopping)}, state: outcome.Refused, ran: api.RanNot},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var addrs []string
			for _, f := range test.entries {
				addrs = append(addrs, startEntry(t, f))
			}
			c, err := caller.New(t.Context(), addrs, 1)
			require.NoError(t, err)
			o := c.Send(t.Context(), arrival.Arrival{Team: "crew", ID: "a", Kind: "price", Deadline: time.Second})
			require.Equal(t, test.state, o.State, o.Detail)
			require.Equal(t, test.ran, o.Ran)
		})
	}
}
