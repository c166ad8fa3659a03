package node

import (
	"context"
	"math/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"gypsumward/core/admit"
	"gypsumward/core/choose"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/forward"
	"gypsumward/core/hlc"
	"gypsumward/core/lease"
	"gypsumward/core/member"
	"gypsumward/core/meter"
	"gypsumward/core/owner"
	"gypsumward/core/peer"
	"gypsumward/core/place"
	"gypsumward/core/platformclient"
	"gypsumward/core/retry"
	"gypsumward/core/settings"
	"gypsumward/core/settings/follow"
	"gypsumward/core/targetclient"
	"gypsumward/gypsumward/config"
	"gypsumward/gypsumward/instrument"
	"gypsumward/gypsumward/peerapi"
	"gypsumward/gypsumward/teams"
)

// releasedPollInterval is the time between two polls for released jobs.
const releasedPollInterval = 2 * time.Second

// gateWindow is the time over which the rate of tasks is measured. It is longer than the
// default because tasks may take several seconds.
const gateWindow = time.Second

// gateSlack scales the expected wait of a job, since the job ends only with its slowest
// task.
const gateSlack = 1.5

// Node is one entry instance with all its components.
type Node struct {
	ID            string // NAME@INCARNATION
	Config        *config.Config
	Log           log.Logger
	Events        *event.Log
	Owner         *owner.Owner
	Forward       *forward.Forwarder
	Commit        *commit.Committer
	Keeper        *lease.Keeper
	Server        *peer.Server
	Directory     *Directory
	Active        *settings.ActiveTree
	Store         *settings.Store
	Follower      *follow.Follower
	Teams         *teams.Teams
	Meter         *meter.Recorder
	platform      *platformclient.Client
	peers         *peer.Client
	releaseNotice chan struct{} // makes takeReleased poll at once
	gossip        *member.Gossip
	stopping      atomic.Bool
	superseded    atomic.Bool // whether a later incarnation of this name is known
	stop          context.CancelFunc
	group         sync.WaitGroup
}

// New returns a node for the given settings. It does nothing before Start.
func New(c *config.Config, logger log.Logger) *Node {
	incarnation := uuid.NewString()[:8]
	n := &Node{ID: c.Name + "@" + incarnation, Config: c, releaseNotice: make(chan struct{}, 1)}
	n.Log = log.With(logger, "instance", n.ID)
	clock := clockwork.NewRealClock()
	timestamps := &hlc.Clock{}
	n.Events = &event.Log{Process: n.ID, Clock: timestamps}
	n.Meter = meter.New()
	n.Meter.RegisterGauges(n.reading)
	n.platform = &platformclient.Client{Addr: c.Platform, Observe: n.Meter.ObserveStoreCall}
	n.peers = &peer.Client{Clock: timestamps}
	n.Server = &peer.Server{Addr: c.Peer, Clock: timestamps}
	n.Commit = commit.New(n.platform, clock, commit.Settings{})
	n.newDirectory(clock, incarnation)
	peers := &peerapi.Peers{ID: n.ID, Client: n.peers, Directory: n.Directory, Meter: n.Meter}
	n.newOwner(clock, peers)
	n.newForward(clock, peers)
	n.Keeper = &lease.Keeper{
		ID: n.ID, Centre: c.Centre, Committer: n.Commit, Table: n.platform, TakeoverHandler: n, Clock: clock,
		Settings: lease.Settings{HeartbeatInterval: c.Lease.HeartbeatInterval.Duration(), Timeout: c.Lease.Timeout.Duration()},
	}
	n.newSettings(clock, peers)
	peerapi.ServeSettings(n.Server, n.Follower.NewerSnapshot)
	peerapi.Serve(n.Server, n.ID, n.Owner, n.Forward, n.wakeTakeReleased)
	return n
}

