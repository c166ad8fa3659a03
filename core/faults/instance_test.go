package faults_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/forward"
	"gypsumward/core/lease"
	"gypsumward/core/owner"
	"gypsumward/core/place"
	"gypsumward/core/retry"
	"gypsumward/core/table"
)

// centre is the data centre of all targets.
const centre = "como"

// simulation holds the platform, the targets and the entry instances.
type simulation struct {
	ctx       context.Context
	platform  *platform
	fleet     *fleet
	members   []table.Member
	instances []*instance
	nonce     atomic.Int64
	group     sync.WaitGroup
	mutex     sync.Mutex
	stepHook  func(source, eventName string)
}

// instance is one entry instance. It runs the real decision code and implements its
// peers, journal and lease taker.
type instance struct {
	sim       *simulation
	name      string
	centre    string
	state     *instanceState
	cancel    context.CancelFunc
	owner     *owner.Owner
	forward   *forward.Forwarder
	commit    *commit.Committer
	callers   atomic.Int64 // calls in flight
	takeovers atomic.Int64 // takeovers from instances whose leases had expired
}

// newSimulation returns a simulation with two workers, two runners and the given
// number of running instances.
func newSimulation(ctx context.Context, instances int) *simulation {
	sim := &simulation{ctx: ctx, platform: newPlatform(), fleet: newFleet()}
	for i := range 2 {
		id := fmt.Sprintf("w%d", i+1)
		sim.members = append(sim.members, table.Member{
			ID: id, Addr: id, Kind: table.KindWorker, Centre: centre, Rack: "r" + id, Cores: 3, Memory: 128 << 30,
		})
		id = fmt.Sprintf("r%d", i+1)
		sim.members = append(sim.members, table.Member{
			ID: id, Addr: id, Kind: table.KindRunner, Centre: centre, Slots: 8, MaxConns: 60,
		})
	}
	sim.platform.hook = func(what, key string) { sim.reportStep("", what+" "+keyKind(key)) }
	sim.fleet.hook = func(what, _ string) { sim.reportStep("", what) }
	for i := range instances {
		sim.instances = append(sim.instances, sim.startInstance(string(rune('a'+i)), centre))
	}
	return sim
}

// addInstance starts an instance and adds it to the simulation.
func (sim *simulation) addInstance(name string) {
	in := sim.startInstance(name, centre)
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.instances = append(sim.instances, in)
}

// allInstances returns all instances ever started, also those that were killed.
func (sim *simulation) allInstances() []*instance {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return append([]*instance(nil), sim.instances...)
}

// keyKind returns the first part of a row key, up to the slash.
func keyKind(key string) string {
	for i := range key {
		if key[i] == '/' {
			return key[:i]
		}
	}
	return key
}

// reportStep calls the step hook, if one is set.
func (sim *simulation) reportStep(source, eventName string) {
	sim.mutex.Lock()
	hook := sim.stepHook
	sim.mutex.Unlock()
	if hook != nil {
		hook(source, eventName)
	}
}

// startInstance starts an instance without adding it to the simulation.
func (sim *simulation) startInstance(name, centre string) *instance {
	ctx, cancel := context.WithCancel(sim.ctx)
	in := &instance{sim: sim, name: name + "@1", centre: centre, state: newInstanceState(), cancel: cancel}
	clock := clockwork.NewRealClock()
	p := platformClient{platform: sim.platform, state: in.state}
	to := targetClient{fleet: sim.fleet, state: in.state, centre: centre}
	nonce := func() string { return fmt.Sprintf("n%d", sim.nonce.Add(1)) }
	in.commit = commit.New(p, clock, commit.Settings{})
	in.owner = owner.New(fair.New[owner.TaskRef](fair.Settings{}), place.New(place.Settings{}))
	in.owner.ID, in.owner.Centre = in.name, centre
	in.owner.Committer, in.owner.Table, in.owner.Objects = in.commit, p, p
	in.owner.Workers, in.owner.Peers, in.owner.Journal = to, in, in
	in.owner.Clock, in.owner.Nonce = clock, nonce
	in.forward = forward.New(fair.Settings{}, choose.Settings{}, retry.Settings{})
	in.forward.ID, in.forward.Centre = in.name, centre
	in.forward.Committer, in.forward.Table, in.forward.Objects = in.commit, p, p
	in.forward.Runners, in.forward.Peers, in.forward.Journal = to, in, in
	in.forward.Clock, in.forward.Nonce = clock, nonce
	keeper := &lease.Keeper{ID: in.name, Centre: centre, Committer: in.commit, Table: p, TakeoverHandler: in, Clock: clock}
	for _, runLoop := range []func(context.Context){in.commit.Run, in.owner.Run, in.forward.Run, keeper.Run, in.takeReleasedJobs} {
		sim.group.Go(func() { runLoop(ctx) })
	}
	in.owner.SetMembers(sim.members)
	in.forward.SetMembers(sim.members)
	return in
}

