package owner

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/place"
	"gypsumward/core/span"
	"gypsumward/core/table"
	"gypsumward/core/target"
)

// Defaults of Settings.
const (
	DefaultMaxJobs         = 4096
	DefaultMaxBytes        = 128 << 20
	DefaultTaskLease       = 15 * time.Second
	DefaultMaxWatch        = time.Second
	DefaultGracePeriod     = 4 * time.Second
	DefaultSilenceTimeout  = 12 * time.Second
	DefaultCallTimeout     = time.Second
	DefaultPollInterval    = 250 * time.Millisecond
	DefaultAnswerRetention = time.Minute
	DefaultMaxBatch        = 64
)

const (
	inboxCapacity = 1024
	tickInterval  = 50 * time.Millisecond
)

// Settings holds the limits and timing of an Owner. Zero values select the
// defaults.
type Settings struct {
	MaxJobs         int           // most jobs in memory at a time
	MaxBytes        int           // most bytes of the bodies and outputs of these jobs
	MarkAhead       int           // tasks by which the mark is raised beyond those that workers have capacity for; none by default
	TaskLease       time.Duration // lease of tasks on workers
	MaxWatch        time.Duration // longest wait of one watch call
	GracePeriod     time.Duration // time after which the tasks of a worker that refuses connections are lost, those running on others are rechecked, and start calls of an ending job are abandoned
	SilenceTimeout  time.Duration // time after which the tasks of a worker that does not respond are lost; less than TaskLease
	CallTimeout     time.Duration // timeout of one start, adopt or stop call
	PollInterval    time.Duration // time between reads of a row that another instance owns
	AnswerRetention time.Duration // time for which final answers are kept in memory
	MaxBatch        int           // most tasks in one start call
}

// Committer writes rows durably; see package commit.
type Committer interface {
	Submit(ch commit.Change) <-chan commit.Outcome
	IsDown() bool
}

// Reader reads rows from the platform's table.
type Reader interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Workers calls workers by address. If a call fails, the api.Ran result of Start
// reports whether its tasks may have started.
type Workers interface {
	Start(ctx context.Context, addr string, s target.Start) (target.Started, api.RunStatus, error)
	Watch(ctx context.Context, addr string, w target.Watch) (target.Outcomes, api.RunStatus, error)
	Adopt(ctx context.Context, addr string, a target.Adopt) (target.TaskStates, api.RunStatus, error)
	Stop(ctx context.Context, addr string, s target.TaskIDs) (target.TaskStates, api.RunStatus, error)
}

// Peers calls the other entry instances.
type Peers interface {
	// AwaitAnswer asks an instance for the answer to a job that it owns, for at most
	// wait. It reports false if the instance does not own the job.
	AwaitAnswer(ctx context.Context, instance string, k api.Key, wait time.Duration) (api.Answer, bool, error)
	// Cancel asks an instance to cancel a job that it owns.
	Cancel(ctx context.Context, instance string, k api.Key, task string) (api.Answer, bool, error)
	// NotifyReleased notifies another instance of the data centre that jobs were released.
	NotifyReleased(ctx context.Context) error
}

// Journal records the events of the time line.
type Journal interface {
	Add(e event.Event)
}

// Owner runs the jobs of one entry instance. Its exported fields must be set
// before Run is called; Journal may be nil.
type Owner struct {
	ID        string // instance, as name@incarnation
	Centre    string // data centre
	Committer Committer
	Table     Reader
	Objects   claim.ObjectStore
	Workers   Workers
	Peers     Peers
	Journal   Journal
	Clock     clockwork.Clock
	Nonce     func() string // returns a string that no instance has returned before
	Settings  Settings

	Queue  *fair.Queue[TaskRef]
	Placer *place.Placer

	inbox     chan message
	closed    chan struct{}
	jobs      map[api.Key]*job
	workers   map[string]*worker
	bytes     int
	drain     *drain
	needMark  map[*job]bool    // jobs with reserved tasks at or above the mark
	unflushed map[*worker]bool // workers with tasks in their outbox
	queueLen  atomic.Int64     // length of the queue after the last dispatch
}

// TaskRef identifies one task by its job's key and its index in the job.
type TaskRef struct {
	Key  api.Key
	Task int
}

// message is an item of the loop's inbox. Its apply method runs in the loop.
type message interface {
	apply(o *Owner)
}

// New returns an Owner with the given queue and placer. The other exported fields
// are left unset.
func New(q *fair.Queue[TaskRef], p *place.Placer) *Owner {
	return &Owner{
		Queue:     q,
		Placer:    p,
		inbox:     make(chan message, inboxCapacity),
		closed:    make(chan struct{}),
		jobs:      make(map[api.Key]*job),
		workers:   make(map[string]*worker),
		needMark:  make(map[*job]bool),
		unflushed: make(map[*worker]bool),
	}
}

