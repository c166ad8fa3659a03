package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"

	"gypsumward/core/api"
	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/standin/arrival"
	"gypsumward/standin/outcome"
)

// Sender sends requests to runners in round-robin order. Create it with New.
type Sender struct {
	addrs  []string
	client *http.Client
	next   atomic.Uint64
}

// New returns a sender to the runners at addrs that opens at most conns
// connections to each of them.
func New(addrs []string, conns int) *Sender {
	return &Sender{
		addrs:  addrs,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns}},
	}
}

// Send implements load.Sender. It sends the arrival as one request to the next
// runner and makes no second attempt.
func (s *Sender) Send(ctx context.Context, a arrival.Arrival) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, a.Deadline)
	defer cancel()
	o := outcome.New(a)
	o.Attempts = 1
	addr := s.addrs[s.next.Add(1)%uint64(len(s.addrs))]
	reply, err := s.call(ctx, addr, target.Call{
		ID: a.Team + "/" + a.ID, Team: a.Team, Kind: a.Kind, TimeLeft: span.Of(a.Deadline),
		Input: json.RawMessage(fmt.Sprintf(`{"run":%q}`, a.RunTime)),
	})
	switch {
	case err != nil:
		o.State, o.Ran, o.Detail = outcome.Open, api.RanUnknown, err.Error()
	case reply.ID != a.Team+"/"+a.ID:
		o.State = outcome.Wrong
	case reply.Refused != "":
		o.State, o.Reason, o.Ran = outcome.Refused, api.ReasonTargets, api.RanNot
	case reply.Error != "":
		o.State, o.Reason, o.Ran = outcome.Failed, api.ReasonTask, api.RanYes
	default:
		o.State = outcome.Complete
	}
	return o
}

// call makes one call to the runner at addr.
func (s *Sender) call(ctx context.Context, addr string, call target.Call) (target.Reply, error) {
	var reply target.Reply
	data, err := json.Marshal(call)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/run", bytes.NewReader(data))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	return reply, json.NewDecoder(resp.Body).Decode(&reply)
}
