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
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/retry"
	"gypsumward/core/spill"
	"gypsumward/core/table"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// Default values of the fields of Settings.
const (
	DefaultMaxOpen       = 8192
	DefaultRetention     = time.Minute
	DefaultStoreTimeout  = 2 * time.Second
	DefaultTimeoutFactor = 10.0
	DefaultMinTimeout    = time.Second
	DefaultPollInterval  = 200 * time.Millisecond
	DefaultMaxAttempts   = 4
	DefaultMarginFactor  = 1.5
)

const (
	inboxSize    = 1024
	tickInterval = 20 * time.Millisecond
	defaultCost  = 0.2 // target seconds of a request whose kind has no estimate yet
)

// Settings holds the limits and time-outs of a Forwarder. A zero field means its
// default.
type Settings struct {
	MaxOpen       int           // maximum number of open requests, and of ended ones whose answers are kept
	Retention     time.Duration // time for which the answer to a request with an id is kept in memory
	StoreTimeout  time.Duration // time limit for one access to the store or to a peer
	TimeoutFactor float64       // time limit of an attempt of a repeatable request, in expected run times
	MinTimeout    time.Duration // lower bound of that time limit
	PollInterval  time.Duration // interval between reads of a claim row that another instance owns
	MaxAttempts   int           // maximum number of attempts of one request
	MarginFactor  float64       // minimum time to the deadline at which a request is sent, in expected run times
}

// Committer writes rows durably; see package commit. IsDown reports whether the
// store is unreachable.
type Committer interface {
	Submit(ch commit.Change) <-chan commit.Outcome
	IsDown() bool
}

// Reader reads rows of the platform's table.
type Reader interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// Runners calls runners.
type Runners interface {
	// Run sends c to the runner at addr and waits for its reply until ctx ends.
	Run(ctx context.Context, addr string, c target.Call) targetclient.Outcome
}

// Peers calls the other entry instances.
type Peers interface {
	// Request asks an instance for the answer to a request that it owns and waits
	// at most wait for it. It reports false if the instance does not own the
	// request.
	Request(ctx context.Context, instance string, k api.Key, wait time.Duration) (api.Answer, bool, error)
}

// Journal records events for the time line.
type Journal interface {
	Add(e event.Event)
}

// Forwarder serves the requests of one entry instance. Its exported fields must
// be set before Run is called. Journal, UsageSender and PeerCentres may be nil.
type Forwarder struct {
	ID           string // instance identity, in the form name@incarnation
	Centre       string // data centre
	Committer    Committer
	Table        Reader
	Objects      claim.ObjectStore
	Runners      Runners
	Peers        Peers
	UsageSender  UsageSender
	PeerCentres  PeerCentres
	Journal      Journal
	Clock        clockwork.Clock
	Nonce        func() string
	Settings     Settings
	RelativeSize float64 // relative size of this instance; zero means 1

	Gate         *admit.Gate // gate of Queue
	Queue        *fair.Queue[*call]
	Chooser      *choose.Chooser
	SharedBudget *retry.Budget // retry budget of the teams without one of their own

	inbox          chan message
	closed         chan struct{}
	calls          map[api.Key]*call // requests by key
	retained       []*call           // ended requests with an id, oldest first
	openCalls      int               // requests that have not ended
	addrs          map[string]string // addresses of the runners by id
	budgets        map[string]teamBudget
	teamWeights    map[string]teamWeight // configured weights by team
	hedges         map[string]teamHedges
	hedgesSent     atomic.Int64 // hedged attempts sent
	attemptsWasted atomic.Int64 // attempts that ended after their request
	shares         *shares.Shares
	spill          *spill.Decider
	capacity       spill.OwnState // capacity of the local runners at the last tick
	spilledOut     atomic.Int64   // requests sent to other data centres
	spilledIn      atomic.Int64   // requests accepted from other data centres
	serial         int64          // serial number of requests without an id
	drained        chan struct{}  // closed once no request is open; nil while not draining
	recording      atomic.Int64   // number of outcomes being recorded
	queueLen       atomic.Int64   // length of the queue after the last dispatch
	lateCount      int            // requests found unable to meet their deadline

	instances      int     // number of instances in the data centre
	instanceWeight float64 // weight of this instance, as set by SetInstances
	slots          int     // total slots of the runners that are not leaving
}

// message is handled by the loop, which calls apply.
type message interface {
	apply(f *Forwarder)
}

// New returns a Forwarder with a queue, a chooser and a retry budget. The Gate of
// q is replaced by one that refuses work which would miss its deadline.
func New(q fair.Settings, c choose.Settings, b retry.Settings) *Forwarder {
	gate := admit.New(admit.Settings{})
	q.Gate = gate
	return &Forwarder{
		Gate:         gate,
		Queue:        fair.New[*call](q),
		Chooser:      choose.New(c),
		SharedBudget: retry.NewBudget(b),
		inbox:        make(chan message, inboxSize),
		closed:       make(chan struct{}),
		calls:        make(map[api.Key]*call),
		addrs:        make(map[string]string),
		budgets:      make(map[string]teamBudget),
		teamWeights:  make(map[string]teamWeight),
		spill:        spill.New(spill.Settings{}),
	}
}

