package forward

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/admit"
	"gypsumward/core/admit/shares"
	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/dial"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/retry"
	"gypsumward/core/spill"
	"gypsumward/core/table"
	"gypsumward/core/target"
)

// Defaults of Settings.
const (
	DefaultOpen    = 8192
	DefaultKeep    = time.Minute
	DefaultStore   = 2 * time.Second
	DefaultHang    = 10.0
	DefaultLeast   = time.Second
	DefaultPoll    = 200 * time.Millisecond
	DefaultAttempt = 4
	DefaultMargin  = 1.5
)

const (
	inboxSize    = 1024
	tickEvery    = 20 * time.Millisecond
	expectedTime = 0.2 // seconds, of a request whose kind is not known yet
)

// Settings bounds a Forwarder. Zero values mean the defaults.
type Settings struct {
	Open    int           // requests held at a time, answered ones included
	Keep    time.Duration // for which answers of requests with an id are kept in memory
	Store   time.Duration // longest wait for a claim
	Hang    float64       // a repeatable call is given up after this many times its expected time
	Least   time.Duration // but not before this
	Poll    time.Duration // between reads of a row that another instance owns
	Attempt int           // sends of one request at most
	Margin  float64       // a request is sent only if this many expected run times are left to its deadline
}

// Committer writes rows durably; see package commit.
type Committer interface {
	Submit(ch commit.Change) <-chan commit.Outcome
	Down() bool
}

// Reader reads rows of the platform's table.
type Reader interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// Runners reaches runners by address.
type Runners interface {
	Run(ctx context.Context, addr string, c target.Call) dial.Outcome
}

// Peers reaches the other entry instances.
type Peers interface {
	// Request asks an instance for the answer to a request that it holds, for at
	// most wait. It reports false if the instance does not hold it.
	Request(ctx context.Context, instance string, k api.Key, wait time.Duration) (api.Answer, bool, error)
}

// Journal takes the events of the time line.
type Journal interface {
	Add(e event.Event)
}

// Forwarder serves the requests of one entry instance. Its exported fields are
// set before Run; Journal may be nil.
type Forwarder struct {
	ID       string // instance, as name@incarnation
	Centre   string // data centre
	Commit   Committer
	Table    Reader
	Objects  claim.Objects
	Runners  Runners
	Peers    Peers
	Sharing  Sharing
	Centres  Centres
	Journal  Journal
	Clock    clockwork.Clock
	Nonce    func() string
	Settings Settings
	Size     float64 // weight beside the other instances; zero means 1

	Gate    *admit.Gate // of Queue
	Queue   *fair.Queue[*call]
	Chooser *choose.Chooser
	Budget  *retry.Budget // of the teams without one of their own

	inbox   chan message
	closed  chan struct{}
	calls   map[api.Key]*call // those with an id
	told    []*call           // answered, oldest first
	open    int               // calls not answered yet
	addrs   map[string]string // of runners by id
	budgets map[string]teamBudget
	bases   map[string]base // what the settings say of teams
	hedges  map[string]teamHedges
	hedged  atomic.Int64 // second attempts
	wasted  atomic.Int64 // attempts that came to nothing
	shares  *shares.Shares
	spill   *spill.Spill
	room    spill.Own     // of the own runners, at the last tick
	sent    atomic.Int64  // requests handed to other data centres
	taken   atomic.Int64  // requests of other data centres
	serial  int64         // of requests without an id
	drain   chan struct{} // closed once no call is open; nil while not draining
	writing atomic.Int64  // outcomes being recorded
	length  atomic.Int64  // of the queue, after the last dispatch
	hasty   int           // requests found too late to be sent

	instances int     // of the data centre
	weight    float64 // of this one, as told by Divide
	slots     int     // of the runners that are not leaving
}

// message is handled by the loop.
type message interface {
	apply(f *Forwarder)
}

// New returns a Forwarder with a queue, a chooser and a retry budget. The queue
// refuses early what would miss its deadline, whatever the Gate of q is.
func New(q fair.Settings, c choose.Settings, b retry.Settings) *Forwarder {
	gate := admit.New(admit.Settings{})
	q.Gate = gate
	return &Forwarder{
		Gate:    gate,
		Queue:   fair.New[*call](q),
		Chooser: choose.New(c),
		Budget:  retry.New(b),
		inbox:   make(chan message, inboxSize),
		closed:  make(chan struct{}),
		calls:   make(map[api.Key]*call),
		addrs:   make(map[string]string),
		budgets: make(map[string]teamBudget),
		bases:   make(map[string]base),
		spill:   spill.New(spill.Settings{}),
	}
}

