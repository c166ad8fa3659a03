package node_test

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/member"
	"gypsumward/core/table"
	"gypsumward/gypsumward/node"
)

// fakeLister returns a fixed list, or an error if there is none.
type fakeLister struct {
	live *table.LiveList
}

func (l *fakeLister) Live(context.Context) (table.LiveList, error) {
	if l.live == nil {
		return table.LiveList{}, errors.New("no platform")
	}
	return *l.live, nil
}

// fakeTransport is a member.Transport that fails for one address.
type fakeTransport struct {
	unreachable string
}

func (t *fakeTransport) Exchange(_ context.Context, addr string, _ member.Message) (member.Message, error) {
	if addr == t.unreachable {
		return member.Message{}, errors.New("cut off")
	}
	return member.Message{}, nil
}

// entry returns the record of an entry instance.
func entry(id, centre string) member.Record {
	return member.Record{ID: id, Incarnation: "i", StartTime: 1, Version: 1, Addr: id + ":1", Peer: id + ":2", Centre: centre}
}

// TestDirectory checks that the directory combines all its sources: the platform's list,
// reports of other instances, the instance's own contacts and reports of the targets.
func TestDirectory(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	lister, transport := &fakeLister{}, &fakeTransport{}
	state := member.New(member.Settings{}, entry("a", "como"), clock.Now())
	d := &node.Directory{List: lister}
	d.Gossip = &member.Gossip{
		State: state, Transport: transport, Lister: d, Clock: clock, Random: rand.New(rand.NewSource(1)),
	}
	d.Gossip.RunRound(t.Context())
	require.False(t, d.Loaded(), "without a list")

	lister.live = &table.LiveList{Members: []table.Member{
		{ID: "a", Kind: table.KindEntry, Centre: "como", Peer: "a:2"},
		{ID: "r", Kind: table.KindRunner, Centre: "como", Addr: "r:1"},
		{ID: "w", Kind: table.KindWorker, Centre: "como", Addr: "w:1"},
	}}
	d.Gossip.RunRound(t.Context())
	require.True(t, d.Loaded())

	d.Gossip.HandleMessage(member.Message{Records: []member.Record{entry("b", "como"), entry("c", "varese")}})
	state.RecordRefusal("r", clock.Now())
	step := func() {
		for range 4 {
			clock.Advance(time.Second)
			d.Gossip.RunRound(t.Context())
		}
	}
	step()
	peer, ok := d.PeerAddr("c")
	require.True(t, ok)
	require.Equal(t, "c:2", peer)
	require.Equal(t, []string{"b:2"}, d.Neighbours())
	require.Equal(t, []string{"b:2", "c:2"}, d.Others())

	transport.unreachable = "b:2"
	step()
	require.Equal(t, []string{"c:2"}, d.Others(), "b is cut off")
	require.Equal(t, []api.Member{
		{ID: "a", Kind: "entry", Centre: "como", State: "live"},
		{ID: "b", Kind: "entry", Centre: "como", State: "cut"},
		{ID: "c", Kind: "entry", Centre: "varese", State: "live"},
		{ID: "r", Kind: "runner", Centre: "como", State: "leaving"},
		{ID: "w", Kind: "worker", Centre: "como", State: "live"},
	}, d.Members())
}
