package hosted

import (
	"context"
	"slices"
	"time"

	"gypsumward/core/balance"
	"gypsumward/core/election"
	"gypsumward/core/monotonic"
	"gypsumward/core/shard"
	"gypsumward/core/standby"
)

// Intervals and timeouts of the parts that an instance takes in cells.
const (
	superviseInterval = 250 * time.Millisecond
	noStandbysTimeout = 2 * time.Second // age of a holder without standbys from which on every instance competes
	outsiderTimeout   = 2 * time.Second // without an answer of the holder until an instance that is no standby competes
	outsiderSpread    = 2 * time.Second // over which such instances begin
	idleProbe         = 2 * time.Second // between probes of the holder of a cell by an instance outside it, for up to cellsPerProbe cells
	cellsPerProbe     = 4
	lookupAfter       = 300 * time.Millisecond // without an answer of the holder until its rows are read
	lookupInterval    = time.Second
	standbyTimeout    = 2500 * time.Millisecond // without a hello message until a standby is replaced
	absence           = 15 * time.Second        // for which a replaced standby is passed over
	arrangeRetry      = time.Second             // after standbys could not be written
	balanceInterval   = 2 * time.Second         // between cells that an instance hands over to balance them
)

// Delay until an instance acts when all instances start together. Those with more cores act
// first, so that they hold the cells, few act before the first has finished, and none
// claims several cells at once.
const (
	startDelayPerCore = 120 * time.Millisecond // for one core; divided by the number of cores
	startDelaySpread  = 150 * time.Millisecond
	startDelayPerCell = 300 * time.Millisecond // for each cell that an instance claims earlier
	startDelayRemote  = 3 * time.Second        // for a cell of another data centre
)

// startDelay returns how long this instance waits before it acts for name, a cell or the
// plan, when all instances start together.
func (h *Host) startDelay(name string) time.Duration {
	return time.Duration(float64(startDelayPerCore)/h.self.Cores + float64(startDelaySpread)*standby.Uniform(name, h.self.Node))
}

// claimOrder returns the position of a cell in the order in which this instance claims the
// cells of one data centre without holder. The order differs between instances.
func (h *Host) claimOrder(plan shard.Plan, cell int) int {
	own := standby.Uniform(plan.Cells[cell].Name, h.self.Node)
	position := 0
	for _, n := range plan.InZone(plan.Cells[cell].Zone) {
		if standby.Uniform(plan.Cells[n].Name, h.self.Node) < own {
			position++
		}
	}
	return position
}

// applyNotice passes a notice to the participant of its cell.
func (h *Host) applyNotice(cell string, n election.Notice) {
	for _, p := range h.participants() {
		if p.name == cell {
			p.elector.ApplyNotice(n)
		}
	}
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// supervise makes this instance compete for the cells that concern it, until ctx ends.
func (h *Host) supervise(ctx context.Context) {
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		now := h.clock.Now()
		for _, p := range h.participants() {
			p.update(ctx, now)
		}
		h.balance(now)
		h.evacuations.Check(h.settings.Current().Evacuate, h.cellsHeld() > 0)
		select {
		case <-ticker.C:
		case <-h.wake:
		case <-ctx.Done():
			for _, p := range h.participants() {
				p.running.Wait()
			}
			return
		}
	}
}

// balance hands one cell over if another instance should hold it.
func (h *Host) balance(now time.Time) {
	held := h.cellsHeld()
	if h.draining.Load() || held == 0 || now.Before(h.balanceAt) {
		return
	}
	for _, p := range h.participants() {
		l := p.proxy.CurrentLoop()
		successor, cells, ok := p.proxy.Successor()
		if l == nil || !ok {
			continue
		}
		reason := balance.Holding{
			Zone: p.cell.Zone, Self: h.self, Cells: held, Slow: l.Overload().Overloaded(now), Successor: successor, SuccessorCells: cells,
		}.Reason()
		if reason == "" {
			continue
		}
		if !p.changing.Load() {
			p.changing.Store(true)
			h.balanceAt = now.Add(balanceInterval)
			_ = p.log.Log("event", "balance", "to", successor.Node, "why", reason, "held", held, "cells", cells,
				"lag", l.Overload().Lag(), "latency", l.Overload().Latency())
			go func() {
				defer p.changing.Store(false)
				p.giveUp(l, successor)
			}()
			return
		}
	}
}

// update starts or ends the competition of this instance for the cell, and looks after the
// standbys of the cell if this instance holds it.
func (p *participant) update(ctx context.Context, now time.Time) {
	holds := p.proxy.CurrentLoop() != nil
	competes := holds || p.concernsSelf(now)
	switch {
	case competes && p.stop == nil:
		p.compete(ctx)
	case !competes && p.stop != nil:
		p.stop()
		p.running.Wait()
		p.stop = nil
		_ = p.log.Log("event", "outside")
	}
	if holds && !p.changing.Load() {
		p.arrangeStandbys(ctx, now)
	}
	if !competes {
		p.followUnreachable(ctx, now)
	}
}

// compete starts the elector and the exchange of hello messages.
func (p *participant) compete(ctx context.Context) {
	_ = p.log.Log("event", "competes")
	ctx, p.stop = context.WithCancel(ctx)
	p.running.Go(func() { p.elector.Run(ctx) })
	p.running.Go(func() { p.proxy.ExchangeHellos(ctx) })
	p.host.requestMembers()
}

