package member

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/table"
)

// remoteEvery is the number of gossip rounds of which one goes to another data
// centre.
const remoteEvery = 4

// Transport exchanges messages with partners.
type Transport interface {
	// Exchange sends m to the instance at addr and returns its response.
	Exchange(ctx context.Context, addr string, m Message) (Message, error)
}

// Lister returns the platform's list of live instances and targets.
type Lister interface {
	Live(ctx context.Context) (table.LiveList, error)
}

// Gossip keeps a State up to date by exchanging messages with other instances and
// by polling the platform's list. Its exported fields must be set before the first
// call of Run or RunRound.
type Gossip struct {
	State     *State
	Transport Transport
	Lister    Lister
	Clock     clockwork.Clock
	Random    *rand.Rand                      // shuffles partners; must be set
	OwnState  func() (rev int64, data []byte) // settings revision and data of the own record; may be nil
	OnChange  func(View)                      // called with the view after each round; may be nil
	Interval  time.Duration                   // time between two rounds; zero means DefaultInterval

	view   atomic.Pointer[View] // view of the last round
	local  rotation             // partners in the own data centre
	remote rotation             // partners in other data centres
	rounds int                  // number of rounds since the start
}

// Run performs one gossip round every interval until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	if g.Interval == 0 {
		g.Interval = DefaultInterval
	}
	ticker := g.Clock.NewTicker(g.Interval)
	defer ticker.Stop()
	for {
		g.RunRound(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// RunRound performs one gossip round: it polls the platform's list if it is this
// instance's turn and exchanges messages with one partner, or with a second one if
// the first cannot be reached. It returns within one interval if Lister and
// Transport honour their contexts.
func (g *Gossip) RunRound(ctx context.Context) {
	if g.Interval == 0 {
		g.Interval = DefaultInterval
	}
	ctx, cancel := context.WithTimeout(ctx, g.Interval)
	defer cancel()
	listDone := make(chan struct{})
	go func() {
		defer close(listDone)
		g.refreshList(ctx)
	}()
	if g.OwnState != nil {
		g.State.SetOwn(g.OwnState())
	}
	g.State.BeginRound(g.Clock.Now())
	for range 2 {
		p, found := g.nextPartner()
		if !found || g.exchange(ctx, p) {
			break
		}
	}
	<-listDone
	v := g.State.View(g.Clock.Now())
	g.view.Store(&v)
	if g.OnChange != nil {
		g.OnChange(v)
	}
}

// View returns the view of the last round, or the current view before the first
// round.
func (g *Gossip) View() View {
	if v := g.view.Load(); v != nil {
		return *v
	}
	return g.State.View(g.Clock.Now())
}

// refreshList polls the platform's list if it is this instance's turn.
func (g *Gossip) refreshList(ctx context.Context) {
	if !g.State.ListDue(g.Clock.Now()) {
		return
	}
	if live, err := g.Lister.Live(ctx); err == nil {
		g.State.ApplyList(live, g.Clock.Now())
	}
}

// HandleMessage merges the message of a partner and returns the response to it.
func (g *Gossip) HandleMessage(m Message) Message {
	centre := ""
	if len(m.Records) > 0 {
		centre = m.Records[0].Centre
	}
	response := g.State.Message(centre, m, g.Clock.Now())
	g.State.Merge(m, g.Clock.Now())
	return response
}

// exchange sends a message to p, merges the response and reports whether p was
// reached.
func (g *Gossip) exchange(ctx context.Context, p Partner) bool {
	response, err := g.Transport.Exchange(ctx, p.Peer, g.State.Message(p.Centre, Message{}, g.Clock.Now()))
	now := g.Clock.Now()
	if err == nil {
		g.State.Merge(response, now)
	}
	g.State.RecordContact(p.ID, err == nil, now)
	return err == nil
}

// nextPartner returns the partner of this round, or false if there is none.
func (g *Gossip) nextPartner() (Partner, bool) {
	g.rounds++
	var local, remote []Partner
	for _, p := range g.State.Partners(g.Clock.Now()) {
		if p.Centre == g.State.own.Centre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	if len(remote) > 0 && (g.rounds%remoteEvery == 0 || len(local) == 0) {
		return g.remote.next(remote, g.Random)
	}
	return g.local.next(local, g.Random)
}

// rotation visits partners in a shuffled order, each once, and then reshuffles.
type rotation struct {
	order []string // ids still to be visited
}

// next returns the next partner in the rotation, or false if partners is empty.
func (r *rotation) next(partners []Partner, random *rand.Rand) (Partner, bool) {
	byID := make(map[string]Partner, len(partners))
	for _, p := range partners {
		byID[p.ID] = p
	}
	for range 2 {
		for len(r.order) > 0 {
			p, found := byID[r.order[0]]
			r.order = r.order[1:]
			if found {
				return p, true
			}
		}
		for _, p := range partners {
			r.order = append(r.order, p.ID)
		}
		random.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	}
	return Partner{}, false
}
