package faults_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/claim"
	"gypsumward/core/span"
)

const (
	faultDuration = 10 * time.Second // duration of faults that end by themselves
	horizon       = 90 * time.Second // simulated time by which all work must have ended
)

// callerReply is the reply that one caller got.
type callerReply struct {
	receivedAt time.Time
	instance   string // name of the instance that was called
	answer     *api.Answer
	refusal    *api.Refusal
	id         string // id of the job or request
	isCancel   bool   // the call was a cancel, not a submission
}

// driver calls the instances of a simulation in place of the callers and records
// their replies.
type driver struct {
	sim         *simulation
	mutex       sync.Mutex
	replies     []callerReply
	submissions map[string]int // number of submissions by id of the job or request
	startedAt   time.Time
	group       sync.WaitGroup
	job         api.Job
	request     api.Request
}

// scenario is a sequence of steps at which faults are injected.
type scenario struct {
	name     string
	steps    []step
	start    func(d *driver)          // submits at the first instance
	resubmit func(d *driver, i int)   // submits the same work at instance i
	cancel   func(d *driver, i int)   // cancels at instance i
	check    func(d *driver) []string // returns the guarantees that were broken
}

// step is a point in a scenario, marked by an event in the journal of an instance
// or by an event of a fake.
type step struct {
	name   string
	source string // name of the instance; empty for fakes and replies
	event  string
}

// newDriver returns a driver with a job of 6 tasks and a request.
func newDriver(sim *simulation) *driver {
	d := &driver{sim: sim, submissions: make(map[string]int)}
	d.job = api.Job{Team: "crew", ID: "j1", Deadline: span.Of(time.Minute)}
	for i := range 6 {
		input, _ := json.Marshal(i)
		d.job.Tasks = append(d.job.Tasks, api.Task{Name: fmt.Sprintf("t%d", i), Kind: "price", Input: input, Cores: 1})
	}
	if r := check.Job(&d.job); r != nil {
		panic(r.Error())
	}
	d.request = api.Request{Team: "crew", ID: "q1", Kind: "slot", Input: json.RawMessage(`7`), Deadline: span.Of(30 * time.Second)}
	return d
}

// callAsync calls instance i in the background, in place of a caller, and records
// the reply. If the instance was killed, the caller gets no reply.
func (d *driver) callAsync(i int, id string, isCancel bool, call func(ctx context.Context, in *instance) (*api.Answer, *api.Refusal)) {
	in := d.sim.instances[i]
	if !isCancel {
		d.mutex.Lock()
		d.submissions[id]++
		d.mutex.Unlock()
	}
	in.callers.Add(1)
	d.group.Go(func() {
		defer in.callers.Add(-1)
		ctx, end := context.WithTimeout(context.Background(), horizon-10*time.Second)
		defer end()
		if in.state.awaitThaw(ctx) != nil {
			return
		}
		a, r := call(ctx, in)
		if errors.Is(in.state.awaitThaw(ctx), errKilled) {
			return
		}
		d.mutex.Lock()
		d.replies = append(d.replies, callerReply{receivedAt: time.Now(), instance: in.name, answer: a, refusal: r, id: id, isCancel: isCancel})
		d.mutex.Unlock()
		d.sim.reportStep("", "told")
	})
}

// submit submits the job at instance i.
func (d *driver) submit(i int) {
	job := d.job
	d.callAsync(i, job.ID, false, func(ctx context.Context, in *instance) (*api.Answer, *api.Refusal) {
		return in.owner.Submit(ctx, job)
	})
}

// sendRequest sends the request to instance i.
func (d *driver) sendRequest(i int) {
	d.callAsync(i, d.request.ID, false, func(ctx context.Context, in *instance) (*api.Answer, *api.Refusal) {
		return in.forward.Send(ctx, d.request)
	})
}

