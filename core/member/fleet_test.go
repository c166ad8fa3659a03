package member_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/member"
	"gypsumward/core/span"
	"gypsumward/core/table"
)

// node is one instance of a fleet and the traffic it causes.
type node struct {
	*member.Gossip
	id, inc, addr, centre string
	dead                  bool
	messageBytes          int // bytes sent and received in messages
	listBytes             int // bytes received in lists
}

// fleet is a set of instances with a fake network, a fake platform and one common
// clock.
type fleet struct {
	clock        *clockwork.FakeClock
	random       *rand.Rand
	nodes        []*node
	byAddr       map[string]*node
	isCut        func(from, to *node) bool
	platformDown bool // the platform does not reply
	live         table.LiveList
	started      int
}

var errUnreachable = errors.New("cut")

// exchangeOverhead is the size of an exchange besides its messages, in bytes: frames
// of jsonrpc2, timestamps, TCP and IP.
const exchangeOverhead = 2*160 + 6*52

// newFleet returns a fleet with the given numbers of instances, data centres and
// targets. Every second target is a worker.
func newFleet(entries, centres, targets int) *fleet {
	f := &fleet{
		clock:  clockwork.NewFakeClockAt(time.Date(2026, 4, 15, 8, 0, 0, 0, time.UTC)),
		random: rand.New(rand.NewSource(1)),
		byAddr: map[string]*node{},
		isCut:  func(*node, *node) bool { return false },
		live:   table.LiveList{Age: 2 * span.Second},
	}
	for n := range targets {
		kind := table.KindRunner
		if n%2 == 1 {
			kind = table.KindWorker
		}
		f.live.Members = append(f.live.Members, table.Member{
			ID: fmt.Sprintf("%s-%03d", kind, n), Kind: kind, Addr: fmt.Sprintf("10.1.%d.%d:9000", n/250, n%250),
			Centre: fmt.Sprintf("centre-%d", n%centres), Rack: fmt.Sprintf("rack-%d", n/8), Slots: 8, MaxConns: 60,
		})
	}
	for n := range entries {
		f.start(fmt.Sprintf("entry-%03d", n), fmt.Sprintf("10.0.%d.%d:8081", n/250, n%250), fmt.Sprintf("centre-%d", n%centres))
	}
	for _, n := range f.nodes {
		f.live.Members = append(f.live.Members, table.Member{ID: n.id, Kind: table.KindEntry, Addr: n.addr, Peer: n.addr, Centre: n.centre})
	}
	return f
}

// start starts an instance, which replaces any previous one at the address.
func (f *fleet) start(id, addr, centre string) *node {
	f.started++
	n := &node{id: id, inc: fmt.Sprintf("%08x", f.random.Uint32()), addr: addr, centre: centre}
	own := member.Record{ID: id, Incarnation: n.inc, Addr: addr, Peer: addr, Centre: centre}
	n.Gossip = &member.Gossip{
		State: member.New(member.Settings{}, own, f.clock.Now()), Clock: f.clock,
		Random: rand.New(rand.NewSource(int64(f.started))), Transport: network{f, n}, Lister: platformList{f, n},
	}
	if previous := f.byAddr[addr]; previous != nil {
		previous.dead = true
	}
	f.byAddr[addr] = n
	f.nodes = append(f.nodes, n)
	return n
}

// runRound lets each running instance perform one gossip round and advances the
// clock by one interval.
func (f *fleet) runRound() {
	for _, n := range f.nodes {
		if !n.dead {
			n.RunRound(context.Background())
		}
		f.clock.Advance(member.DefaultInterval / time.Duration(len(f.nodes)))
	}
}

// runRounds performs rounds until done returns true, but at most limit, and returns
// their number.
func (f *fleet) runRounds(limit int, done func() bool) int {
	for n := range limit {
		if done() {
			return n
		}
		f.runRound()
	}
	return limit
}

// allViews reports whether the views of all running instances satisfy want.
func (f *fleet) allViews(want func(n *node, v member.View) bool) bool {
	for _, n := range f.nodes {
		if !n.dead && !want(n, n.State.View(f.clock.Now())) {
			return false
		}
	}
	return true
}

// entry returns the entry of an instance in v.
func entry(v member.View, id string) (member.Entry, bool) {
	for _, e := range v.Entries {
		if e.ID == id {
			return e, true
		}
	}
	return member.Entry{}, false
}

// network is the Transport of one instance.
type network struct {
	f    *fleet
	from *node
}

func (n network) Exchange(_ context.Context, addr string, m member.Message) (member.Message, error) {
	to := n.f.byAddr[addr]
	if to == nil || to.dead || n.f.isCut(n.from, to) {
		return member.Message{}, errUnreachable
	}
	var sent, received member.Message
	size := exchangeOverhead + copyJSON(m, &sent)
	size += copyJSON(to.HandleMessage(sent), &received)
	n.from.messageBytes += size
	to.messageBytes += size
	return received, nil
}

// copyJSON copies a message by way of JSON and returns its size in bytes.
func copyJSON(from member.Message, to *member.Message) int {
	data, err := json.Marshal(from)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(data, to); err != nil {
		panic(err)
	}
	return len(data)
}

// platformList is the Lister of one instance.
type platformList struct {
	f  *fleet
	to *node
}

func (p platformList) Live(context.Context) (table.LiveList, error) {
	if p.f.platformDown {
		return table.LiveList{}, errUnreachable
	}
	data, err := json.Marshal(p.f.live)
	p.to.listBytes += len(data)
	var live table.LiveList
	return live, errors.Join(err, json.Unmarshal(data, &live))
}