// takeReleasedJobs polls for released jobs and takes them, as an entry instance
// does.
func (in *instance) takeReleasedJobs(ctx context.Context) {
	for {
		select {
		case <-time.After(2 * time.Second):
			_, _ = in.owner.TakeOver(ctx, claim.ReleasedOwner(in.centre), false)
		case <-ctx.Done():
			return
		}
	}
}

// kill ends an instance at once. No call or response leaves it any more.
func (in *instance) kill() {
	select {
	case <-in.state.killed:
	default:
		close(in.state.killed)
	}
	in.cancel()
}

// alive reports whether the instance was not killed.
func (in *instance) alive() bool {
	select {
	case <-in.state.killed:
		return false
	default:
		return true
	}
}

// terminate shuts an instance down as SIGTERM does, then kills it.
func (in *instance) terminate() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	in.sim.reportStep(in.name, "stopping")
	in.forward.Drain(ctx)
	in.owner.Drain(ctx)
	for in.callers.Load() > 0 { // as an HTTP server does during its shutdown
		time.Sleep(10 * time.Millisecond)
	}
	in.kill()
}

// TakeOver counts the takeover and has the owner take the jobs of the previous
// instance.
func (in *instance) TakeOver(ctx context.Context, previous string, force bool) (int, error) {
	in.takeovers.Add(1)
	return in.owner.TakeOver(ctx, previous, force)
}

// Add reports an event of the journal as a step.
func (in *instance) Add(e event.Event) {
	in.sim.reportStep(in.name, string(e.Kind))
}

// reachPeer returns the named instance if the links of both instances work.
func (in *instance) reachPeer(ctx context.Context, name string) (*instance, error) {
	if err := in.state.awaitSend(ctx, linkPeers); err != nil {
		return nil, err
	}
	time.Sleep(oneWayDelay)
	for _, other := range in.sim.allInstances() {
		if other.name == name {
			return other, other.state.awaitSend(ctx, linkPeers)
		}
	}
	return nil, errKilled
}

// AwaitAnswer returns the answer for a job from its owner, the named instance.
func (in *instance) AwaitAnswer(ctx context.Context, name string, k api.Key, wait time.Duration) (api.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	other, err := in.reachPeer(ctx, name)
	if err != nil {
		return api.Answer{}, false, err
	}
	a, ok := other.owner.LocalAnswer(ctx, k)
	return a, ok, other.state.awaitReceive(ctx, linkPeers, nil)
}

// Cancel cancels a job or one task at the named instance.
func (in *instance) Cancel(ctx context.Context, name string, k api.Key, task string) (api.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	other, err := in.reachPeer(ctx, name)
	if err != nil {
		return api.Answer{}, false, err
	}
	a, ok := other.owner.CancelLocal(ctx, k, task)
	return a, ok, other.state.awaitReceive(ctx, linkPeers, nil)
}

// Request returns the answer for a request from the named instance.
func (in *instance) Request(ctx context.Context, name string, k api.Key, wait time.Duration) (api.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	other, err := in.reachPeer(ctx, name)
	if err != nil {
		return api.Answer{}, false, err
	}
	a, ok := other.forward.LocalAnswer(ctx, k)
	return a, ok, other.state.awaitReceive(ctx, linkPeers, nil)
}

// NotifyReleased has the first reachable other instance take released jobs.
func (in *instance) NotifyReleased(ctx context.Context) error {
	for _, other := range in.sim.allInstances() {
		if other != in && other.alive() {
			if o, err := in.reachPeer(ctx, other.name); err == nil {
				_, _ = o.owner.TakeOver(ctx, claim.ReleasedOwner(o.centre), false)
				return nil
			}
		}
	}
	return errKilled
}
