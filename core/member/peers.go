package member

import (
	"context"

	"gypsumward/core/peer"
)

// methodGossip is the name of the peer method that exchanges messages.
const methodGossip = "member.gossip"

// PeerTransport is a Transport over peer calls. Client must be set.
type PeerTransport struct {
	Client *peer.Client
}

// Exchange sends m to the peer at addr and returns its response. An error is a
// *peer.Fault.
func (p PeerTransport) Exchange(ctx context.Context, addr string, m Message) (Message, error) {
	var response Message
	err := p.Client.Call(ctx, addr, methodGossip, m, &response)
	return response, err
}

// Register registers g as the handler of gossip messages at a server. It must be
// called before the server runs.
func Register(s *peer.Server, g *Gossip) {
	peer.Handle(s, methodGossip, func(_ context.Context, m Message) (Message, error) {
		return g.HandleMessage(m), nil
	})
}
