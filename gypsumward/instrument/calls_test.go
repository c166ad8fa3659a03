package instrument_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/meter"
	"gypsumward/core/span"
	"gypsumward/gypsumward/instrument"
	"gypsumward/gypsumward/server"
)

func TestObserve(t *testing.T) {
	t.Parallel()
	m := meter.New()
	c := instrument.Calls{Meter: m}
	c.Observe("crew", server.Job, &api.Answer{State: api.StateOpen}, nil, time.Second)
	c.Observe("crew", server.Job, &api.Answer{State: api.StateComplete, Elapsed: 3 * span.Second}, nil, time.Second)
	c.Observe("crew", server.Request, &api.Answer{State: api.StateFailed, Reason: api.ReasonTask, Ran: api.RanYes}, nil, time.Second)
	c.Observe("crew", server.Request, nil, &api.Refusal{Reason: api.ReasonFull, Ran: api.RanNot}, time.Second)
	c.Observe("crew", server.Request, nil, &api.Refusal{Reason: api.ReasonTarget, Ran: api.RanUnknown}, time.Second)
	c.Observe("", server.Cancel, nil, &api.Refusal{Reason: api.ReasonMissing, Ran: api.RanNot}, time.Second)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`gypsumward_jobs_total{outcome="complete",team="crew"} 1`,
		`gypsumward_job_seconds_sum{team="crew"} 3`,
		`gypsumward_job_seconds_count{team="crew"} 1`,
		`gypsumward_requests_total{outcome="failed",team="crew"} 1`,
		`gypsumward_requests_total{outcome="refused",team="crew"} 1`,
		`gypsumward_requests_total{outcome="unknown",team="crew"} 1`,
		`gypsumward_refusals_total{ran="ran",reason="task"} 1`,
		`gypsumward_refusals_total{ran="notrun",reason="full"} 1`,
		`gypsumward_refusals_total{ran="unknown",reason="target"} 1`,
		`gypsumward_refusals_total{ran="notrun",reason="missing"} 1`,
	} {
		require.Contains(t, recorder.Body.String(), line+"\n")
	}
}
