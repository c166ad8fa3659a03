package resubmit_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/handover"
	"gypsumward/core/hlc"
	"gypsumward/core/overflow"
	"gypsumward/core/peer"
	"gypsumward/core/proxy"
	"gypsumward/core/work"
)

// Settings of an instance, as in use.
const (
	resubmitAfter     = cell.DefaultResubmitAfter
	peerCalls         = 1024
	peerHeartbeat     = 300 * time.Millisecond
	peerDialBackoff   = 20 * time.Millisecond
	peerDrain         = 100 * time.Millisecond
	callerTimeout     = 900 * time.Millisecond
	directoryInterval = 400 * time.Millisecond
	pollInterval      = 10 * time.Second
	handoverTimeout   = 600 * time.Millisecond
	handoverDeadline  = 4 * time.Second
	drainTime         = 2500 * time.Millisecond
	leastPause        = resubmitAfter / 2      // shorter pauses are not noticed
	pauseBacklog      = 500 * time.Millisecond // after a pause, in which messages are read that arrived during it
	noticeDelay       = 50 * time.Millisecond  // longest time until the others know a new holder
)

// clock is the simulated clock.
type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// instance is one incarnation of an entry instance.
type instance struct {
	world    *world
	number   int
	name     string // its host in the network
	zone     string
	life     string // identifies the incarnation
	dead     atomic.Bool
	draining atomic.Bool
	stop     context.CancelFunc
	client   *peer.Client
	server   *peer.Server
	cells    []*participant

	mu     sync.Mutex
	paused time.Time // when the last pause began
	thawed time.Time // when it ends or has ended
}

// participant is the part of an instance in one cell.
type participant struct {
	instance *instance
	number   int
	elector  *election.Elector
	proxy    *proxy.Proxy
}

// startInstance starts an incarnation of an instance.
func (w *world) startInstance(number, incarnation int) *instance {
	i := &instance{world: w, number: number, name: fmt.Sprintf("i%d", number), zone: w.zones[number%len(w.zones)]}
	i.life = fmt.Sprintf("%s@%d", i.name, incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	i.client = &peer.Client{Clock: &hlc.Clock{}, MaxCalls: peerCalls, PingInterval: peerHeartbeat, DialBackoff: peerDialBackoff, Dial: i.dial}
	i.server = &peer.Server{Clock: i.client.Clock, MaxCalls: peerCalls, DrainTimeout: peerDrain, CallerTimeout: callerTimeout, Delay: i.delay}
	i.server.OnCallerLost = func(addr string, silence time.Duration, calls int) {
		w.log(i.life, "event", "callerlost", "addr", addr, "silence", silence, "calls", calls)
	}
	for number := range w.cells {
		i.cells = append(i.cells, i.participate(number))
	}
	listener := w.net.listen(i.name)
	w.running.Go(func() { _ = i.server.Serve(ctx, listener) })
	for _, p := range i.cells {
		w.running.Go(func() { p.proxy.Run(ctx) })
		w.running.Go(func() {
			if p.proxy.Zone != i.zone {
				time.Sleep(time.Second) // the instances of the data centre claim the cell first
			}
			w.running.Go(func() { p.proxy.ExchangeHellos(ctx) })
			p.elector.Run(ctx)
		})
	}
	return i
}

// participate returns the part of the instance in a cell.
func (i *instance) participate(number int) *participant {
	w := i.world
	c := w.cells[number]
	p := &participant{instance: i, number: number, elector: election.New(c.name, election.Settings{PollInterval: pollInterval})}
	self := election.Member{Node: i.name, Incarnation: i.life, Addr: i.name, Zone: i.zone, StartedAt: time.Now().UnixMilli(), Cores: 1}
	logger := log.With(log.LoggerFunc(func(pairs ...any) error {
		w.log(i.life+"/"+c.name, pairs...)
		return nil
	}))
	s := store{w.store, i}
	p.proxy = &proxy.Proxy{
		Cell: c.name, Zone: c.zone, Self: self, Elector: p.elector, Client: i.client, Store: s, Clock: clock{}, Log: logger,
		HeldCells: i.heldCells,
		NewLoop: func(t election.Term) *eventloop.Loop {
			l := eventloop.New(t, c.name, cell.Settings{}, orders{i}, s, clock{}, logger, noMetrics{})
			w.running.Go(func() { p.followRunners(l) })
			w.running.Go(func() { w.publish(p) })
			return l
		},
	}
	p.elector.Self, p.elector.Store, p.elector.Clock, p.elector.Leader, p.elector.Log = self, s, clock{}, p.proxy, logger
	p.elector.ConnectionRefused = func(ctx context.Context, addr string) bool { return w.net.refuses(ctx, i.name, addr) }
	p.elector.PromisedUntil, p.elector.HolderReachable = p.proxy.PromisedUntil, p.proxy.HolderReachable
	p.elector.ClaimDelay = func() time.Duration { return time.Duration(i.heldCells()) * 150 * time.Millisecond }
	p.proxy.RegisterMethods(i.server)
	return p
}

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) Count(string, int)             {}
func (noMetrics) Observe(string, time.Duration) {}

func (i *instance) dial(ctx context.Context, addr string) (net.Conn, error) {
	if i.dead.Load() {
		return nil, net.ErrClosed
	}
	return i.world.net.dial(ctx, i.name, addr)
}

func (i *instance) heldCells() int {
	n := 0
	for _, p := range i.cells {
		if p.proxy.CurrentLoop() != nil {
			n++
		}
	}
	return n
}

