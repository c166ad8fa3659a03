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
	"gypsumward/core/dial"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/forward"
	"gypsumward/core/lease"
	"gypsumward/core/member"
	"gypsumward/core/meter"
	"gypsumward/core/owner"
	"gypsumward/core/peer"
	"gypsumward/core/place"
	"gypsumward/core/platform"
	"gypsumward/core/retry"
	"gypsumward/core/settings"
	"gypsumward/core/settings/follow"
	"gypsumward/core/stamp"
	"gypsumward/gypsumward/config"
	"gypsumward/gypsumward/count"
	"gypsumward/gypsumward/link"
	"gypsumward/gypsumward/teams"
)

// pollFree is the time between two looks for released jobs.
const pollFree = 2 * time.Second

// gateWindow is the time over which the rate of tasks is measured: tasks may take
// several seconds.
const gateWindow = time.Second

// gateSlack covers that a job ends with its slowest task.
const gateSlack = 1.5

// Node is one entry instance.
type Node struct {
	ID       string // NAME@INCARNATION
	Config   *config.Config
	Log      log.Logger
	Events   *event.Log
	Owner    *owner.Owner
	Forward  *forward.Forwarder
	Commit   *commit.Committer
	Keeper   *lease.Keeper
	Server   *peer.Server
	Listing  *Directory
	Holder   *settings.Holder
	Store    *settings.Store
	Follower *follow.Follower
	Teams    *teams.Teams
	Meter    *meter.Meter
	platform *platform.Client
	peers    *peer.Client
	look     chan struct{}
	gossip   *member.Gossip
	stopping atomic.Bool
	passed   atomic.Bool // a later incarnation of the own name is known
	stop     context.CancelFunc
	group    sync.WaitGroup
}

// New returns a node for the given settings. Nothing runs yet.
func New(c *config.Config, logger log.Logger) *Node {
	incarnation := uuid.NewString()[:8]
	n := &Node{ID: c.Name + "@" + incarnation, Config: c, look: make(chan struct{}, 1)}
	n.Log = log.With(logger, "instance", n.ID)
	clock := clockwork.NewRealClock()
	stamps := &stamp.Clock{}
	n.Events = &event.Log{From: n.ID, Clock: stamps}
	n.Meter = meter.New()
	n.Meter.Watch(n.reading)
	n.platform = &platform.Client{Addr: c.Platform, Seen: n.Meter.Store}
	n.peers = &peer.Client{Clock: stamps}
	n.Server = &peer.Server{Addr: c.Peer, Clock: stamps}
	n.Commit = commit.New(n.platform, clock, commit.Settings{})
	n.newListing(clock, incarnation)
	peers := &link.Peers{ID: n.ID, Client: n.peers, Directory: n.Listing, Meter: n.Meter}
	n.newOwner(clock, peers)
	n.newForward(clock, peers)
	n.Keeper = &lease.Keeper{
		ID: n.ID, Centre: c.Centre, Commit: n.Commit, Table: n.platform, Taker: n, Clock: clock,
		Settings: lease.Settings{Beat: c.Lease.Beat.Duration(), Lapse: c.Lease.Lapse.Duration()},
	}
	n.newSettings(clock, peers)
	link.ServeSettings(n.Server, n.Follower.Newer)
	link.Serve(n.Server, n.ID, n.Owner, n.Forward, n.lookSoon)
	return n
}

func (n *Node) newListing(clock clockwork.Clock, incarnation string) {
	c := n.Config
	own := member.Record{ID: c.Name, Inc: incarnation, Addr: c.Addr, Peer: c.Peer, Centre: c.Centre}
	n.Listing = &Directory{List: n.platform}
	n.gossip = &member.Gossip{
		State: member.New(member.Settings{}, own, clock.Now()), List: n.Listing, Clock: clock,
		Transport: count.Gossip{Next: member.Peers{Client: n.peers}, Meter: n.Meter},
		Random:    rand.New(rand.NewSource(clock.Now().UnixNano())),
		Source:    func() (int64, []byte) { return n.Holder.Tree().Revision(), nil },
		Changed:   n.list,
	}
	n.Listing.Gossip = n.gossip
	member.Serve(n.Server, n.gossip)
}

func (n *Node) newOwner(clock clockwork.Clock, peers *link.Peers) {
	queue := fair.New[owner.Ref](fair.Settings{
		Count: n.Config.Limits.Count, Bytes: int(n.Config.Limits.Bytes), Gate: admit.New(admit.Settings{Window: gateWindow, Slack: gateSlack, Seed: xxhash.Sum64String(n.Config.Name)}),
	})
	o := owner.New(queue, place.New(place.Settings{Seed: xxhash.Sum64String(n.Config.Name)}))
	o.ID, o.Centre, o.Clock, o.Nonce = n.ID, n.Config.Centre, clock, n.nonces()
	o.Commit, o.Table, o.Objects = n.Commit, n.platform, n.platform
	o.Workers, o.Peers, o.Journal = member.Workers{Worker: count.Workers{Next: &dial.Worker{}, Meter: n.Meter}, State: n.gossip.State, Clock: clock}, peers, n.Events
	n.Owner = o
}

