package faults_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/span"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// startRecord records one start of a task or request on a target.
type startRecord struct {
	target string
	id     string
	at     time.Time
}

// fleet is a fake of all workers and runners that can show faults. It records what
// they start.
type fleet struct {
	mutex    sync.Mutex
	records  []startRecord
	tasks    map[string]*workerTask // by address of the worker and id of the task
	order    int64                  // sequence number of the last outcome
	isolated bool                   // other data centres cannot reach the targets
	dead     map[string]bool        // targets that refuse connections
	hung     map[string]bool        // targets that accept calls and never respond
	hook     func(what, id string)
}

// workerTask is a task that was started on a worker.
type workerTask struct {
	worker string
	holder string
	mark   target.TaskState
	order  int64 // sequence number of its outcome; zero while running
}

const (
	oneWayDelay = time.Millisecond       // network delay to a target and back, each
	runTime     = 200 * time.Millisecond // run time of every task and request
)

func newFleet() *fleet {
	return &fleet{tasks: make(map[string]*workerTask), dead: make(map[string]bool), hung: make(map[string]bool)}
}

// deliver simulates the way of a call to a target. It returns an error if the
// target refuses the connection or does not respond.
func (f *fleet) deliver(ctx context.Context, addr string) error {
	time.Sleep(oneWayDelay)
	f.mutex.Lock()
	dead, hung := f.dead[addr], f.hung[addr]
	f.mutex.Unlock()
	if dead {
		return syscall.ECONNREFUSED
	}
	if hung {
		<-ctx.Done()
		return errNoAnswer
	}
	return ctx.Err()
}

// record records a start and calls the hook.
func (f *fleet) record(addr, id string) {
	f.mutex.Lock()
	f.records = append(f.records, startRecord{target: addr, id: id, at: time.Now()})
	hook := f.hook
	f.mutex.Unlock()
	if hook != nil {
		hook("started", id)
	}
}

// starts returns the records whose ids start with prefix, in order.
func (f *fleet) starts(prefix string) []startRecord {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []startRecord
	for _, r := range f.records {
		if strings.HasPrefix(r.id, prefix) {
			list = append(list, r)
		}
	}
	return list
}

// echo returns the output of every task and request: its input, wrapped.
func echo(id string, input json.RawMessage) json.RawMessage {
	value, _ := json.Marshal(struct {
		Input json.RawMessage `json:"input"`
	}{Input: input})
	_ = id
	return value
}

func (f *fleet) start(ctx context.Context, addr string, m target.Start) (target.Started, api.RunStatus, error) {
	if err := f.deliver(ctx, addr); err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return target.Started{}, api.RanNot, err
		}
		return target.Started{}, api.RanUnknown, err
	}
	var got target.Started
	for _, w := range m.Tasks {
		f.record(addr, w.ID)
		f.mutex.Lock()
		t := &workerTask{worker: addr, holder: m.Holder, mark: target.TaskState{ID: w.ID, Phase: target.Running}}
		f.tasks[addr+"|"+w.ID] = t
		f.mutex.Unlock()
		time.AfterFunc(runTime, func() {
			f.finish(t, target.TaskState{ID: w.ID, Phase: target.Done, Output: echo(w.ID, w.Input), RunTime: span.Of(runTime)})
		})
		got.Tasks = append(got.Tasks, target.TaskState{ID: w.ID, Phase: target.Running})
	}
	time.Sleep(oneWayDelay)
	if ctx.Err() != nil {
		return target.Started{}, api.RanUnknown, ctx.Err()
	}
	return got, api.RanYes, nil
}

// finish sets the outcome of a task unless it has one already.
func (f *fleet) finish(t *workerTask, mark target.TaskState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if t.mark.Phase == target.Running {
		t.mark = mark
		f.order++
		t.order = f.order
	}
}

