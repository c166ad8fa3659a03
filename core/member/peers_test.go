package member_test

import (
	"context"
	"math/rand"
	"net"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/hlc"
	"gypsumward/core/member"
	"gypsumward/core/peer"
	"gypsumward/core/table"
)

// Instances exchange messages over TCP. The third instance knows only the first and
// must learn of the second through it, and the first must learn of
// a restart of the second.
func TestOverPeers(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewRealClock()
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer group.Wait()
	defer cancel()
	start := func(id, inc string) (*member.Gossip, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := listener.Addr().String()
		client := &peer.Client{Clock: &hlc.Clock{}}
		t.Cleanup(client.Close)
		own := member.Record{ID: id, Incarnation: inc, Peer: addr, Centre: "como"}
		g := &member.Gossip{
			State: member.New(member.Settings{}, own, clock.Now()), Clock: clock,
			Random: rand.New(rand.NewSource(1)), Transport: member.PeerTransport{Client: client}, Lister: emptyPlatform{},
		}
		server := &peer.Server{Clock: &hlc.Clock{}}
		member.Register(server, g)
		group.Go(func() { _ = server.Serve(ctx, listener) })
		return g, addr
	}
	first, addr := start("a", "1")
	second, _ := start("b", "1")
	third, _ := start("c", "1")
	introduction := member.Message{Records: []member.Record{{ID: "a", Incarnation: "?", Peer: addr, Centre: "como"}}}
	second.State.Merge(introduction, clock.Now())
	third.State.Merge(introduction, clock.Now())
	second.RunRound(ctx)
	third.RunRound(ctx)
	e, found := entry(third.State.View(clock.Now()), "b")
	require.True(t, found)
	require.Equal(t, "1", e.Incarnation)
	restarted, _ := start("b", "2")
	restarted.State.Merge(introduction, clock.Now())
	restarted.RunRound(ctx)
	e, _ = entry(first.State.View(clock.Now()), "b")
	require.Equal(t, "2", e.Incarnation)
}

// emptyPlatform is a platform with an empty list.
type emptyPlatform struct{}

func (emptyPlatform) Live(context.Context) (table.LiveList, error) { return table.LiveList{}, nil }