func (n *Node) newForward(clock clockwork.Clock, peers *link.Peers) {
	f := forward.New(fair.Settings{Count: n.Config.Limits.Count, Bytes: int(n.Config.Limits.Bytes)}, choose.Settings{Seed: xxhash.Sum64String(n.Config.Name)}, retry.Settings{})
	f.ID, f.Centre, f.Clock, f.Nonce = n.ID, n.Config.Centre, clock, n.nonces()
	f.Commit, f.Table, f.Objects = n.Commit, n.platform, n.platform
	f.Runners, f.Peers, f.Journal = member.Runners{Next: count.Runners{Next: &dial.Runner{}, Meter: n.Meter}, State: n.gossip.State, Clock: clock}, peers, n.Events
	f.Sharing, f.Centres, f.Size = peers, peers, n.Config.Size
	link.ServeShares(n.Server, f.Told)
	link.ServeSpills(n.Server, f)
	n.Forward = f
}

func (n *Node) newSettings(clock clockwork.Clock, peers *link.Peers) {
	n.Holder = &settings.Holder{}
	n.Teams = &teams.Teams{Holder: n.Holder, Jobs: n.Owner, Requests: n.Forward}
	n.Store = &settings.Store{Table: n.platform, Clock: clock, Unknown: platform.Unknown}
	n.Follower = &follow.Follower{
		Holder: n.Holder, Store: n.Store, Peers: peers, Clock: clock,
		Applied: func(t *settings.Tree, from follow.Source) {
			n.Teams.Apply(t)
			n.Forward.Hedge(hedges(t))
			detail := "revision " + strconv.FormatInt(t.Revision(), 10) + " from " + string(from)
			n.Events.Add(event.Event{What: event.Applied, Detail: detail})
			_ = level.Info(n.Log).Log("event", "settings", "revision", t.Revision(), "from", from)
		},
	}
}

// hedges returns what a settings tree says of the hedges of teams.
func hedges(t *settings.Tree) []forward.Hedge {
	var list []forward.Hedge
	for _, sub := range t.Snapshot().Teams {
		if team, ok := t.Team(sub.Team); ok {
			list = append(list, forward.Hedge{Team: sub.Team, Part: team.Hedge})
		}
	}
	return list
}

// nonces returns a function whose texts are unique: the id of the instance is,
// and a number grows.
func (n *Node) nonces() func() string {
	base := uuid.NewString()
	var count atomic.Int64
	return func() string { return base + "-" + strconv.FormatInt(count.Add(1), 36) }
}

// list takes in a new view of instances and targets.
func (n *Node) list(v member.View) {
	if !n.Listing.Known() {
		return // no targets are known yet
	}
	instances := v.Count(n.Config.Centre) + 1
	// The others count as size 1; requests learn their sizes later, see forward.Sharing.
	part := n.Config.Size / (n.Config.Size + float64(instances-1))
	n.Owner.Divide(instances, part)
	n.Forward.Divide(instances, part)
	members := v.Members()
	n.Owner.Members(members)
	n.Forward.Members(members)
	if v.Passed && !n.passed.Swap(true) {
		_ = level.Warn(n.Log).Log("event", "passed", "detail", "a later incarnation of this name is known")
	}
	n.Commit.Divide(len(v.Entries) + 1)
}

// Start runs all duties but the HTTP server's.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	for _, duty := range []func(context.Context){
		n.Commit.Run, n.Owner.Run, n.Forward.Run, n.Keeper.Run, n.gossip.Run, n.takeFree, n.servePeers, n.Follower.Run,
	} {
		n.group.Go(func() { duty(ctx) })
	}
	_ = level.Info(n.Log).Log("event", "started", "centre", n.Config.Centre, "addr", n.Config.Addr, "peer", n.Config.Peer)
	return nil
}

func (n *Node) servePeers(ctx context.Context) {
	if err := n.Server.Run(ctx); err != nil {
		_ = level.Error(n.Log).Log("event", "peers", "err", err)
	}
}

// Drain refuses new work and gives away or finishes what is there.
func (n *Node) Drain(context.Context) error {
	n.stopping.Store(true)
	n.gossip.State.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), n.Config.Limits.Drain.Duration())
	defer cancel()
	answered := n.Forward.Drain(ctx)
	settled := n.Owner.Drain(ctx)
	_ = level.Info(n.Log).Log("event", "drained", "requests", answered, "jobs", settled)
	return nil
}

// Stop ends all duties. It is called after the HTTP server's last caller.
func (n *Node) Stop(context.Context) error {
	n.stop()
	n.group.Wait()
	n.peers.Close()
	n.platform.Close()
	_ = level.Info(n.Log).Log("event", "stopped")
	return nil
}

// Ready reports whether the balancer may send callers here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Listing.Known()
}

// Take takes over the jobs of an instance that is gone.
func (n *Node) Take(ctx context.Context, former string, gone bool) (int, error) {
	count, err := n.Owner.Take(ctx, former, gone)
	n.Meter.Taken(count)
	if count > 0 || err != nil {
		_ = level.Warn(n.Log).Log("event", "taken", "from", former, "jobs", count, "err", err)
	}
	return count, err
}

// lookSoon makes takeFree look at once.
func (n *Node) lookSoon() {
	select {
	case n.look <- struct{}{}:
	default:
	}
}

// takeFree takes jobs that were released, when told and now and then.
func (n *Node) takeFree(ctx context.Context) {
	ticker := time.NewTicker(pollFree)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-n.look:
		case <-ctx.Done():
			return
		}
		if n.stopping.Load() {
			continue
		}
		if _, err := n.Take(ctx, claim.Free(n.Config.Centre), false); err != nil {
			continue // the next look tries again
		}
	}
}
