package check_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/span"
)

// newJob returns a valid job with the given number of tasks.
func newJob(tasks int) *api.Job {
	j := &api.Job{Team: "crew", ID: "gala-2026.12:04_a"}
	for i := range tasks {
		j.Tasks = append(j.Tasks, api.Task{Name: fmt.Sprintf("t%d", i), Kind: "price"})
	}
	return j
}

// Later code relies on a deadline and cores that are not zero.
func TestJobDefaults(t *testing.T) {
	t.Parallel()
	j := newJob(api.MaxTasks)
	j.Tasks[1].Cores = 0.25
	require.Nil(t, check.Job(j))
	require.Equal(t, api.DefaultDeadline, j.Deadline)
	require.InDelta(t, api.DefaultCores, j.Tasks[0].Cores, 0)
	require.InDelta(t, 0.25, j.Tasks[1].Cores, 0)
}

// Each limit on a job must be enforced with a refusal that states field and value,
// and a refused job must not get its default deadline.
func TestJobRefused(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		change func(j *api.Job)
		want   string
	}{
		"no team":       {func(j *api.Job) { j.Team = "" }, "team: missing"},
		"no id":         {func(j *api.Job) { j.ID = "" }, "id: missing"},
		"slash in team": {func(j *api.Job) { j.Team = "crew/2" }, `team: byte 0x2f at 4 of "crew/2"; allowed are letters, digits and . _ : -`},
		"newline":       {func(j *api.Job) { j.ID = "a\nb" }, "id: byte 0x0a at 1"},
		"zero byte":     {func(j *api.Job) { j.ID = "a\x00" }, "id: byte 0x00 at 1"},
		"not ASCII":     {func(j *api.Job) { j.ID = "é" }, "id: byte 0xc3 at 0"},
		"long id":       {func(j *api.Job) { j.ID = strings.Repeat("x", api.MaxIDLen+1) }, "id: 129 bytes"},
		"no tasks":      {func(j *api.Job) { j.Tasks = nil }, "tasks: 0 tasks; allowed are 1 to 1200"},
		"1201 tasks":    {func(j *api.Job) { *j = *newJob(1201) }, "tasks: 1201 tasks"},
		"same name":     {func(j *api.Job) { j.Tasks[2].Name = "t0" }, `tasks[2].name: "t0" is also the name of tasks[0]`},
		"task name":     {func(j *api.Job) { j.Tasks[1].Name = "a b" }, "tasks[1].name: byte 0x20 at 1"},
		"no kind":       {func(j *api.Job) { j.Tasks[1].Kind = "" }, "tasks[1].kind: missing"},
		"late":          {func(j *api.Job) { j.Deadline = -span.Second }, "deadline: -1s; allowed are 0s (means 30s) to 24h0m0s"},
		"far":           {func(j *api.Job) { j.Deadline = api.MaxDeadline + 1 }, "deadline: 24h0m0.000000001s"},
		"urgency":       {func(j *api.Job) { j.Urgency = 10 }, "urgency: 10; allowed are 0 to 9"},
		"below urgency": {func(j *api.Job) { j.Urgency = -1 }, "urgency: -1"},
		"NaN":           {func(j *api.Job) { j.Tasks[0].Cores = math.NaN() }, "tasks[0].cores: NaN"},
		"infinite":      {func(j *api.Job) { j.Tasks[0].Cores = math.Inf(1) }, "tasks[0].cores: +Inf"},
		"minus cores":   {func(j *api.Job) { j.Tasks[0].Cores = -1 }, "tasks[0].cores: -1"},
		"memory":        {func(j *api.Job) { j.Tasks[0].Memory = -1 }, "tasks[0].memory: -1 bytes"},
		"much memory":   {func(j *api.Job) { j.Tasks[0].Memory = api.MaxMemory + 1 }, "tasks[0].memory: "},
		"time":          {func(j *api.Job) { j.Tasks[0].ExpectedRunTime = -1 }, "tasks[0].time: -1ns"},
		"input":         {func(j *api.Job) { j.Tasks[0].Input = make(json.RawMessage, api.MaxInputSize+1) }, "tasks[0].input: 1048577 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := newJob(3)
			test.change(j)
			original := *j
			r := check.Job(j)
			require.NotNil(t, r)
			require.Equal(t, api.ReasonInvalid, r.Reason)
			require.Equal(t, api.RanNot, r.Ran)
			require.Contains(t, r.Detail, test.want)
			require.Equal(t, original.Deadline, j.Deadline)
		})
	}
}