// jobScenario returns the scenario of a job.
func jobScenario() scenario {
	return scenario{
		name: "job",
		steps: []step{
			{"received", "a@1", "received"},
			{"claim applied, answer on its way", "", "applied job"},
			{"claimed", "a@1", "claimed"},
			{"start sent", "a@1", "sent"},
			{"task started, answer on its way", "", "started"},
			{"mark raised", "a@1", "marked"},
			{"first task done", "a@1", "done"},
			{"all tasks done", "a@1", "finished"},
			{"final row on its way", "a@1", "recording"},
			{"final row written", "a@1", "recorded"},
			{"answer told", "", "told"},
		},
		start:    func(d *driver) { d.submit(0) },
		resubmit: func(d *driver, i int) { d.submit(i) },
		cancel: func(d *driver, i int) {
			d.callAsync(i, d.job.ID, true, func(ctx context.Context, in *instance) (*api.Answer, *api.Refusal) {
				return in.owner.Cancel(ctx, api.Key{Team: d.job.Team, ID: d.job.ID}, "")
			})
		},
		check: checkJob,
	}
}

// requestScenario returns the scenario of a request.
func requestScenario(repeatable bool) scenario {
	s := scenario{
		name: "request, not repeatable",
		steps: []step{
			{"received", "a@1", "received"},
			{"claim applied, answer on its way", "", "applied request"},
			{"sent", "a@1", "sent"},
			{"started, answer on its way", "", "started"},
			{"answered", "a@1", "done"},
			{"answer told", "", "told"},
		},
		start:    func(d *driver) { d.request.Repeatable = repeatable; d.sendRequest(0) },
		resubmit: func(d *driver, i int) { d.sendRequest(i) },
		cancel: func(d *driver, i int) {
			d.callAsync(i, d.request.ID, true, func(ctx context.Context, in *instance) (*api.Answer, *api.Refusal) {
				return in.forward.Cancel(ctx, api.Key{Team: d.request.Team, ID: d.request.ID})
			})
		},
		check: checkRequest,
	}
	if repeatable {
		s.name = "request, repeatable"
	}
	return s
}

// shutdownScenario returns the scenario of a planned shutdown of the instance that
// owns a job.
func shutdownScenario() scenario {
	s := jobScenario()
	s.name = "shutdown"
	s.steps = []step{
		{"shutdown begun", "a@1", "stopping"},
		{"release applied, answer on its way", "", "applied open"},
		{"released", "a@1", "handed"},
		{"taken by another", "b@1", "taken"},
		{"answer told", "", "told"},
	}
	s.start = func(d *driver) {
		d.submit(0)
		time.AfterFunc(150*time.Millisecond, d.sim.instances[0].terminate)
	}
	return s
}

// checkJob checks the tasks, the row and the replies of the job and returns the
// guarantees that were broken.
func checkJob(d *driver) []string {
	var violations []string
	count := make(map[string]int)
	var last time.Time
	starts := d.sim.fleet.starts(d.job.Team + "/" + d.job.ID + "/")
	for _, r := range starts {
		count[r.id]++
		last = r.at
		if count[r.id] == 2 {
			violations = append(violations, "task "+r.id+" started twice")
		}
	}
	row, found := d.sim.jobRow(d.job)
	if found && !row.Final() {
		violations = append(violations, fmt.Sprintf("the job is neither complete nor failed: owner %s, mark %d", row.Owner, row.Mark))
	}
	if !found && len(starts) > 0 {
		violations = append(violations, "tasks started without a claim")
	}
	if d.allNotRun(d.job.ID) && len(starts) > 0 {
		violations = append(violations, "all replies say not run, but tasks started")
	}
	return append(violations, d.checkReplies(found, last, len(count))...)
}

// allNotRun reports whether every submission got a reply and all replies say that
// nothing ran.
func (d *driver) allNotRun(id string) bool {
	replied := 0
	for _, reply := range d.repliesTo(id) {
		if reply.isCancel && reply.refusal != nil {
			continue // a cancel that arrives before the submission finds nothing
		}
		if !reply.isCancel {
			replied++
		}
		if reply.refusal == nil || reply.refusal.Ran != api.RanNot {
			return false
		}
	}
	return replied > 0 && d.submissions[id] == replied
}

