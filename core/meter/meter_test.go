package meter_test

import (
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/meter"
	"gypsumward/core/platformclient"
	"gypsumward/core/table"
)

// scrape returns the body of a response to /metrics.
func scrape(t *testing.T, m *meter.Recorder) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	return string(body)
}

// Every count and gauge must appear in a scrape under its documented name and labels,
// since alerts match them.
func TestMeter(t *testing.T) {
	t.Parallel()
	m := meter.New()
	m.CountRequest("crew", meter.Complete, 30*time.Millisecond)
	m.CountJob("crew", meter.Failed, time.Second)
	m.CountTask("crew", meter.Complete, time.Millisecond, time.Second)
	m.CountTask("crew", meter.Dropped, 0, 0)
	m.CountRefusal(api.ReasonFull, api.RanNot)
	m.CountRefusal("odd", api.RanUnknown)
	m.CountMessages(meter.Hedge, false, 3)
	m.ObserveStoreCall(platformclient.CallWrite, 2*time.Second, &platformclient.Error{MayHaveTakenEffect: true})
	m.ObserveStoreCall(platformclient.CallWrite, time.Second, &platformclient.Error{Busy: true, Status: 503})
	m.ObserveStoreCall(platformclient.CallWrite, time.Second, &platformclient.Error{})
	m.ObserveStoreCall(platformclient.CallGet, time.Second, &platformclient.Error{MayHaveTakenEffect: true, Status: 404})
	m.CountJobsTakenOver(2)
	m.RegisterGauges(func() meter.Gauges {
		overdue := 3 * time.Second
		return meter.Gauges{
			Revision: 9, StoreDown: true, ListAge: 2 * time.Second, Overdue: &overdue,
			Queues:  []meter.Queue{{Name: "tasks", Length: 7, Limit: 20, Bytes: new(int64(100))}},
			Members: []meter.MemberCount{{Kind: table.KindRunner, State: "live", Count: 50}},
		}
	})
	text := scrape(t, m)
	for _, line := range []string{
		`gypsumward_requests_total{outcome="complete",team="crew"} 1`,
		`gypsumward_request_seconds_bucket{team="crew",le="0.032"} 1`,
		`gypsumward_jobs_total{outcome="failed",team="crew"} 1`,
		`gypsumward_tasks_total{outcome="dropped",team="crew"} 1`,
		`gypsumward_wait_seconds_count 1`,
		`gypsumward_refusals_total{ran="notrun",reason="full"} 1`,
		`gypsumward_refusals_total{ran="unknown",reason="other"} 1`,
		`gypsumward_messages_total{purpose="hedge",useful="false"} 3`,
		`gypsumward_store_calls_total{call="write",outcome="unknown"} 1`,
		`gypsumward_store_calls_total{call="write",outcome="refused"} 1`,
		`gypsumward_store_calls_total{call="write",outcome="failed"} 1`,
		`gypsumward_store_calls_total{call="get",outcome="complete"} 1`,
		`gypsumward_jobs_taken_total 2`,
		`gypsumward_double_starts_total 0`,
		`gypsumward_queue_length{queue="tasks"} 7`,
		`gypsumward_queue_limit{queue="tasks"} 20`,
		`gypsumward_queue_bytes{queue="tasks"} 100`,
		`gypsumward_members{kind="runner",state="live"} 50`,
		`gypsumward_settings_revision 9`,
		`gypsumward_store_down 1`,
		`gypsumward_passed 0`,
		`gypsumward_list_age_seconds 2`,
		`gypsumward_jobs_overdue_seconds 3`,
	} {
		require.Contains(t, text, line+"\n")
	}
}

// The number of team labels must stay bounded whatever names callers send, including
// names that are not valid in a label.
func TestTeamsBounded(t *testing.T) {
	t.Parallel()
	m := meter.New()
	for n := range 3 * meter.MaxTeams {
		m.CountRequest("team-"+strconv.Itoa(n), meter.Complete, time.Millisecond)
	}
	m.CountRequest("odd \xff bytes\n\"", meter.Complete, time.Millisecond)
	text := scrape(t, m)
	require.Equal(t, meter.MaxTeams+1, strings.Count(text, "gypsumward_requests_total{"))
	require.Contains(t, text, `gypsumward_requests_total{outcome="complete",team="other"} 257`)
}

// No method that counts or registers may panic on a nil Recorder.
func TestNilMeter(t *testing.T) {
	t.Parallel()
	var m *meter.Recorder
	m.CountRequest("a", meter.Complete, 0)
	m.CountJob("a", meter.Complete, 0)
	m.CountTask("a", meter.Complete, 0, 0)
	m.CountRefusal(api.ReasonFull, api.RanNot)
	m.CountMessages(meter.Run, true, 1)
	m.ObserveStoreCall(platformclient.CallRead, 0, nil)
	m.CountJobsTakenOver(1)
	m.CountDoubleStart()
	m.CountRefusedSettings()
	m.RegisterGauges(nil)
}
