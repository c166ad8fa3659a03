package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/handover"
	"gypsumward/core/proxy"
	"gypsumward/core/shard"
)

// participant is the part that an instance takes in one cell: the elector competes for
// the holder's row, and the proxy passes calls to the current holder.
type participant struct {
	number  int
	name    string
	cell    shard.Cell
	log     log.Logger
	elector *election.Elector
	proxy   *proxy.Proxy
	host    *Host
	joined  time.Time     // when the plan became known
	delay   time.Duration // after joined until this instance competes for a cell without holder

	stop     context.CancelFunc // ends the competition; nil while this instance takes no part in it
	running  sync.WaitGroup
	probeAt  time.Time   // time of the next probe of a holder that answers
	lookupAt time.Time   // earliest time of the next look at the rows of a cell whose holder does not answer
	probing  atomic.Bool // a probe of the holder is in flight
	changing atomic.Bool // standbys are being replaced or the cell is being handed over

	mu           sync.Mutex
	standbysFrom time.Time           // when the standbys were last chosen
	absent       map[string]absentee // by node
}

// Delays before an instance claims a cell, so that instances with more cores and fewer
// cells claim first.
const (
	delayPerCell    = 150 * time.Millisecond // for each cell held already
	singleCoreDelay = 8 * time.Millisecond   // of an instance with one core; divided by the number of cores
	maxDelay        = 600 * time.Millisecond
)

// pollInterval is the time between reads of the rows of a cell by a standby that the
// holder answers. A standby that it does not answer reads them at once.
const pollInterval = 10 * time.Second

// newParticipant returns the participant for the cell with the given number in plan.
func (h *Host) newParticipant(plan shard.Plan, number int) *participant {
	c := plan.Cells[number]
	p := &participant{number: number, name: c.Name, cell: c, host: h, joined: h.clock.Now(), absent: map[string]absentee{}}
	p.log = log.With(h.log, "cell", p.name)
	p.delay = h.startDelay(p.name) + time.Duration(h.claimOrder(plan, number))*startDelayPerCell
	if !p.local() {
		p.delay += startDelayRemote
	}
	p.elector = election.New(p.name, election.Settings{PollInterval: pollInterval})
	p.proxy = &proxy.Proxy{
		Cell: p.name, Zone: c.Zone, Self: h.self, Elector: p.elector, Client: h.client, Store: h.lookups, Clock: h.clock,
		Log: p.log, HeldCells: h.cellsHeld, NewLoop: func(t election.Term) *eventloop.Loop { return h.newLoop(p, t) },
		ResubmitAfter: h.bounds().ResubmitAfter, Count: h.metrics.Count,
	}
	p.elector.Self, p.elector.Store, p.elector.Clock = h.self, h.store, h.clock
	p.elector.Leader, p.elector.Log, p.elector.ConnectionRefused = p.proxy, p.log, refusesConn
	p.elector.PromisedUntil, p.elector.ClaimDelay, p.elector.HolderReachable = p.proxy.PromisedUntil, h.claimDelay, p.proxy.HolderReachable
	p.elector.ChooseStandbys, p.elector.ChooseReserves = p.chooseStandbys, p.chooseReserves
	p.elector.RunnersReachable = p.runnersReachable
	return p
}

// newLoop returns the event loop for term t and starts what goes with the term.
func (h *Host) newLoop(p *participant, t election.Term) *eventloop.Loop {
	l := eventloop.New(t, p.name, h.bounds(), h.runnerClient, h.store, h.clock, p.log, h.metrics)
	l.SetAdviser(h.adviser)
	l.SetNeighbours(neighbours{p})
	p.passEvacuations(l)
	go p.followRunners(l)
	p.setStandbysFrom(h.clock.Now())
	go p.publish()
	return l
}

// participants returns the participants of all cells, or nil before the plan is known.
func (h *Host) participants() []*participant {
	if participants := h.cells.Load(); participants != nil {
		return *participants
	}
	return nil
}

// participantOf returns the participant of the cell with the given name, or nil if there is none.
func (h *Host) participantOf(name string) *participant {
	for _, p := range h.participants() {
		if p.name == name {
			return p
		}
	}
	return nil
}