// repliesTo returns the replies for the job or request of the given id.
func (d *driver) repliesTo(id string) []callerReply {
	var list []callerReply
	for _, reply := range d.replies {
		if reply.id == id {
			list = append(list, reply)
		}
	}
	return list
}

// checkReplies compares the final answers in the replies with each other and with
// the rest of the simulation: whether the job's row was found, the time of the last
// start of a task and the number of tasks started.
func (d *driver) checkReplies(found bool, last time.Time, started int) []string {
	var violations []string
	var final *api.Answer
	for _, reply := range d.repliesTo(d.job.ID) {
		if reply.answer == nil || !reply.answer.Final() {
			continue
		}
		if final != nil && answerJSON(*final) != answerJSON(*reply.answer) {
			violations = append(violations, "two answers: "+answerJSON(*final)+" and "+answerJSON(*reply.answer))
		}
		final = reply.answer
		if !found {
			violations = append(violations, "a final answer is not durable")
		}
		if reply.answer.Reason == api.ReasonCancelled && reply.answer.Ran != api.RanUnknown && last.After(reply.receivedAt) {
			violations = append(violations, "a task started after the cancel was confirmed")
		}
	}
	if final != nil {
		violations = append(violations, d.checkAnswer(*final, started)...)
	}
	return violations
}

// checkAnswer compares a final answer of the job with the number of tasks started.
func (d *driver) checkAnswer(a api.Answer, started int) []string {
	var violations []string
	switch {
	case a.State == api.StateFailed && a.Ran == api.RanNot && started > 0:
		violations = append(violations, "failed as not run, but tasks started")
	case a.State == api.StateFailed && a.Ran == api.RanYes && started == 0:
		violations = append(violations, "failed as ran, but no task started")
	case a.State == api.StateComplete && (started != len(d.job.Tasks) || len(a.Results) != len(d.job.Tasks)):
		violations = append(violations, "complete without all tasks")
	case a.State == api.StateComplete:
		for i, r := range a.Results {
			if string(r.Output) != string(echo("", d.job.Tasks[i].Input)) || r.Name != d.job.Tasks[i].Name {
				violations = append(violations, "the answer of another task: "+answerJSON(a))
			}
		}
	}
	return violations
}

// checkRequest checks the runs and the replies of the request and returns the
// guarantees that were broken.
func checkRequest(d *driver) []string {
	var violations []string
	starts := 0
	seen := make(map[string]bool)
	for _, r := range d.sim.fleet.starts(d.request.Team + "/" + d.request.ID + "/") {
		starts++
		if seen[r.id] {
			violations = append(violations, "attempt "+r.id+" started twice")
		}
		seen[r.id] = true
	}
	if !d.request.Repeatable && starts > 1 {
		violations = append(violations, fmt.Sprintf("not repeatable, but ran %d times", starts))
	}
	for _, reply := range d.repliesTo(d.request.ID) {
		if reply.answer != nil && reply.answer.State == api.StateComplete {
			if starts == 0 {
				violations = append(violations, "complete without a run")
			}
			if string(reply.answer.Output) != string(echo("", d.request.Input)) {
				violations = append(violations, "the answer of another request: "+answerJSON(*reply.answer))
			}
		}
	}
	if d.allNotRun(d.request.ID) && starts > 0 {
		violations = append(violations, "all replies say not run, but it ran")
	}
	return violations
}

// jobRow reads the row of a job directly from the platform, without its faults.
func (sim *simulation) jobRow(j api.Job) (claim.Row, bool) {
	sim.platform.mutex.Lock()
	defer sim.platform.mutex.Unlock()
	stored, ok := sim.platform.rows[claim.JobKey(api.Key{Team: j.Team, ID: j.ID})]
	if !ok {
		return claim.Row{}, false
	}
	row, err := claim.Decode(stored)
	return row, err == nil
}

// answerJSON returns a as JSON.
func answerJSON(a api.Answer) string {
	value, _ := json.Marshal(a)
	return string(value)
}