func (n *Node) newDirectory(clock clockwork.Clock, incarnation string) {
	c := n.Config
	own := member.Record{ID: c.Name, Incarnation: incarnation, Addr: c.Addr, Peer: c.Peer, Centre: c.Centre}
	n.Directory = &Directory{List: n.platform}
	n.gossip = &member.Gossip{
		State: member.New(member.Settings{}, own, clock.Now()), Lister: n.Directory, Clock: clock,
		Transport: instrument.Gossip{Next: member.PeerTransport{Client: n.peers}, Meter: n.Meter},
		Random:    rand.New(rand.NewSource(clock.Now().UnixNano())),
		OwnState:  func() (int64, []byte) { return n.Active.Tree().Revision(), nil },
		OnChange:  n.applyView,
	}
	n.Directory.Gossip = n.gossip
	member.Register(n.Server, n.gossip)
}

func (n *Node) newOwner(clock clockwork.Clock, peers *peerapi.Peers) {
	queue := fair.New[owner.TaskRef](fair.Settings{
		MaxItems: n.Config.Limits.Count, MaxBytes: int(n.Config.Limits.Bytes), Gate: admit.New(admit.Settings{Window: gateWindow, WaitFactor: gateSlack, Seed: xxhash.Sum64String(n.Config.Name)}),
	})
	o := owner.New(queue, place.New(place.Settings{Seed: xxhash.Sum64String(n.Config.Name)}))
	o.ID, o.Centre, o.Clock, o.Nonce = n.ID, n.Config.Centre, clock, n.nonceSource()
	o.Committer, o.Table, o.Objects = n.Commit, n.platform, n.platform
	o.Workers, o.Peers, o.Journal = member.ObservedWorkers{Worker: instrument.Workers{Next: &targetclient.Worker{}, Meter: n.Meter}, State: n.gossip.State, Clock: clock}, peers, n.Events
	n.Owner = o
}

func (n *Node) newForward(clock clockwork.Clock, peers *peerapi.Peers) {
	f := forward.New(fair.Settings{MaxItems: n.Config.Limits.Count, MaxBytes: int(n.Config.Limits.Bytes)}, choose.Settings{Seed: xxhash.Sum64String(n.Config.Name)}, retry.Settings{})
	f.ID, f.Centre, f.Clock, f.Nonce = n.ID, n.Config.Centre, clock, n.nonceSource()
	f.Committer, f.Table, f.Objects = n.Commit, n.platform, n.platform
	f.Runners, f.Peers, f.Journal = member.ObservedRunners{Next: instrument.Runners{Next: &targetclient.Runner{}, Meter: n.Meter}, State: n.gossip.State, Clock: clock}, peers, n.Events
	f.UsageSender, f.PeerCentres, f.RelativeSize = peers, peers, n.Config.Size
	peerapi.ServeShares(n.Server, f.ReceiveUsage)
	peerapi.ServeSpills(n.Server, f)
	n.Forward = f
}

func (n *Node) newSettings(clock clockwork.Clock, peers *peerapi.Peers) {
	n.Active = &settings.ActiveTree{}
	n.Teams = &teams.Teams{Active: n.Active, Jobs: n.Owner, Requests: n.Forward}
	n.Store = &settings.Store{Table: n.platform, Clock: clock, MayHaveTakenEffect: platformclient.MayHaveTakenEffect}
	n.Follower = &follow.Follower{
		Active: n.Active, Store: n.Store, Peers: peers, Clock: clock,
		OnApply: func(t *settings.Tree, from follow.Source) {
			n.Teams.Apply(t)
			n.Forward.SetHedges(hedgesOf(t))
			detail := "revision " + strconv.FormatInt(t.Revision(), 10) + " from " + string(from)
			n.Events.Add(event.Event{Kind: event.Applied, Detail: detail})
			_ = level.Info(n.Log).Log("event", "settings", "revision", t.Revision(), "from", from)
		},
	}
}

// hedgesOf returns the hedge settings of all teams in a settings tree.
func hedgesOf(t *settings.Tree) []forward.HedgeConfig {
	var hedges []forward.HedgeConfig
	for _, sub := range t.Snapshot().Teams {
		if team, ok := t.Team(sub.Team); ok {
			hedges = append(hedges, forward.HedgeConfig{Team: sub.Team, MaxRatio: team.HedgeBudget})
		}
	}
	return hedges
}