// watch waits for outcomes after m.After, for at most m.Wait.
func (f *fleet) watch(ctx context.Context, addr string, m target.Watch) (target.Outcomes, error) {
	for end := time.Now().Add(m.Wait.Duration()); ; {
		if err := f.deliver(ctx, addr); err != nil {
			return target.Outcomes{}, err
		}
		seen := f.newOutcomes(addr, m)
		if len(seen.Tasks) > 0 || !time.Now().Before(end) {
			time.Sleep(oneWayDelay)
			return seen, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newOutcomes returns the outcomes after m.After of the holder's tasks.
func (f *fleet) newOutcomes(addr string, m target.Watch) target.Outcomes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := target.Outcomes{Next: m.After}
	for _, t := range f.tasks {
		if t.worker == addr && t.holder == m.Holder && t.order > m.After {
			seen.Tasks = append(seen.Tasks, t.mark)
			seen.Next = max(seen.Next, t.order)
		}
	}
	return seen
}

func (f *fleet) adopt(ctx context.Context, addr string, m target.Adopt) (target.TaskStates, error) {
	if err := f.deliver(ctx, addr); err != nil {
		return target.TaskStates{}, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var got target.TaskStates
	for _, id := range m.IDs {
		mark := target.TaskState{ID: id, Phase: target.Unknown}
		if t := f.tasks[addr+"|"+id]; t != nil {
			t.holder = m.Holder
			mark = t.mark
		}
		got.Tasks = append(got.Tasks, mark)
	}
	return got, nil
}

func (f *fleet) stop(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, error) {
	if err := f.deliver(ctx, addr); err != nil {
		return target.TaskStates{}, err
	}
	var got target.TaskStates
	for _, id := range m.IDs {
		f.mutex.Lock()
		t := f.tasks[addr+"|"+id]
		f.mutex.Unlock()
		if t != nil {
			f.finish(t, target.TaskState{ID: id, Phase: target.Stopped, Reason: "stopped"})
			got.Tasks = append(got.Tasks, t.mark)
		}
	}
	return got, nil
}

func (f *fleet) call(ctx context.Context, addr string, c target.Call) targetclient.Outcome {
	if err := f.deliver(ctx, addr); err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return targetclient.Outcome{Ran: api.RanNot, Err: "connection refused", Unreachable: true}
		}
		return targetclient.Outcome{Ran: api.RanUnknown, Err: err.Error()}
	}
	f.record(addr, c.ID)
	time.Sleep(runTime)
	if err := f.deliver(ctx, addr); err != nil {
		return targetclient.Outcome{Ran: api.RanUnknown, Err: err.Error()}
	}
	return targetclient.Outcome{Ran: api.RanYes, Reply: target.Reply{ID: c.ID, Output: echo(c.ID, c.Input)}}
}

// targetClient gives one instance access to the targets. Its calls depend on the
// state and the links of the instance.
type targetClient struct {
	fleet  *fleet
	state  *instanceState
	centre string
}

// awaitSend waits until the instance can send a call to the targets. While they are
// isolated, instances of other data centres cannot.
func (w targetClient) awaitSend(ctx context.Context) error {
	w.fleet.mutex.Lock()
	isolated := w.fleet.isolated && w.centre != centre
	w.fleet.mutex.Unlock()
	if isolated {
		<-ctx.Done()
		return errNoAnswer
	}
	return w.state.awaitSend(ctx, linkTargets)
}

func (w targetClient) Start(ctx context.Context, addr string, m target.Start) (target.Started, api.RunStatus, error) {
	if err := w.awaitSend(ctx); err != nil {
		return target.Started{}, api.RanNot, err
	}
	got, ran, err := w.fleet.start(ctx, addr, m)
	if err := w.state.awaitReceive(ctx, linkTargets, err); err != nil {
		if ran == api.RanYes {
			ran = api.RanUnknown
		}
		return target.Started{}, ran, err
	}
	return got, ran, nil
}

func (w targetClient) Watch(ctx context.Context, addr string, m target.Watch) (target.Outcomes, api.RunStatus, error) {
	if err := w.awaitSend(ctx); err != nil {
		return target.Outcomes{}, api.RanNot, err
	}
	got, err := w.fleet.watch(ctx, addr, m)
	return got, api.RanUnknown, w.state.awaitReceive(ctx, linkTargets, err)
}

func (w targetClient) Adopt(ctx context.Context, addr string, m target.Adopt) (target.TaskStates, api.RunStatus, error) {
	if err := w.awaitSend(ctx); err != nil {
		return target.TaskStates{}, api.RanNot, err
	}
	got, err := w.fleet.adopt(ctx, addr, m)
	return got, api.RanUnknown, w.state.awaitReceive(ctx, linkTargets, err)
}

func (w targetClient) Stop(ctx context.Context, addr string, m target.TaskIDs) (target.TaskStates, api.RunStatus, error) {
	if err := w.awaitSend(ctx); err != nil {
		return target.TaskStates{}, api.RanNot, err
	}
	got, err := w.fleet.stop(ctx, addr, m)
	return got, api.RanUnknown, w.state.awaitReceive(ctx, linkTargets, err)
}

func (w targetClient) Run(ctx context.Context, addr string, c target.Call) targetclient.Outcome {
	if err := w.awaitSend(ctx); err != nil {
		return targetclient.Outcome{Ran: api.RanNot, Err: err.Error()}
	}
	o := w.fleet.call(ctx, addr, c)
	if err := w.state.awaitReceive(ctx, linkTargets, nil); err != nil {
		return targetclient.Outcome{Ran: api.RanUnknown, Err: err.Error()}
	}
	return o
}