// concernsSelf reports whether this instance competes for the cell: as its holder or a
// standby, if there is no holder or it has no standbys, or if the holder and the standbys
// have been gone for long.
func (p *participant) concernsSelf(now time.Time) bool {
	if !p.host.board.Loaded() {
		return false
	}
	holder, version, self := p.elector.Holder()
	if self || holder.Node == p.host.self.Node {
		return true
	}
	n, ok := p.host.board.Get(p.name)
	if !ok && version == 0 {
		return now.Sub(p.joined) >= p.delay
	}
	if n.Epoch == version && n.Names(p.host.self.Node) {
		return true
	}
	if standbys, known := p.elector.Standbys(); known && slices.Contains(standbys, p.host.self.Node) {
		return true
	}
	if slices.Contains(p.elector.Reserves(), p.host.self.Node) {
		return true
	}
	failing := p.proxy.FailingSince()
	spread := time.Duration(float64(outsiderSpread) * standby.Uniform(p.name, p.host.self.Node))
	if n.Epoch == version && len(n.Standbys) == 0 {
		return !failing.IsZero() && now.Sub(failing) > noStandbysTimeout+spread/4
	}
	return !failing.IsZero() && now.Sub(failing) > outsiderTimeout+spread
}

// followUnreachable calls a holder again that did not answer the last call, and reads the
// rows of the cell, since a notice may be missing. A holder that nobody calls is probed now and then.
func (p *participant) followUnreachable(ctx context.Context, now time.Time) {
	failing := p.proxy.FailingSince()
	if (failing.IsZero() && now.Before(p.probeAt)) || !p.probing.CompareAndSwap(false, true) {
		return
	}
	cells := len(p.host.participants())
	p.probeAt = now.Add(idleProbe * time.Duration(max(cells, cellsPerProbe)) / cellsPerProbe)
	lookup := !failing.IsZero() && now.Sub(failing) > lookupAfter && !now.Before(p.lookupAt)
	if lookup {
		p.lookupAt = now.Add(lookupInterval)
	}
	go func() {
		defer p.probing.Store(false)
		if lookup {
			if err := p.elector.Lookup(ctx); err != nil {
				p.host.metrics.Count("missed_lookup", 1)
			}
		}
		p.proxy.Probe(ctx)
	}()
}

// chooseStandbys returns the standbys for the cell under a holder.
func (p *participant) chooseStandbys(holder election.Member) []string {
	return standby.ForCell(p.name, p.cell.Zone, holder, p.host.roster.Members(), p.isPresent(p.host.clock.Now()))
}

// chooseReserves returns the reserves for the cell under a holder.
func (p *participant) chooseReserves(holder election.Member) []string {
	return standby.Reserves(p.name, p.cell.Zone, holder, p.host.roster.Members(), p.isPresent(p.host.clock.Now()))
}

// isPresent returns a function that reports whether a member is not passed over at now.
func (p *participant) isPresent(now time.Time) func(m election.Member) bool {
	return func(m election.Member) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		a, found := p.absent[m.Node]
		return !found || a.incarnation != m.Incarnation || !now.Before(a.until)
	}
}

// absentee is a standby that has sent no hello message. Its next incarnation may.
type absentee struct {
	incarnation string
	until       time.Time // until when it is passed over
}

// setStandbysFrom records when the standbys were chosen.
func (p *participant) setStandbysFrom(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standbysFrom = now
}

// goneStandbys returns the standbys that shut down, and those that have had time for a hello
// message and sent none. They are passed over from now on.
func (p *participant) goneStandbys(now time.Time) []string {
	gone := p.proxy.LeavingStandbys()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.standbysFrom) >= standbyTimeout {
		gone = append(gone, p.proxy.SilentStandbys(standbyTimeout)...)
	}
	for _, m := range p.host.roster.Members() {
		if slices.Contains(gone, m.Node) {
			p.absent[m.Node] = absentee{incarnation: m.Incarnation, until: now.Add(absence)}
		}
	}
	return gone
}

// settled reports whether the standbys have had time for a hello message since they were
// chosen.
func (p *participant) settled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.standbysFrom) >= standbyTimeout
}

// arrangeStandbys replaces standbys of this instance that shut down or send no hello messages,
// adds missing ones and prefers those in the data centre of the cell. Changed standbys are
// published.
func (p *participant) arrangeStandbys(ctx context.Context, now time.Time) {
	current, known := p.elector.Standbys()
	gone := p.goneStandbys(now)
	if known && len(gone) == 0 && !p.settled(now) {
		return
	}
	chosen := election.Standbys{Nodes: p.chooseStandbys(p.host.self), Reserves: p.chooseReserves(p.host.self)}
	if len(chosen.Nodes) == 0 {
		return
	}
	members := p.host.roster.Members()
	improves := !known || standby.Improves(chosen.Nodes, current, slices.ContainsFunc(current, isIn(gone)), p.cell.Zone, members)
	reserves := p.elector.Reserves()
	if !improves && !standby.Improves(chosen.Reserves, reserves, slices.ContainsFunc(reserves, isIn(gone)), "", members) {
		return
	}
	if !improves {
		chosen.Nodes = current
	}
	p.changing.Store(true)
	go func() {
		defer p.changing.Store(false)
		if !p.elector.SetStandbys(ctx, chosen) {
			monotonic.Sleep(ctx, arrangeRetry)
			return
		}
		p.setStandbysFrom(now)
		p.publish()
	}()
}

// isIn returns a function that reports whether nodes contain a node.
func isIn(nodes []string) func(string) bool {
	return func(node string) bool { return slices.Contains(nodes, node) }
}

// publishTimeout is the time after which a notice that could not be published is made anew.
const publishTimeout = 20 * time.Second

// publish publishes the notice of this instance for as long as it is the holder.
func (p *participant) publish() {
	for published := false; !published; {
		if _, _, self := p.elector.Holder(); !self {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
		published = p.host.board.Publish(ctx, p.name, p.elector.Notice())
		cancel()
	}
}