// nonceSource returns a function that returns a different text at each call. The texts
// are unique among all instances: they consist of a random UUID and a counter.
func (n *Node) nonceSource() func() string {
	base := uuid.NewString()
	var count atomic.Int64
	return func() string { return base + "-" + strconv.FormatInt(count.Add(1), 36) }
}

// applyView passes a new view of instances and targets to the components.
func (n *Node) applyView(v member.View) {
	if !n.Directory.Loaded() {
		return // no targets are known yet
	}
	instances := v.SharingInstances(n.Config.Centre) + 1
	// The others count as size 1 here. Requests receive the real sizes later; see
	// forward.UsageSender.
	share := n.Config.Size / (n.Config.Size + float64(instances-1))
	n.Owner.SetInstances(instances, share)
	n.Forward.SetInstances(instances, share)
	members := v.Members()
	n.Owner.SetMembers(members)
	n.Forward.SetMembers(members)
	if v.Superseded && !n.superseded.Swap(true) {
		_ = level.Warn(n.Log).Log("event", "passed", "detail", "a later incarnation of this name is known")
	}
	n.Commit.SetInstances(len(v.Entries) + 1)
}

// Start starts all components except the HTTP server. It returns nil.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	for _, run := range []func(context.Context){
		n.Commit.Run, n.Owner.Run, n.Forward.Run, n.Keeper.Run, n.gossip.Run, n.takeReleased, n.servePeers, n.Follower.Run,
	} {
		n.group.Go(func() { run(ctx) })
	}
	_ = level.Info(n.Log).Log("event", "started", "centre", n.Config.Centre, "addr", n.Config.Addr, "peer", n.Config.Peer)
	return nil
}

func (n *Node) servePeers(ctx context.Context) {
	if err := n.Server.Run(ctx); err != nil {
		_ = level.Error(n.Log).Log("event", "peers", "err", err)
	}
}

// Drain refuses new work and finishes or releases the work that is there, within the
// drain limit of the settings. It returns nil.
func (n *Node) Drain(context.Context) error {
	n.stopping.Store(true)
	n.gossip.State.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), n.Config.Limits.Drain.Duration())
	defer cancel()
	requestsDone := n.Forward.Drain(ctx)
	jobsDone := n.Owner.Drain(ctx)
	_ = level.Info(n.Log).Log("event", "drained", "requests", requestsDone, "jobs", jobsDone)
	return nil
}

// Stop ends all components and waits for them. It must be called after the HTTP server
// has answered its last caller. It returns nil.
func (n *Node) Stop(context.Context) error {
	n.stop()
	n.group.Wait()
	n.peers.Close()
	n.platform.Close()
	_ = level.Info(n.Log).Log("event", "stopped")
	return nil
}

// Ready reports whether the load balancer may send callers here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Directory.Loaded()
}

// TakeOver takes over the open jobs of a previous owner, or released jobs, and returns their
// number. An error means that some may be left. Unless force is set, jobs of another data
// centre are left while none of its workers can be reached.
func (n *Node) TakeOver(ctx context.Context, previous string, force bool) (int, error) {
	count, err := n.Owner.TakeOver(ctx, previous, force)
	n.Meter.CountJobsTakenOver(count)
	if count > 0 || err != nil {
		_ = level.Warn(n.Log).Log("event", "taken", "from", previous, "jobs", count, "err", err)
	}
	return count, err
}

// wakeTakeReleased makes takeReleased poll at once. It does not block.
func (n *Node) wakeTakeReleased() {
	select {
	case n.releaseNotice <- struct{}{}:
	default:
	}
}

// takeReleased takes over released jobs, every releasedPollInterval and when another
// instance has announced a release, until ctx ends.
func (n *Node) takeReleased(ctx context.Context) {
	ticker := time.NewTicker(releasedPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-n.releaseNotice:
		case <-ctx.Done():
			return
		}
		if n.stopping.Load() {
			continue
		}
		if _, err := n.TakeOver(ctx, claim.ReleasedOwner(n.Config.Centre), false); err != nil {
			continue // the next poll tries again
		}
	}
}
