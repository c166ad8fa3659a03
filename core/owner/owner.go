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
	DefaultJobs     = 4096
	DefaultBytes    = 128 << 20
	DefaultLease    = 15 * time.Second
	DefaultWatch    = time.Second
	DefaultPatience = 4 * time.Second
	DefaultSilence  = 12 * time.Second
	DefaultCall     = time.Second
	DefaultPoll     = 250 * time.Millisecond
	DefaultKeep     = time.Minute
	DefaultBatch    = 64
)

const (
	inboxSize = 1024
	tickEvery = 50 * time.Millisecond
)

// Settings bounds an Owner. Zero values mean the defaults.
type Settings struct {
	Jobs     int           // jobs held at a time
	Bytes    int           // of their bodies and outputs
	Ahead    int           // tasks marked beyond those that a worker has room for; none by default
	Lease    time.Duration // of tasks on workers
	Watch    time.Duration // longest wait of one watch call
	Patience time.Duration // after which the tasks of a worker that refuses connections are lost
	Silence  time.Duration // after which those of a worker that does not answer are; below Lease
	Call     time.Duration // timeout of one start, adopt or stop call
	Poll     time.Duration // between reads of a row that another instance owns
	Keep     time.Duration // for which final answers are kept in memory
	Batch    int           // tasks in one start call
}

// Committer writes rows durably; see package commit.
type Committer interface {
	Submit(ch commit.Change) <-chan commit.Outcome
	Down() bool
}

// Reader reads rows of the platform's table.
type Reader interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Workers reaches workers by address. Start says whether the tasks of a call
// without answer may have started.
type Workers interface {
	Start(ctx context.Context, addr string, s target.Start) (target.Started, api.Ran, error)
	Watch(ctx context.Context, addr string, w target.Watch) (target.Seen, api.Ran, error)
	Adopt(ctx context.Context, addr string, a target.Adopt) (target.Adopted, api.Ran, error)
	Stop(ctx context.Context, addr string, s target.Stop) (target.Adopted, api.Ran, error)
}

// Peers reaches the other entry instances.
type Peers interface {
	// Wait asks an instance for the answer to a job that it owns, for at most
	// wait. It reports false if the instance does not own the job.
	Wait(ctx context.Context, instance string, k api.Key, wait time.Duration) (api.Answer, bool, error)
	// Cancel asks an instance to cancel a job that it owns.
	Cancel(ctx context.Context, instance string, k api.Key, task string) (api.Answer, bool, error)
	// Offer tells another instance of the data centre that jobs were released.
	Offer(ctx context.Context) error
}

// Journal takes the events of the time line.
type Journal interface {
	Add(e event.Event)
}

// Owner runs the jobs of one entry instance. Its exported fields are set before
// Run; Journal may be nil.
type Owner struct {
	ID       string // instance, as name@incarnation
	Centre   string // data centre
	Commit   Committer
	Table    Reader
	Objects  claim.Objects
	Workers  Workers
	Peers    Peers
	Journal  Journal
	Clock    clockwork.Clock
	Nonce    func() string // returns a text never returned before by any instance
	Settings Settings

	Queue  *fair.Queue[Ref]
	Placer *place.Placer

	inbox   chan message
	closed  chan struct{}
	jobs    map[api.Key]*job
	workers map[string]*worker
	bytes   int
	drain   *drain
	wanting map[*job]bool    // jobs with held tasks above the mark
	touched map[*worker]bool // workers with tasks to send
	length  atomic.Int64     // of the queue, after the last dispatch
}

// Ref names one queued task.
type Ref struct {
	Key  api.Key
	Task int
}

// message is handled by the loop.
type message interface {
	apply(o *Owner)
}

// New returns an Owner without its exported fields, but for the queue and the
// placer with their defaults.
func New(q *fair.Queue[Ref], p *place.Placer) *Owner {
	return &Owner{
		Queue:   q,
		Placer:  p,
		inbox:   make(chan message, inboxSize),
		closed:  make(chan struct{}),
		jobs:    make(map[api.Key]*job),
		workers: make(map[string]*worker),
		wanting: make(map[*job]bool),
		touched: make(map[*worker]bool),
	}
}