// Run handles messages and sends queued requests until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	f.Settings = f.Settings.withDefaults()
	f.shares = shares.New(f.ID, shares.Settings{Size: f.RelativeSize})
	defer close(f.closed)
	ticker := f.Clock.NewTicker(tickInterval)
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
		f.queueLen.Store(int64(f.Queue.Len()))
	}
}

// QueueLen returns the number of requests in the queue.
func (f *Forwarder) QueueLen() int {
	return int(f.queueLen.Load())
}

// SetInstances sets the number of instances that share the runners of the data centre
// and the weight of this instance among them.
func (f *Forwarder) SetInstances(instances int, weight float64) {
	f.post(instancesMessage{instances: instances, weight: weight})
}

// instancesMessage carries the arguments of SetInstances.
type instancesMessage struct {
	instances int
	weight    float64
}

// apply sets the part of this instance among the runners. If usage is exchanged and
// nothing has changed, the part that follows from the usage is kept.
func (m instancesMessage) apply(f *Forwarder) {
	changed := m.instances != f.instances || m.weight != f.instanceWeight
	f.instances, f.instanceWeight = m.instances, m.weight
	if changed || f.UsageSender == nil {
		f.Chooser.SetInstances(m.instances, m.weight)
	}
}

// post sends m to the loop. It reports false if the loop has ended.
func (f *Forwarder) post(m message) bool {
	select {
	case f.inbox <- m:
		return true
	case <-f.closed:
		return false
	}
}

// logEvent adds an event of c to the journal, if there is one.
func (f *Forwarder) logEvent(what event.Kind, c *call, target, detail string) {
	if f.Journal != nil {
		f.Journal.Add(event.Event{Kind: what, Team: c.key.Team, Request: c.key.ID, Target: target, Detail: detail})
	}
}

// tick exchanges usage with the other instances, spills waiting requests, refuses
// requests that are past their deadline and drops old answers.
func (f *Forwarder) tick() {
	now := f.Clock.Now()
	f.exchangeUsage(now)
	f.spillOver(now)
	for _, it := range f.Queue.Expire(now) {
		c := it.Payload
		if c.stage != stageQueued {
			continue
		}
		reason := api.ReasonDeadline
		if it.Reason == api.ReasonFull {
			reason = api.ReasonFull
		}
		f.refuse(c, refusal(reason, "the request left the queue before it could be sent", c.ran))
	}
	for len(f.retained) > 0 && now.Sub(f.retained[0].ended) > f.Settings.Retention {
		f.forgetOldest()
	}
}

// forgetOldest drops the oldest retained answer.
func (f *Forwarder) forgetOldest() {
	c := f.retained[0]
	f.retained[0] = nil
	f.retained = f.retained[1:]
	if f.calls[c.key] == c {
		delete(f.calls, c.key)
	}
}

// SetMembers sets the members of the directory. Those that are runners of the same
// data centre replace the current runners.
func (f *Forwarder) SetMembers(members []table.Member) {
	f.post(membersMessage{members: members})
}

// membersMessage carries the argument of SetMembers.
type membersMessage struct {
	members []table.Member
}

// apply replaces the runners of the chooser, their addresses and the number of slots.
func (m membersMessage) apply(f *Forwarder) {
	var runners []choose.Runner
	f.addrs = make(map[string]string)
	f.slots = 0
	for _, member := range m.members {
		if member.Kind != table.KindRunner || member.Centre != f.Centre {
			continue
		}
		f.addrs[member.ID] = member.Addr
		if !member.Leaving {
			f.slots += member.Slots
		}
		runners = append(runners, choose.Runner{
			ID: member.ID, Slots: member.Slots, Conns: member.MaxConns, Leaving: member.Leaving,
		})
	}
	f.Chooser.SetRunners(f.Clock.Now(), runners)
}

// withDefaults returns s with zero fields replaced by their defaults.
func (s Settings) withDefaults() Settings {
	s.MaxOpen = cmp.Or(s.MaxOpen, DefaultMaxOpen)
	s.Retention = cmp.Or(s.Retention, DefaultRetention)
	s.StoreTimeout = cmp.Or(s.StoreTimeout, DefaultStoreTimeout)
	s.TimeoutFactor = cmp.Or(s.TimeoutFactor, DefaultTimeoutFactor)
	s.MinTimeout = cmp.Or(s.MinTimeout, DefaultMinTimeout)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.MarginFactor = cmp.Or(s.MarginFactor, DefaultMarginFactor)
	return s
}

// newClaimRow returns the claim row of c at epoch 1.
func (f *Forwarder) newClaimRow(c *call) claim.Row {
	return claim.Row{
		Key: claim.RequestKey(c.key), Owner: f.ID, Centre: f.Centre, Epoch: 1, Nonce: f.Nonce(),
		Digest: c.digest, State: api.StateOpen, Tasks: 1, Mark: 1, AcceptedAt: c.accepted.UnixMilli(), Deadline: c.deadline.UnixMilli(),
	}
}