// Run handles messages until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	f.Settings = f.Settings.withDefaults()
	f.shares = shares.New(f.ID, shares.Settings{Size: f.Size})
	defer close(f.closed)
	ticker := f.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.inbox:
			m.apply(f)
		case <-ticker.Chan():
			f.tick()
		}
		f.dispatch()
		f.length.Store(int64(f.Queue.Len()))
	}
}

// Waiting returns the number of requests that wait for a runner.
func (f *Forwarder) Waiting() int {
	return int(f.length.Load())
}

// Divide tells the forwarder how many instances of the data centre share its
// runners, and the weight of this one among them.
func (f *Forwarder) Divide(instances int, weight float64) {
	f.post(divided{instances: instances, weight: weight})
}

// divided is a new number of instances.
type divided struct {
	instances int
	weight    float64
}

func (m divided) apply(f *Forwarder) {
	changed := m.instances != f.instances || m.weight != f.weight
	f.instances, f.weight = m.instances, m.weight
	if changed || f.Sharing == nil {
		f.Chooser.Divide(m.instances, m.weight)
	}
}

func (f *Forwarder) post(m message) bool {
	select {
	case f.inbox <- m:
		return true
	case <-f.closed:
		return false
	}
}

func (f *Forwarder) note(what event.What, c *call, target, detail string) {
	if f.Journal != nil {
		f.Journal.Add(event.Event{What: what, Team: c.key.Team, Request: c.key.ID, Target: target, Detail: detail})
	}
}

// tick answers requests past their deadline and forgets old answers.
func (f *Forwarder) tick() {
	now := f.Clock.Now()
	f.share(now)
	f.spillOver(now)
	for _, it := range f.Queue.Expire(now) {
		c := it.Work
		if c.stage != queued {
			continue
		}
		reason := api.ReasonDeadline
		if it.Reason == api.ReasonFull {
			reason = api.ReasonFull
		}
		f.refuse(c, refusal(reason, "the request left the queue before it could be sent", c.ran))
	}
	for len(f.told) > 0 && now.Sub(f.told[0].ended) > f.Settings.Keep {
		f.forget()
	}
}

// forget drops the oldest answer.
func (f *Forwarder) forget() {
	c := f.told[0]
	f.told[0] = nil
	f.told = f.told[1:]
	if f.calls[c.key] == c {
		delete(f.calls, c.key)
	}
}

// Members tells the forwarder the runners of its data centre.
func (f *Forwarder) Members(members []table.Member) {
	f.post(listed{members: members})
}

// listed is a new list of runners.
type listed struct {
	members []table.Member
}

func (m listed) apply(f *Forwarder) {
	var list []choose.Runner
	f.addrs = make(map[string]string)
	f.slots = 0
	for _, member := range m.members {
		if member.Kind != table.Runner || member.Centre != f.Centre {
			continue
		}
		f.addrs[member.ID] = member.Addr
		if !member.Leaving {
			f.slots += member.Slots
		}
		list = append(list, choose.Runner{
			ID: member.ID, Slots: member.Slots, Conns: member.Conns, Leaving: member.Leaving,
		})
	}
	f.Chooser.Set(f.Clock.Now(), list)
}

func (s Settings) withDefaults() Settings {
	s.Open = cmp.Or(s.Open, DefaultOpen)
	s.Keep = cmp.Or(s.Keep, DefaultKeep)
	s.Store = cmp.Or(s.Store, DefaultStore)
	s.Hang = cmp.Or(s.Hang, DefaultHang)
	s.Least = cmp.Or(s.Least, DefaultLeast)
	s.Poll = cmp.Or(s.Poll, DefaultPoll)
	s.Attempt = cmp.Or(s.Attempt, DefaultAttempt)
	s.Margin = cmp.Or(s.Margin, DefaultMargin)
	return s
}

// row returns the first claim row of c.
func (f *Forwarder) row(c *call) claim.Row {
	return claim.Row{
		Key: claim.RequestKey(c.key), Owner: f.ID, Centre: f.Centre, Epoch: 1, Nonce: f.Nonce(),
		Digest: c.digest, State: api.Open, Tasks: 1, Mark: 1, Since: c.accepted.UnixMilli(), Until: c.deadline.UnixMilli(),
	}
}