// cellsHeld returns the number of cells that this instance holds.
func (h *Host) cellsHeld() int {
	n := 0
	h.eachLoop(func(*participant, *eventloop.Loop) { n++ })
	return n
}

// eachLoop calls do for each cell that this instance holds.
func (h *Host) eachLoop(do func(p *participant, l *eventloop.Loop)) {
	for _, p := range h.participants() {
		if l := p.proxy.CurrentLoop(); l != nil {
			do(p, l)
		}
	}
}

// claimDelay returns the delay before this instance claims a cell. One that does not know the evacuated data
// centres claims last.
func (h *Host) claimDelay() time.Duration {
	if state, _ := h.evacuations.Current(); !state.Known {
		return maxDelay // it could start nothing
	}
	d := time.Duration(h.cellsHeld())*delayPerCell + time.Duration(float64(singleCoreDelay)/h.self.Cores)
	return min(d, maxDelay)
}

// local reports whether the cell has its runners in the data centre of this instance, or
// in all of them.
func (p *participant) local() bool {
	return p.cell.Zone == "" || p.cell.Zone == p.host.self.Zone
}

// connected reports whether at least half of the cells to which this instance submits jobs
// first have a holder that it reaches.
func (h *Host) connected() bool {
	participants := h.participants()
	if participants == nil {
		return false
	}
	reachable := 0
	first := h.plan.Load().InZone(h.self.Zone)
	for _, n := range first {
		if participants[n].proxy.Connected() {
			reachable++
		}
	}
	return reachable > 0 && 2*reachable >= len(first)
}

// leave gives up the part of this instance in the cell, which stops claiming it: a holder
// hands the cell over until deadline.
func (p *participant) leave(deadline time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	p.proxy.Leave(ctx)
	cancel()
	if l := p.proxy.CurrentLoop(); l != nil {
		p.handOver(l, deadline)
	}
}

// handOver hands the cell over. If that cannot be written until deadline, the term ends, and
// any standby may take over.
func (p *participant) handOver(l *eventloop.Loop, deadline time.Time) {
	if handover.Run(heldCell{l, p}, p.host.clock, deadline) {
		return
	}
	_ = p.log.Log("event", "nohandover", "epoch", l.Term.Epoch)
	l.Depose("the cell could not be handed over")
	<-l.Done()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	var announcements sync.WaitGroup
	announcements.Go(func() { p.proxy.AnnounceRelease(ctx, l.Term.Epoch) })
	announcements.Go(func() { p.elector.Release(ctx, l.Term) })
	announcements.Wait()
}

// giveUp hands the cell over to a member, or goes on if that cannot be written.
func (p *participant) giveUp(l *eventloop.Loop, successor election.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	handover.Attempt(ctx, heldCell{l, p}, successor)
}

// heldCell is the cell of a participant during one term of this instance. It implements
// handover.Cell.
type heldCell struct {
	*eventloop.Loop
	p *participant
}

// Successor returns the member that should hold the cell next.
func (c heldCell) Successor() (m election.Member, ok bool) {
	m, _, ok = c.p.proxy.Successor()
	return m, ok
}

// maxHeartbeatAge is the age of the last heartbeat that was written from which on the store
// is taken to accept no writes.
const maxHeartbeatAge = 900 * time.Millisecond

// Writable reports whether heartbeats are written.
func (c heldCell) Writable() bool {
	_, version, age := c.p.elector.LastHeartbeat()
	return version == 0 || age < maxHeartbeatAge // the first one of a term may be on its way
}

// Transfer names the next holder and, if that is written, notifies it and all others.
func (c heldCell) Transfer(ctx context.Context, to election.Member) bool {
	if !c.p.elector.Transfer(ctx, to) {
		return false
	}
	<-c.Done()
	c.p.announce(c.Loop)
	return true
}

// announce notifies the holder that this instance has named, and all others, that the term
// of l has ended.
func (p *participant) announce(l *eventloop.Loop) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	n := p.elector.Notice()
	err := p.proxy.AnnounceHolder(ctx, n.Holder.Addr, l)
	_ = p.log.Log("event", "handed", "to", n.Holder.Node, "epoch", n.Epoch, "err", err)
	p.host.board.Publish(ctx, p.name, n)
}