// Run handles messages until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.Settings = o.Settings.withDefaults()
	defer close(o.closed)
	ticker := o.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			m.apply(o)
			o.drainInbox()
		case <-ticker.Chan():
			o.tick()
		}
		o.dispatch(ctx)
		o.queueLen.Store(int64(o.Queue.Len()))
	}
}

// QueueLen returns the number of queued tasks after the last dispatch.
func (o *Owner) QueueLen() int {
	return int(o.queueLen.Load())
}

// SetInstances sets the number of instances of the data centre that share its workers
// and the weight of this one among them.
func (o *Owner) SetInstances(instances int, weight float64) {
	o.post(divisionChanged{instances: instances, weight: weight})
}

// divisionChanged sets the number of instances and the weight of this one.
type divisionChanged struct {
	instances int
	weight    float64
}

func (m divisionChanged) apply(o *Owner) {
	o.Placer.SetInstances(m.instances, m.weight)
}

// drainInbox applies up to inboxCapacity messages that are already in the inbox,
// so that one dispatch serves them all.
func (o *Owner) drainInbox() {
	for range inboxCapacity {
		select {
		case m := <-o.inbox:
			m.apply(o)
		default:
			return
		}
	}
}

// post sends m to the loop. It reports false once the loop has ended.
func (o *Owner) post(m message) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.closed:
		return false
	}
}

// addEvent adds an event of a job to the time line.
func (o *Owner) addEvent(what event.Kind, k api.Key, detail string) {
	if o.Journal != nil {
		o.Journal.Add(event.Event{Kind: what, Team: k.Team, Job: k.ID, Detail: detail})
	}
}

// addTaskEvent adds an event of a task to the time line.
func (o *Owner) addTaskEvent(what event.Kind, ref TaskRef, target, detail string) {
	j := o.jobs[ref.Key]
	if o.Journal == nil || j == nil || ref.Task >= len(j.spec.Tasks) {
		return
	}
	o.Journal.Add(event.Event{
		Kind: what, Team: ref.Key.Team, Job: ref.Key.ID, Task: j.spec.Tasks[ref.Task].Name,
		Target: target, Detail: detail,
	})
}

// tick fails jobs past their deadline, abandons the tasks of unresponsive workers
// and forgets old answers.
func (o *Owner) tick() {
	now := o.Clock.Now()
	for _, it := range o.Queue.Expire(now) {
		if j := o.jobs[it.Payload.Key]; j != nil {
			j.tasks[it.Payload.Task].phase = unqueued
			j.hasUnqueued = true
		}
	}
	for _, j := range o.jobs {
		o.tickJob(j, now)
	}
	for _, w := range o.workers {
		silence := now.Sub(w.lastResponse)
		switch {
		case w.taskCount() == 0:
		case silence > o.Settings.SilenceTimeout || w.refusesConnections && silence > o.Settings.GracePeriod:
			o.loseWorker(w)
		case now.Sub(w.lastRecheck) > o.Settings.GracePeriod:
			o.recheckTasks(w, now)
		}
	}
}

// tickJob applies the timeouts of one job and retries what could not be queued.
func (o *Owner) tickJob(j *job, now time.Time) {
	switch j.stage {
	case resolved:
		if now.Sub(j.resolvedAt) > o.Settings.AnswerRetention {
			o.forget(j.key, j)
		}
	case running:
		if now.After(j.deadline) {
			o.fail(j, api.ReasonDeadline, "the deadline passed before all tasks were done")
		} else if j.reserved > 0 && o.Committer.IsDown() {
			o.requeueReserved(j)
		} else if j.hasUnqueued {
			o.enqueue(j, 0)
		}
	case ending, releasing:
		if now.After(j.abandonAt) {
			o.abandonStarts(j)
		}
	default:
	}
}

// forget removes j from memory. The caller passes the key of j.
func (o *Owner) forget(k api.Key, j *job) {
	o.bytes -= j.bytes
	delete(o.jobs, k)
}

func (s Settings) withDefaults() Settings {
	s.MaxJobs = cmp.Or(s.MaxJobs, DefaultMaxJobs)
	s.MaxBytes = cmp.Or(s.MaxBytes, DefaultMaxBytes)
	s.TaskLease = cmp.Or(s.TaskLease, DefaultTaskLease)
	s.MaxWatch = cmp.Or(s.MaxWatch, DefaultMaxWatch)
	s.GracePeriod = cmp.Or(s.GracePeriod, DefaultGracePeriod)
	s.SilenceTimeout = cmp.Or(s.SilenceTimeout, DefaultSilenceTimeout)
	s.CallTimeout = cmp.Or(s.CallTimeout, DefaultCallTimeout)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.AnswerRetention = cmp.Or(s.AnswerRetention, DefaultAnswerRetention)
	s.MaxBatch = cmp.Or(s.MaxBatch, DefaultMaxBatch)
	return s
}

// taskLease returns Settings.TaskLease in the form used in messages.
func (o *Owner) taskLease() span.Span {
	return span.Of(o.Settings.TaskLease)
}
