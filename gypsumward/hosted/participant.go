package hosted

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/cell"
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
	log     log.Logger
	elector *election.Elector
	proxy   *proxy.Proxy
}

// Delays before an instance claims a cell, so that instances with more cores and fewer
// cells claim first.
const (
	delayPerCell    = 150 * time.Millisecond // for each cell held already
	singleCoreDelay = 8 * time.Millisecond   // of an instance with one core; divided by the number of cores
	maxDelay        = 600 * time.Millisecond
)

// Poll interval of a cell's holder while it responds. It grows with the number of cells,
// since every instance polls the holders of all cells.
const (
	pollIntervalPerCell = 100 * time.Millisecond // for each other cell
	maxPollInterval     = 500 * time.Millisecond
)

// newParticipant returns the participant for the cell with the given number out of
// cells.
func (h *Host) newParticipant(number, cells int) *participant {
	p := &participant{number: number, name: shard.CellName(number)}
	p.log = log.With(h.log, "cell", p.name)
	p.elector = election.New(p.name, election.Settings{PollInterval: min(time.Duration(cells-1)*pollIntervalPerCell, maxPollInterval)})
	p.proxy = &proxy.Proxy{
		Cell: p.name, Self: h.self, Elector: p.elector, Client: h.client, Store: h.store, Clock: h.clock,
		Log: p.log, HeldCells: h.cellsHeld, NewLoop: func(t election.Term) *eventloop.Loop { return h.newLoop(p, t) },
	}
	p.elector.Self, p.elector.Store, p.elector.Clock = h.self, h.store, h.clock
	p.elector.Leader, p.elector.Log, p.elector.ConnectionRefused = p.proxy, p.log, refusesConn
	p.elector.PromisedUntil, p.elector.ClaimDelay, p.elector.HolderReachable = p.proxy.PromisedUntil, h.claimDelay, p.proxy.HolderReachable
	return p
}

// newLoop returns the event loop for term t and requests a fresh read of the runners.
func (h *Host) newLoop(p *participant, t election.Term) *eventloop.Loop {
	l := eventloop.New(t, p.name, h.bounds(), h.runnerClient, h.store, h.clock, p.log, h.metrics)
	l.SetAdviser(h.adviser)
	l.Post(cell.DirectoryUpdate{Entries: h.runnersOf(p)})
	h.runners.requestRefresh()
	return l
}

// runnersOf returns the runners that the plan assigns to the cell of p.
func (h *Host) runnersOf(p *participant) []cell.RunnerInfo {
	plan := h.plan.Load()
	var list []cell.RunnerInfo
	for _, entry := range h.runners.snapshot() {
		if plan.CellOf(entry.ID) == p.number {
			list = append(list, entry)
		}
	}
	return list
}

// postRunners posts the current runners to the event loops of all cells that this instance
// holds.
func (h *Host) postRunners() {
	h.eachLoop(func(p *participant, l *eventloop.Loop) { l.Post(cell.DirectoryUpdate{Entries: h.runnersOf(p)}) })
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

// connected reports whether at least half of the cells have a holder that this instance
// reaches.
func (h *Host) connected() bool {
	reachable := 0
	participants := h.participants()
	for _, p := range participants {
		if p.proxy.Connected() {
			reachable++
		}
	}
	return reachable > 0 && 2*reachable >= len(participants)
}

// handOver drains the cell until no write or start is in flight and hands it over to
// another instance. It gives up after handoverTimeout or if there is no successor.
func (p *participant) handOver() {
	l := p.proxy.CurrentLoop()
	if l == nil {
		return
	}
	successor, ok := p.proxy.Successor()
	if !ok {
		_ = p.log.Log("event", "nosuccessor")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	l.Drain()
	for !l.Idle() && ctx.Err() == nil {
		time.Sleep(3 * time.Millisecond)
	}
	for ctx.Err() == nil && !p.elector.Transfer(ctx, successor) {
		time.Sleep(10 * time.Millisecond)
	}
}