// The limits on a request must be enforced. Without an id, a resubmission of a
// request that is not repeatable would run twice.
func TestRequest(t *testing.T) {
	t.Parallel()
	q := &api.Request{Team: "crew", Kind: "price", Repeatable: true}
	require.Nil(t, check.Request(q))
	require.Equal(t, api.DefaultDeadline, q.Deadline)
	for want, bad := range map[string]api.Request{
		"id: missing; a request that is not repeatable": {Team: "crew", Kind: "slot"},
		"team: missing":                {Kind: "slot", ID: "a"},
		"kind: missing":                {Team: "crew", ID: "a"},
		"id: byte 0x3f":                {Team: "crew", Kind: "slot", ID: "a?"},
		"deadline: -1s":                {Team: "crew", Kind: "slot", ID: "a", Deadline: -span.Second},
		"urgency: 11":                  {Team: "crew", Kind: "slot", ID: "a", Urgency: 11},
		"input: 1048577 bytes; allowe": {Team: "crew", Kind: "slot", ID: "a", Input: make([]byte, api.MaxInputSize+1)},
	} {
		r := check.Request(&bad)
		require.NotNil(t, r, want)
		require.Contains(t, r.Detail, want)
	}
}

// A misspelt field or anything after the value must be refused, not ignored, with
// the line of the error.
func TestDecode(t *testing.T) {
	t.Parallel()
	var j api.Job
	require.Nil(t, check.Decode([]byte(`{"team":"crew","id":"a","deadline":"2s","tasks":[{"name":"t","kind":"k","input":{"x":1}}]} `), &j))
	require.Equal(t, 2*span.Second, j.Deadline)
	require.JSONEq(t, `{"x":1}`, string(j.Tasks[0].Input))
	for text, want := range map[string]string{
		"":                                "line 1: EOF",
		"{\n\"team\":\"a\",\n\"dead\":1}": `unknown field "dead"`,
		"{\n\"team\":\n7}":                "line 3: json: cannot unmarshal number",
		"{}\n{}":                          "line 2: more than one JSON value",
		"{}\n]":                           "line 2: more than one JSON value",
		`{"deadline":"250"}`:              "is not a time with a unit",
		"{\n\"team\" \"a\"}":              "line 2: invalid character",
	} {
		r := check.Decode([]byte(text), &api.Job{})
		require.NotNil(t, r, text)
		require.Contains(t, r.Detail, want)
		require.Equal(t, api.RanNot, r.Ran)
	}
}

// BenchmarkJob measures the check of a valid job with api.MaxTasks tasks.
func BenchmarkJob(b *testing.B) {
	j := newJob(api.MaxTasks)
	b.ReportAllocs()
	for b.Loop() {
		if r := check.Job(j); r != nil {
			b.Fatal(r)
		}
	}
}

// BenchmarkRefusal measures decoding and refusing a request with an invalid team.
func BenchmarkRefusal(b *testing.B) {
	body := []byte(`{"team":"crew/2","id":"slot-7","kind":"confirm","input":{"ladder":7}}`)
	b.ReportAllocs()
	for b.Loop() {
		var q api.Request
		if check.Decode(body, &q) != nil || check.Request(&q) == nil {
			b.Fatal("request with an invalid team was not refused")
		}
	}
}

// FuzzJob checks that no input panics, and that an accepted job is still accepted
// after it is encoded and decoded again.
func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"team":"crew","id":"a","tasks":[{"name":"t","kind":"k"}]}`))
	f.Add([]byte(`{"team":"crew","id":"a","tasks":[{"name":"t","kind":"k","cores":1e309}]}`))
	f.Add([]byte(`{"team":"c\u0000","id":"..","deadline":"-9223372036854775808ns","tasks":[{}]}`))
	f.Add([]byte("[]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var j api.Job
		if check.Decode(data, &j) != nil || check.Job(&j) != nil {
			return
		}
		require.Positive(t, j.Deadline)
		encoded, err := json.Marshal(j)
		require.NoError(t, err)
		require.Nil(t, check.Decode(encoded, &j))
		require.Nil(t, check.Job(&j))
	})
}