// followRunners passes the directory to a loop until it ends.
func (p *participant) followRunners(l *eventloop.Loop) {
	for !p.instance.dead.Load() {
		if l.Post(cell.DirectoryUpdate{Entries: p.instance.world.directory(p.proxy.Zone)}) {
			time.Sleep(directoryInterval)
			continue
		}
		return
	}
}

// kill ends the process of the instance. It returns false if that has ended before.
func (i *instance) kill() bool {
	if i.dead.Swap(true) {
		return false
	}
	w := i.world
	w.log(i.life, "event", "killed")
	if l := w.net.listenerOf(i.name); l != nil {
		_ = l.Close()
	}
	w.net.reset(func(from, to string) bool { return from == i.name || to == i.name })
	w.breakCalls(i)
	i.stop()
	w.running.Go(i.client.Close)
	return true
}

// pause makes the instance receive and send nothing for d, like a process that is suspended. Its
// goroutines go on, so they find out that nothing answers.
func (i *instance) pause(d time.Duration) {
	i.notePause(d)
	i.world.net.block(i.name, anyHost, d)
	i.world.net.block(anyHost, i.name, d)
}

// pauseClients makes the instance read nothing from clients for d. Like a process that was
// suspended it does not know afterwards that others cannot be reached.
func (i *instance) pauseClients(d time.Duration) {
	i.notePause(d)
	i.world.net.block(clientHost, i.name, d)
}

// notePause records a pause, of which delay tells from then on.
func (i *instance) notePause(d time.Duration) {
	i.world.log(i.life, "event", "pause", "for", d)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.paused, i.thawed = time.Now(), time.Now().Add(d)
}

// delay returns what stall.Detector.Delay returns in a process that was suspended.
func (i *instance) delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.thawed.Sub(i.paused) < leastPause || time.Since(i.thawed) > pauseBacklog {
		return 0
	}
	return time.Since(i.paused)
}

// leave hands the cells of the instance over and ends it, like a process that has received a
// signal to end. It returns false if the instance was killed meanwhile.
func (i *instance) leave() bool {
	i.world.log(i.life, "event", "leave")
	var handovers sync.WaitGroup
	for _, p := range i.cells {
		p.elector.StopClaiming()
		handovers.Go(p.leave)
	}
	time.Sleep(drainTime)
	handovers.Wait()
	return i.kill()
}

func (p *participant) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	p.proxy.Leave(ctx)
	cancel()
	l := p.proxy.CurrentLoop()
	if l == nil || handover.Run(heldCell{l, p}, clock{}, time.Now().Add(handoverDeadline)) {
		return
	}
	l.Depose("the cell could not be handed over")
	<-l.Done()
	ctx, cancel = context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	p.proxy.AnnounceRelease(ctx, l.Term.Epoch)
	p.elector.Release(ctx, l.Term)
}

// heldCell is the cell of a participant during one term. It implements handover.Cell.
type heldCell struct {
	*eventloop.Loop
	p *participant
}

func (c heldCell) Successor() (m election.Member, ok bool) {
	m, _, ok = c.p.proxy.Successor()
	return m, ok
}

func (c heldCell) Writable() bool {
	const maxHeartbeatAge = 900 * time.Millisecond
	_, version, age := c.p.elector.LastHeartbeat()
	return version == 0 || age < maxHeartbeatAge
}

func (c heldCell) Transfer(ctx context.Context, to election.Member) bool {
	if !c.p.elector.Transfer(ctx, to) {
		return false
	}
	<-c.Done()
	limited, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	_ = c.p.proxy.AnnounceHolder(limited, c.p.elector.Notice().Holder.Addr, c.Loop)
	c.p.instance.world.publish(c.p)
	return true
}

// publish notifies the other instances of the holder of a cell that a participant knows.
func (w *world) publish(p *participant) {
	time.Sleep(time.Duration(w.random(int64(noticeDelay))))
	n := p.elector.Notice()
	if p.instance.dead.Load() || n.Epoch == 0 {
		return
	}
	for _, other := range w.live() {
		if other != p.instance && time.Now().After(w.net.opensAt(p.instance.name, other.name)) {
			other.cells[p.number].elector.ApplyNotice(n)
		}
	}
}

// submit submits a job to the cells, those of the data centre of the instance first.
func (i *instance) submit(ctx context.Context, j work.Job) cell.Outcome {
	if ctx.Err() != nil {
		return cell.Outcome{Verdict: cell.Refused, Reason: "expired", RetryAfter: time.Second}
	}
	var cells []overflow.Cell
	for _, p := range i.preferred() {
		cells = append(cells, p.proxy)
	}
	s := overflow.Submitter{Clock: clock{}, OnHandedOver: func(j work.Job, from overflow.Cell, o cell.Outcome) {
		i.world.log(i.life, "event", "overflow", "job", j.ID, "from", from.Name(), "reason", o.Reason)
	}}
	return s.Submit(ctx, j, cells)
}

// preferred returns the parts in the cells in the order in which jobs are submitted to them.
func (i *instance) preferred() []*participant {
	cells := slices.Clone(i.cells)
	if i.world.currentFaults().sameOrder {
		return cells
	}
	slices.SortStableFunc(cells, func(a, b *participant) int {
		return distance(a.proxy.Zone, i.zone) - distance(b.proxy.Zone, i.zone)
	})
	return cells
}

func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
