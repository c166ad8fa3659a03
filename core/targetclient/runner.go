package targetclient

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/target"
	"gypsumward/core/targetclient/once"
)

// Default values of the fields of Runner and Worker.
const (
	DefaultRunnerConns    = 16        // maximum connections to one runner
	DefaultRunnerMaxBytes = 4 << 20   // maximum bytes of one reply
	DefaultWorkerConns    = 8         // maximum connections to one worker
	DefaultWorkerMaxBytes = 128 << 20 // maximum bytes of one reply, which may cover many tasks
)

// Outcome is the result of one call to a runner.
type Outcome struct {
	Reply       target.Reply  // complete if Err is empty, else zero
	Ran         api.RunStatus // whether the call ran; RanYes only with a complete reply
	Err         string        // reason for which there is no complete reply
	Unreachable bool          // whether no connection to the runner could be established
}

// Succeeded reports whether the call ran and did not fail.
func (o Outcome) Succeeded() bool {
	return o.Err == "" && o.Ran == api.RanYes && o.Reply.Error == ""
}

// Runner is a client of runners. The zero value is ready for use. A Runner is safe
// for concurrent use and must not be copied after the first call.
type Runner struct {
	Conns       int           // maximum connections to one runner; zero means DefaultRunnerConns
	MaxBytes    int64         // maximum bytes of one reply; zero means DefaultRunnerMaxBytes
	DialTimeout time.Duration // time limit to connect; zero means once.DefaultDialTimeout

	initOnce sync.Once
	client   *once.Client
}

// Run sends c to the runner at addr, an IP address with a port, and waits for its
// reply until ctx ends.
func (r *Runner) Run(ctx context.Context, addr string, c target.Call) Outcome {
	r.initOnce.Do(r.initClient)
	body, err := json.Marshal(c)
	if err != nil {
		return Outcome{Ran: api.RanNot, Err: err.Error()}
	}
	response := r.client.Send(ctx, http.MethodPost, "http://"+addr+"/run", body)
	if response.Err != nil {
		return Outcome{Ran: ranWithoutResponse(response), Err: response.Err.Error(), Unreachable: response.Unreached()}
	}
	reply, reason := decodeReply(c.ID, response)
	if reason != "" {
		response.CloseConns()
		return Outcome{Ran: api.RanUnknown, Err: reason}
	}
	ran := api.RanYes
	if reply.Refused != "" {
		ran = api.RanNot
	}
	return Outcome{Reply: reply, Ran: ran}
}

// Close closes idle connections.
func (r *Runner) Close() {
	r.initOnce.Do(r.initClient)
	r.client.Close()
}

// initClient creates the HTTP client from the settings.
func (r *Runner) initClient() {
	s := once.Settings{Conns: r.Conns, MaxBytes: r.MaxBytes, DialTimeout: r.DialTimeout}
	if s.Conns == 0 {
		s.Conns = DefaultRunnerConns
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = DefaultRunnerMaxBytes
	}
	r.client = once.New(s)
}

// ranWithoutResponse returns whether a call without a complete response ran.
func ranWithoutResponse(response *once.Response) api.RunStatus {
	if response.MaybeSent() {
		return api.RanUnknown
	}
	return api.RanNot
}

// decodeReply returns the reply to the call with the given id, or the reason for
// which the response is not a valid reply to it.
func decodeReply(id string, response *once.Response) (target.Reply, string) {
	var reply target.Reply
	if response.Status != http.StatusOK && response.Status != http.StatusServiceUnavailable {
		return target.Reply{}, "status " + strconv.Itoa(response.Status)
	}
	if err := json.Unmarshal(response.Body, &reply); err != nil {
		return target.Reply{}, "garbled reply: " + err.Error()
	}
	if reply.ID != id {
		return target.Reply{}, "reply to another call"
	}
	refused := response.Status == http.StatusServiceUnavailable
	if refused != (reply.Refused != "") {
		return target.Reply{}, "status and reply contradict each other"
	}
	if refused && (reply.Error != "" || reply.Output != nil) {
		return target.Reply{}, "refusal with an outcome"
	}
	return reply, ""
}
