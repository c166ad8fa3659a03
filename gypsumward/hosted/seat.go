package hosted

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/cell"
	"gypsumward/core/front"
	"gypsumward/core/lead"
	"gypsumward/core/shard"
	"gypsumward/core/tenure"
)

// seat is what an instance does for one cell.
type seat struct {
	number int
	name   string
	log    log.Logger
	keeper *tenure.Keeper
	front  *front.Front
}

// Times by which an instance waits before it claims a cell, so that those with more
// cores and fewer cells come first.
const (
	delayPerCell = 150 * time.Millisecond // that it holds already
	delayPerCore = 8 * time.Millisecond   // divided by its cores
	maxDelay     = 600 * time.Millisecond
)

// Rest of the watch of a cell's holder while that answers, since all instances watch all
// cells.
const (
	restPerCell = 100 * time.Millisecond // for each other cell
	maxRest     = 500 * time.Millisecond
)

// newSeat makes the seat of one of some cells.
func (h *Host) newSeat(number, cells int) *seat {
	s := &seat{number: number, name: shard.Name(number)}
	s.log = log.With(h.log, "cell", s.name)
	s.keeper = tenure.New(s.name, tenure.Settings{Rest: min(time.Duration(cells-1)*restPerCell, maxRest)})
	s.front = &front.Front{
		Cell: s.name, Self: h.self, Keeper: s.keeper, Client: h.client, Store: h.store, Clock: h.clock,
		Log: s.log, Cells: h.leading, Begin: func(t tenure.Term) *lead.Lead { return h.begin(s, t) },
	}
	s.keeper.Self, s.keeper.Store, s.keeper.Clock = h.self, h.store, h.clock
	s.keeper.Leader, s.keeper.Log, s.keeper.Refuses = s.front, s.log, refuses
	s.keeper.Promised, s.keeper.Delay, s.keeper.Calm = s.front.Promised, h.claimDelay, s.front.Calm
	return s
}

// begin makes the lead of a term.
func (h *Host) begin(s *seat, t tenure.Term) *lead.Lead {
	l := lead.New(t, s.name, h.bounds(), h.orders, h.store, h.clock, s.log, h.gauge)
	l.SetAdviser(h.adviser)
	l.Post(cell.ListMessage{Listings: h.listings(s)})
	h.runners.want()
	return l
}

// listings returns the runners of a cell.
func (h *Host) listings(s *seat) []cell.Listing {
	plan := h.plan.Load()
	var list []cell.Listing
	for _, l := range h.runners.listings() {
		if plan.Of(l.ID) == s.number {
			list = append(list, l)
		}
	}
	return list
}

// relist tells the leads of this instance of a new list of runners.
func (h *Host) relist() {
	h.eachLead(func(s *seat, l *lead.Lead) { l.Post(cell.ListMessage{Listings: h.listings(s)}) })
}

// seated returns the seats; none before the plan is known.
func (h *Host) seated() []*seat {
	if seats := h.seats.Load(); seats != nil {
		return *seats
	}
	return nil
}

// leading returns the number of cells that this instance holds.
func (h *Host) leading() int {
	n := 0
	h.eachLead(func(*seat, *lead.Lead) { n++ })
	return n
}

// eachLead calls do for each cell that this instance holds.
func (h *Host) eachLead(do func(s *seat, l *lead.Lead)) {
	for _, s := range h.seated() {
		if l := s.front.Current(); l != nil {
			do(s, l)
		}
	}
}

// claimDelay returns how long to wait before a cell is claimed.
func (h *Host) claimDelay() time.Duration {
	d := time.Duration(h.leading())*delayPerCell + time.Duration(float64(delayPerCore)/h.self.Cores)
	return min(d, maxDelay)
}

// connected reports whether most cells have a holder that this instance reaches.
func (h *Host) connected() bool {
	n := 0
	seats := h.seated()
	for _, s := range seats {
		if s.front.Connected() {
			n++
		}
	}
	return n > 0 && 2*n >= len(seats)
}

// handOver gives the cell to another instance, with no write or start left open.
func (s *seat) handOver() {
	l := s.front.Current()
	if l == nil {
		return
	}
	to, ok := s.front.Successor()
	if !ok {
		_ = s.log.Log("event", "nosuccessor")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handTime)
	defer cancel()
	l.Rest()
	for !l.Idle() && ctx.Err() == nil {
		time.Sleep(3 * time.Millisecond)
	}
	for ctx.Err() == nil && !s.keeper.Resign(ctx, to) {
		time.Sleep(10 * time.Millisecond)
	}
}
