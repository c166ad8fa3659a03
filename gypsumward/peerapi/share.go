package peerapi

import (
	"context"
	"sync"

	"gypsumward/core/admit/shares"
	"gypsumward/core/meter"
	"gypsumward/core/peer"
)

const methodShare = "share.tell"

// SendUsage sends the demand on this instance to all others of the data centre in parallel,
// once each. It returns when all calls have ended and ignores their errors.
func (p *Peers) SendUsage(ctx context.Context, u shares.Usage) {
	var group sync.WaitGroup
	for _, addr := range p.Directory.Neighbours() {
		group.Go(func() {
			_ = p.callPeer(ctx, meter.Gossip, addr, methodShare, u, nil) // the next message replaces this one
		})
	}
	group.Wait()
}

// ServeShares registers the method by which other instances report the demand on them.
func ServeShares(s *peer.Server, receive func(shares.Usage)) {
	peer.Handle(s, methodShare, func(_ context.Context, u shares.Usage) (struct{}, error) {
		receive(u)
		return struct{}{}, nil
	})
}
