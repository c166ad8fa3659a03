package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/election"
	"gypsumward/core/eventloop"
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
		Cell: p.name, Zone: c.Zone, Self: h.self, Elector: p.elector, Client: h.client, Store: h.store, Clock: h.clock,
		Log: p.log, HeldCells: h.cellsHeld, NewLoop: func(t election.Term) *eventloop.Loop { return h.newLoop(p, t) },
	}
	p.elector.Self, p.elector.Store, p.elector.Clock = h.self, h.store, h.clock
	p.elector.Leader, p.elector.Log, p.elector.ConnectionRefused = p.proxy, p.log, refusesConn
	p.elector.PromisedUntil, p.elector.ClaimDelay, p.elector.HolderReachable = p.proxy.PromisedUntil, h.claimDelay, p.proxy.HolderReachable
	p.elector.ChooseStandbys = p.chooseStandbys
	return p
}

// newLoop returns the event loop for term t and starts what goes with the term.
func (h *Host) newLoop(p *participant, t election.Term) *eventloop.Loop {
	l := eventloop.New(t, p.name, h.bounds(), h.runnerClient, h.store, h.clock, p.log, h.metrics)
	l.SetAdviser(h.adviser)
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

// claimDelay returns the delay before this instance claims a cell.
func (h *Host) claimDelay() time.Duration {
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
// hands the cell over, a standby promises not to take over.
func (p *participant) leave() {
	if l := p.proxy.CurrentLoop(); l != nil {
		p.handOver(l)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	p.proxy.Leave(ctx)
}

// handOver drains the cell until no write or start is in flight and hands it over to
// another instance. If none has sent a hello message, the cell goes on until one does. If
// the handover cannot be written in time, or no instance is found while clients are still
// directed here, the term ends, and any standby may take over.
func (p *participant) handOver(l *eventloop.Loop) {
	if successor, ok := p.awaitSuccessor(l); ok {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		if p.transfer(ctx, l, successor) {
			return
		}
	} else {
		_ = p.log.Log("event", "nosuccessor")
	}
	l.Depose("the cell could not be handed over")
	<-l.Done()
	p.elector.Released(l.Term.Epoch)
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	p.proxy.AnnounceRelease(ctx, l.Term.Epoch)
}

// awaitSuccessor waits until an instance can become the next holder, for as long as there
// is time for a handover after that. Ok is false if there is none or the term has ended.
func (p *participant) awaitSuccessor(l *eventloop.Loop) (m election.Member, ok bool) {
	deadline := p.host.clock.Now().Add(drainTime - handoverTimeout)
	for {
		if m, _, ok = p.proxy.Successor(); ok || !p.host.clock.Now().Before(deadline) {
			return m, ok
		}
		select {
		case <-l.Done():
			return m, false
		case <-time.After(successorInterval):
		}
	}
}

// successorInterval is the time between checks for a next holder.
const successorInterval = 25 * time.Millisecond

// giveUp hands the cell over to an instance that holds none, or goes on if that cannot be
// written.
func (p *participant) giveUp(l *eventloop.Loop, successor election.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if !p.transfer(ctx, l, successor) {
		l.Resume()
	}
}

// transfer drains the cell and names its next holder. It reports whether this instance is
// no longer the holder.
func (p *participant) transfer(ctx context.Context, l *eventloop.Loop, successor election.Member) bool {
	l.Drain()
	for !l.Idle() && ctx.Err() == nil {
		time.Sleep(3 * time.Millisecond)
	}
	for ctx.Err() == nil {
		if p.elector.Transfer(ctx, successor) {
			p.announce()
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// announce notifies the holder that this instance has named, and all others.
func (p *participant) announce() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	n := p.elector.Notice()
	err := p.proxy.AnnounceHolder(ctx, n.Holder.Addr)
	_ = p.log.Log("event", "handed", "to", n.Holder.Node, "epoch", n.Epoch, "err", err)
	p.host.board.Publish(ctx, p.name, n)
}
