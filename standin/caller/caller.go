package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/span"
	"gypsumward/standin/arrival"
	"gypsumward/standin/kind"
	"gypsumward/standin/outcome"
)

const (
	deadlineGrace = 10 * time.Second       // time past the deadline after which a call is abandoned
	maxBody       = 2 * api.MaxBodyBytes   // bytes read of a response
	maxIdleConns  = 512                    // idle connections kept to one instance
	retryDelay    = 100 * time.Millisecond // time between two attempts
)

// Caller sends arrivals to entry instances. It is safe for concurrent use.
type Caller struct {
	addrs   []string
	clients []*khttp.Client

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a caller of the instances at addrs. The seed determines the
// sequence of the instances that are chosen first. It returns an error if an
// address is invalid.
func New(ctx context.Context, addrs []string, seed uint64) (*Caller, error) {
	c := &Caller{addrs: addrs, rng: rand.New(rand.NewPCG(seed, 0))}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	for _, addr := range addrs {
		client, err := khttp.NewClient(ctx, khttp.WithEndpoint(addr), khttp.WithTimeout(0),
			khttp.WithTransport(transport), khttp.WithErrorDecoder(decodeError), khttp.WithResponseDecoder(decodeAnswer))
		if err != nil {
			return nil, errors.Annotate(err, addr)
		}
		c.clients = append(c.clients, client)
	}
	return c, nil
}

// decodeError returns nil for a response with status 200, and otherwise the
// *api.Refusal in its body, or an error of another type if there is none.
func decodeError(_ context.Context, resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	refusal := &api.Refusal{}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err == nil && json.Unmarshal(data, refusal) == nil && refusal.Ran != "" {
		return refusal
	}
	return errors.Errorf("status %d without a refusal", resp.StatusCode)
}

// decodeAnswer decodes a JSON response into v.
func decodeAnswer(_ context.Context, resp *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(data, v))
}

// Send implements load.Sender. It calls the instances in turn until one answers
// or refuses for a reason other than shutting down. A refusal because of shutting
// down is final after as many attempts as there are instances. The state is Open
// if there is no answer within the deadline and a grace of 10 s, or after two
// attempts per instance.
func (c *Caller) Send(ctx context.Context, a arrival.Arrival) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, a.Deadline+deadlineGrace)
	defer cancel()
	path, body := buildMessage(a)
	path = fmt.Sprintf("%s?wait=%s", path, a.Deadline+deadlineGrace/2)
	o := outcome.New(a)
	maybeAccepted := false // an earlier attempt may have been accepted
	for index := c.drawInstance(); ; index = (index + 1) % len(c.addrs) {
		o.Attempts++
		var answer api.Answer
		err := c.clients[index].Invoke(ctx, http.MethodPost, path, body, &answer)
		if err == nil {
			setAnswered(&o, a, answer)
			return o
		}
		var refusal *api.Refusal
		refused := errors.As(err, &refusal)
		if refused && (refusal.Reason != api.ReasonStopping || o.Attempts >= len(c.addrs)) {
			setRefused(&o, refusal, maybeAccepted)
			return o
		}
		maybeAccepted = maybeAccepted || !refused
		if o.Attempts >= 2*len(c.addrs) || !sleep(ctx, retryDelay) {
			o.State, o.Ran, o.Detail = outcome.Open, api.RanUnknown, err.Error()
			return o
		}
	}
}

// drawInstance returns the index of a random instance.
func (c *Caller) drawInstance() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(len(c.addrs))
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// buildMessage returns the URL path and the body of the call for an arrival.
func buildMessage(a arrival.Arrival) (string, any) {
	if a.Tasks == 0 {
		return "/v1/request", &api.Request{
			Team: a.Team, ID: a.ID, Kind: a.Kind, Input: input(a, 0),
			Repeatable: !a.NonRepeatable, Urgency: a.Urgency, Deadline: span.Of(a.Deadline),
		}
	}
	job := &api.Job{Team: a.Team, ID: a.ID, Urgency: a.Urgency, Deadline: span.Of(a.Deadline)}
	for i := range a.Tasks {
		job.Tasks = append(job.Tasks, api.Task{
			Name: fmt.Sprint("t", i), Kind: a.Kind, Input: input(a, i), Cores: 1, ExpectedRunTime: span.Of(a.RunTime),
		})
	}
	return "/v1/job", job
}

// Input is the input of a request or task. Run sets its run time, and Name
// identifies it.
type Input struct {
	Run  span.Span `json:"run"`
	Name string    `json:"name"`
}

// input returns the input of task i of an arrival, or of the request if i is
// zero. It differs from that of every other request and task.
func input(a arrival.Arrival, i int) json.RawMessage {
	data, err := json.Marshal(Input{Run: span.Of(a.RunTime), Name: fmt.Sprintf("%s/%s/%d", a.Team, a.ID, i)})
	if err != nil {
		panic(err)
	}
	return data
}

// setRefused sets the outcome from a refusal. If an earlier attempt may have been
// accepted, a refusal as not run is changed to unknown.
func setRefused(o *outcome.Outcome, r *api.Refusal, maybeAccepted bool) {
	o.State, o.Reason, o.Ran, o.Detail = outcome.Refused, r.Reason, r.Ran, r.Detail
	if maybeAccepted && r.Ran == api.RanNot {
		o.Ran = api.RanUnknown // the refusal applies only to the last instance
	}
}

// setAnswered sets the outcome from an answer. The state is Wrong if the answer
// is complete but its outputs are missing or belong to another arrival.
func setAnswered(o *outcome.Outcome, a arrival.Arrival, answer api.Answer) {
	o.Reason, o.Ran, o.Detail = answer.Reason, answer.Ran, answer.Detail
	switch answer.State {
	case api.StateComplete:
		o.State = outcome.Complete
		if !answerMatches(a, answer) {
			o.State, o.Detail = outcome.Wrong, "the output is not that of the input"
		}
	case api.StateFailed:
		o.State = outcome.Failed
	default:
		o.State = outcome.Open
	}
}

// answerMatches reports whether the outputs of the answer are those of all tasks
// of the arrival, in order, or that of the request.
func answerMatches(a arrival.Arrival, answer api.Answer) bool {
	if a.Tasks == 0 {
		return outputMatches(answer.Output, a, 0)
	}
	if len(answer.Results) != a.Tasks {
		return false
	}
	for i, r := range answer.Results {
		if r.Name != fmt.Sprint("t", i) || !outputMatches(r.Output, a, i) {
			return false
		}
	}
	return true
}

// outputMatches reports whether output echoes the input of task i of the arrival.
func outputMatches(output json.RawMessage, a arrival.Arrival, i int) bool {
	var out kind.Output
	if json.Unmarshal(output, &out) != nil {
		return false
	}
	var compact bytes.Buffer
	return json.Compact(&compact, out.Echo) == nil && bytes.Equal(compact.Bytes(), input(a, i))
}