// Run handles messages until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.Settings = o.Settings.withDefaults()
	defer close(o.closed)
	ticker := o.Clock.NewTicker(tickEvery)
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
		o.length.Store(int64(o.Queue.Len()))
	}
}

// Waiting returns the number of tasks that wait for a worker.
func (o *Owner) Waiting() int {
	return int(o.length.Load())
}

// Divide tells the owner how many instances of the data centre share its
// workers, and the weight of this one among them.
func (o *Owner) Divide(instances int, weight float64) {
	o.post(divided{instances: instances, weight: weight})
}

// divided is a new number of instances.
type divided struct {
	instances int
	weight    float64
}

func (m divided) apply(o *Owner) {
	o.Placer.Divide(m.instances, m.weight)
}

// drainInbox applies the messages that wait already, so that one dispatch serves
// them all.
func (o *Owner) drainInbox() {
	for range inboxSize {
		select {
		case m := <-o.inbox:
			m.apply(o)
		default:
			return
		}
	}
}

// post hands m to the loop. It reports false once the loop has ended.
func (o *Owner) post(m message) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.closed:
		return false
	}
}

// note adds an event of a job to the time line.
func (o *Owner) note(what event.What, k api.Key, detail string) {
	if o.Journal != nil {
		o.Journal.Add(event.Event{What: what, Team: k.Team, Job: k.ID, Detail: detail})
	}
}

// noteTask adds an event of a task to the time line.
func (o *Owner) noteTask(what event.What, ref Ref, target, detail string) {
	j := o.jobs[ref.Key]
	if o.Journal == nil || j == nil || ref.Task >= len(j.spec.Tasks) {
		return
	}
	o.Journal.Add(event.Event{
		What: what, Team: ref.Key.Team, Job: ref.Key.ID, Task: j.spec.Tasks[ref.Task].Name,
		Target: target, Detail: detail,
	})
}

// tick fails jobs past their deadline, gives up on silent workers and forgets
// old answers.
func (o *Owner) tick() {
	now := o.Clock.Now()
	for _, it := range o.Queue.Expire(now) {
		if j := o.jobs[it.Work.Key]; j != nil {
			j.tasks[it.Work.Task].phase = waiting
			j.short = true
		}
	}
	for _, j := range o.jobs {
		o.tickJob(j, now)
	}
	for _, w := range o.workers {
		silent := now.Sub(w.heard)
		switch {
		case w.count() == 0:
		case silent > o.Settings.Silence || w.refusing && silent > o.Settings.Patience:
			o.lose(w)
		case now.Sub(w.asked) > o.Settings.Patience:
			o.recheck(w, now)
		}
	}
}

// tickJob does what is due for one job.
func (o *Owner) tickJob(j *job, now time.Time) {
	switch j.stage {
	case told:
		if now.Sub(j.ended) > o.Settings.Keep {
			o.forget(j.key, j)
		}
	case running:
		if now.After(j.deadline) {
			o.fail(j, api.ReasonDeadline, "the deadline passed before all tasks were done")
		} else if j.held > 0 && o.Commit.Down() {
			o.unholdAll(j)
		} else if j.short {
			o.enqueue(j, 0)
		}
	case ending, releasing:
		if now.After(j.giveUp) {
			o.giveUp(j)
		}
	default:
	}
}

func (o *Owner) forget(k api.Key, j *job) {
	o.bytes -= j.bytes
	delete(o.jobs, k)
}

func (s Settings) withDefaults() Settings {
	s.Jobs = cmp.Or(s.Jobs, DefaultJobs)
	s.Bytes = cmp.Or(s.Bytes, DefaultBytes)
	s.Lease = cmp.Or(s.Lease, DefaultLease)
	s.Watch = cmp.Or(s.Watch, DefaultWatch)
	s.Patience = cmp.Or(s.Patience, DefaultPatience)
	s.Silence = cmp.Or(s.Silence, DefaultSilence)
	s.Call = cmp.Or(s.Call, DefaultCall)
	s.Poll = cmp.Or(s.Poll, DefaultPoll)
	s.Keep = cmp.Or(s.Keep, DefaultKeep)
	s.Batch = cmp.Or(s.Batch, DefaultBatch)
	return s
}

// lease returns the lease of tasks as a message carries it.
func (o *Owner) lease() span.Span {
	return span.Of(o.Settings.Lease)
}
